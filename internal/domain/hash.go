package domain

import (
	"cmp"
	"slices"
)

// FNV-1a parameters for 64 bits (RFC 9923).
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// score returns the rendezvous hashing weight of a name for a key. FNV-1a alone
// mixes the last bytes of its input poorly into the high bits, on which the
// comparison of weights depends; the 64-bit finalizer of MurmurHash3 corrects this.
func score(key, name string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	h *= fnvPrime // a zero byte separates name and key
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// RendezvousOrder returns names in rendezvous hashing order for key, with the first
// choice first. Removing a name does not change the order of the others.
func RendezvousOrder(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{n, score(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// RendezvousFirst returns the first of names in rendezvous hashing order for key,
// or the empty string if names is empty. It does not allocate.
func RendezvousFirst(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for i, n := range names {
		s := score(key, n)
		if i == 0 || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}
