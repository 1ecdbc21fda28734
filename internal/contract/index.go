package contract

// indexShards is the number of shards of an index. With about 1,000 objects, a
// change copies the shard table (3 KB) and about ten entries.
const indexShards = 128

type entry[V any] struct {
	key   string
	value V
}

// index is an immutable map that hashes keys into shards. A change copies the
// shard of the key and shares the others with the old index.
type index[V any] struct {
	shards [indexShards][]entry[V]
}

// shardOf returns the shard of a key.
func shardOf(key string) uint32 {
	// FNV-1a hash.
	h := uint32(2166136261)
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return h % indexShards
}

func (x *index[V]) get(key string) (V, bool) {
	for _, e := range x.shards[shardOf(key)] {
		if e.key == key {
			return e.value, true
		}
	}
	var zero V
	return zero, false
}

// with returns an index in which key has the value. Other entries of the same
// shard for which keep is false are removed, so that expired entries go without a
// scan of the whole index; a nil keep keeps all.
func (x *index[V]) with(key string, value V, keep func(V) bool) *index[V] {
	next := x.without(key, keep)
	s := shardOf(key)
	next.shards[s] = append(next.shards[s], entry[V]{key, value})
	return next
}

// without returns an index that lacks key and the entries of its shard for
// which keep is false; a nil keep keeps all.
func (x *index[V]) without(key string, keep func(V) bool) *index[V] {
	next := *x
	s := shardOf(key)
	shard := make([]entry[V], 0, len(x.shards[s])+1)
	for _, e := range x.shards[s] {
		if e.key != key && (keep == nil || keep(e.value)) {
			shard = append(shard, e)
		}
	}
	next.shards[s] = shard
	return &next
}

// all yields the values of all entries, in no particular order.
func (x *index[V]) all(yield func(V) bool) {
	for _, shard := range x.shards {
		for _, e := range shard {
			if !yield(e.value) {
				return
			}
		}
	}
}

// insert adds an entry in place. It may be called only before the index is
// shared.
func (x *index[V]) insert(key string, value V) {
	s := shardOf(key)
	x.shards[s] = append(x.shards[s], entry[V]{key, value})
}
