package storetest

import (
	"testing"

	"github.com/laburnumpass/laburnumpass/internal/store"
)

// Guards against a stand-in that promises less than the platform's store.
func TestMemory(t *testing.T) {
	TestStore(t, func(*testing.T) (store.Store, *Memory) {
		m := &Memory{}
		return m, m
	})
}
