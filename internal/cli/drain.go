package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// drainPollInterval is the time between two checks whether a host has stopped.
const drainPollInterval = 500 * time.Millisecond

type drainCmd struct {
	tokenFlag
	HostAddress string        `arg:"" help:"Operators' address (IP:port) of the entry host."`
	Wait        bool          `help:"Wait until the host has stopped."`
	WaitTimeout time.Duration `help:"Give up waiting after this time; the drain goes on." default:"90s"`
}

// Help implements kong's extended help.
func (drainCmd) Help() string {
	return `Begins the planned stop of one entry host: it takes no new requests, gives up its
workers and records, finishes what runs within drain_seconds of its settings, and
ends its process. Exits with 0 once the host has accepted, or with --wait once it
no longer listens, and with 1 if it still listens at the end of --wait-timeout.

Example:

  laburnumpass drain 192.0.2.11:7103 --wait`
}

// drainResult is the output of drain.
type drainResult struct {
	Address string `json:"address"`
	State   string `json:"state"`
}

// Run implements the command.
func (c *drainCmd) Run(g *globals) error {
	client, err := operator.New(operator.Options{Addresses: []string{c.HostAddress}, Token: c.Token})
	if err != nil {
		return asUsageError(err)
	}
	defer client.Close()
	if err := g.withProgress("draining "+c.HostAddress, func() error { return client.Drain(g.ctx) }); err != nil {
		return err
	}
	out := drainResult{c.HostAddress, "draining"}
	if c.Wait {
		if out.State, err = c.wait(g, client); err != nil {
			return err
		}
	}
	if err := g.print(out, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", out.Address, out.State) }); err != nil {
		return err
	}
	if c.Wait && out.State != "stopped" {
		return errFailed
	}
	return nil
}

// wait polls the host until it is unreachable, and then returns "stopped", or
// until WaitTimeout has passed, and then returns "draining".
func (c *drainCmd) wait(g *globals, client *operator.Client) (string, error) {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	end := time.NewTimer(c.WaitTimeout)
	defer end.Stop()
	state := "draining"
	err := g.withProgress("waiting until "+c.HostAddress+" has stopped", func() error {
		for {
			var unreachable *operator.UnreachableError
			if _, err := client.Hosts(g.ctx); errors.As(err, &unreachable) {
				state = "stopped"
				return nil
			}
			select {
			case <-poll.C:
			case <-end.C:
				return nil
			case <-g.ctx.Done():
				return g.ctx.Err()
			}
		}
	})
	return state, err
}
