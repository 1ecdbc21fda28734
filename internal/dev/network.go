package dev

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// The ports lie below those that the system gives to outgoing connections,
	// so that none of these can take one before an entry host listens on it.
	peersPort     = 17001
	callersPort   = 17002
	operatorsPort = 17003
	claimPort     = 17000

	// maxHosts is the number of entry hosts that have an address in a network.
	maxHosts = 250
	// claimAttempts suffices when most of the some 65,000 networks are free.
	claimAttempts = 32
)

// Network is a loopback network of 256 addresses, one for each entry host of a
// cell. Cells of the same or of another process never share one: ports that
// were only seen to be free were at times taken by another cell before the
// entry host listened on them.
type Network struct {
	second, third int
	claim         net.Listener
}

// ClaimNetwork claims a network by listening on its last address. It returns an
// error if no attempt finds a free one.
func ClaimNetwork() (*Network, error) {
	var err error
	for range claimAttempts {
		n := &Network{second: 2 + rand.IntN(253), third: rand.IntN(256)}
		if n.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:%d", n.second, n.third, claimPort)); err == nil {
			return n, nil
		}
	}
	return nil, errors.Wrap(err, "claim a loopback network")
}

// Address returns the address of a host's port, an IP address and port.
func (n *Network) Address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.second, n.third, host+1, port)
}

// Release lets another cell claim the network.
func (n *Network) Release() { _ = n.claim.Close() }
