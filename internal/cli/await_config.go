package cli

import (
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

const (
	// inForceTimeout bounds the wait for one entry host. It is longer than the
	// 3 s within which a change is in force on every reachable entry host.
	inForceTimeout      = 5 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

// awaitInForce waits until all given entry hosts have applied offset, and prints
// to stderr which have not. A publish is accepted once one host has read it back
// from the log. The other hosts apply it later, and until then they refuse work
// of a new service.
func (g *globals) awaitInForce(client *operator.Client, addresses []string, offset uint64) {
	if offset == 0 {
		return
	}
	problems := make([]string, len(addresses))
	_ = g.withProgress("waiting until the changes are in force on all entry hosts", func() error {
		var group errgroup.Group
		for i, address := range addresses {
			group.Go(func() error {
				problems[i] = g.awaitOffset(client.At(address), offset)
				return nil
			})
		}
		return group.Wait()
	})
	inForce := 0
	for i, problem := range problems {
		if problem == "" {
			inForce++
			continue
		}
		g.progress("%s: %s", addresses[i], problem)
	}
	g.progress("version %d is in force on %d of %d given entry hosts", offset, inForce, len(addresses))
}

// awaitOffset waits until a host has applied offset and returns "", or returns
// why it is not known to have applied it.
func (g *globals) awaitOffset(client *operator.Client, offset uint64) string {
	end := time.Now().Add(inForceTimeout)
	for {
		m, err := client.Metrics(g.ctx)
		switch {
		case err != nil:
			return strings.TrimPrefix(err.Error(), "no entry host answered: ")
		case uint64(m["configuration_offset"]) >= offset:
			return ""
		case time.Now().After(end):
			return "not in force yet; look for a partition"
		}
		time.Sleep(inForcePollInterval)
	}
}
