package dev

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against concurrent cells that get the same addresses, so that an entry
// host of one of them can't listen.
func TestNetworksAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		n, err := ClaimNetwork()
		require.NoError(t, err)
		t.Cleanup(n.Release)
		address := n.Address(0, callersPort)
		require.False(t, seen[address], "%s was assigned twice", address)
		seen[address] = true
	}
}

// Guards against a network that another process can claim while it is in use, and
// against one that stays claimed after its release.
func TestNetworkIsClaimed(t *testing.T) {
	n, err := ClaimNetwork()
	require.NoError(t, err)
	claim := n.claimListener.Addr().String()
	_, err = net.Listen("tcp", claim)
	require.Error(t, err)
	n.Release()
	l, err := net.Listen("tcp", claim)
	require.NoError(t, err)
	require.NoError(t, l.Close())
}
