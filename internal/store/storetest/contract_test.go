package storetest

import (
	"testing"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// Guards against an in-memory store that does not meet the contract of the
// platform's store.
func TestMemory(t *testing.T) {
	TestStore(t, func(*testing.T) (store.Store, *Memory) {
		m := &Memory{}
		return m, m
	})
}
