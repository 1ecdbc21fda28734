package cell

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Team is a group of callers with its own API keys, quota and weight.
type Team struct {
	// Name identifies the team. It stays the same when the team's keys change.
	Name string
	// Weight is the team's share when capacity is scarce, relative to other teams, and
	// the number of jobs per second that it is entitled to.
	Weight float64
	// Quota limits what the team may have running on all workers of all services
	// together. A resource with the value 0 is not limited.
	Quota worker.Resources
}

// keyDigest is the keyed hash of an API key.
type keyDigest [sha256.Size]byte

// keySecret is the key of the hash, random for each process: a digest that leaks is of
// no use elsewhere, and callers cannot predict digests, so the time of a lookup tells
// them nothing about the keys.
var keySecret = func() []byte {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // never fails
	return secret
}()

// KeyIndex finds the team of an API key. It contains keyed hashes instead of the keys.
type KeyIndex struct{ teams map[keyDigest]string }

// Add makes key a key of the team. It ignores an empty key.
func (x *KeyIndex) Add(key, team string) {
	if key == "" {
		return
	}
	if x.teams == nil {
		x.teams = make(map[keyDigest]string)
	}
	x.teams[digestOf(key)] = team
}

// Team returns the team of a key; ok is false if no team has it.
func (x *KeyIndex) Team(key string) (team string, ok bool) {
	if key == "" || len(x.teams) == 0 {
		return "", false
	}
	team, ok = x.teams[digestOf(key)]
	return team, ok
}

func digestOf(key string) keyDigest {
	h := hmac.New(sha256.New, keySecret)
	_, _ = h.Write([]byte(key)) // a hash never returns an error
	return keyDigest(h.Sum(nil))
}
