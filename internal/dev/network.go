package dev

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// The ports are below the ephemeral port range, so that no outgoing
	// connection can occupy one before an entry host listens on it.
	peersPort     = 17001
	callersPort   = 17002
	operatorsPort = 17003
	claimPort     = 17000

	// maxHosts is the maximum number of entry hosts in a network.
	maxHosts = 250
	// claimAttempts is enough while most of the about 65,000 networks are free.
	claimAttempts = 32
)

// Network is a loopback network of 256 addresses, one for each entry host of a
// cell. Cells in the same or another process never share one: when cells merely
// looked for free ports, another cell at times took a port before the entry host
// listened on it.
type Network struct {
	secondOctet, thirdOctet int
	claimListener           net.Listener
}

// ClaimNetwork claims a random network by listening on its address .254. It
// returns an error if no attempt finds a free network.
func ClaimNetwork() (*Network, error) {
	var err error
	for range claimAttempts {
		n := &Network{secondOctet: 2 + rand.IntN(253), thirdOctet: rand.IntN(256)}
		if n.claimListener, err = net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:%d", n.secondOctet, n.thirdOctet, claimPort)); err == nil {
			return n, nil
		}
	}
	return nil, errors.Wrap(err, "claim a free loopback network")
}

// Address returns the IP address and port of the host with the given index.
func (n *Network) Address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.secondOctet, n.thirdOctet, host+1, port)
}

// Release frees the network for other cells.
func (n *Network) Release() { _ = n.claimListener.Close() }
