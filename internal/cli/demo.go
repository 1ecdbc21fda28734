package cli

import (
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

type demoCmd struct {
	Shape   string   `help:"Shape of the load: ${enum}." enum:"order-desk,spares-desk" default:"order-desk"`
	Address []string `help:"Callers' addresses (IP:port) of a running system; without any, a cell is started in this process." short:"a"`
	Scale   float64  `help:"Multiplies the number of requests." default:"1"`
	Seed    uint64   `help:"Seed of the load." default:"1"`
}

// Help implements kong's extended help.
func (demoCmd) Help() string {
	return `Sends services' requests, batch work and all-at-once jobs and prints outcomes,
waiting times, packing and control cost. Exits with 0 only if every request got
exactly one whole answer of its own.

Example:

  laburnumpass demo --shape spares-desk --scale 0.5`
}

// Run implements the command.
func (c *demoCmd) Run(g *globals) error {
	addresses := c.Address
	var journals []*standin.Journal
	traffic := func() float64 { return 0 }
	if len(addresses) == 0 {
		platform, cell, err := startCell(g, c.Shape)
		if err != nil {
			return err
		}
		defer platform.Close()
		defer func() { _ = cell.Stop() }()
		addresses = cell.Callers()
		journals = platform.Journals()
		began := time.Now()
		traffic = func() float64 { return cell.ControlBytes() / time.Since(began).Seconds() }
	}
	client, err := api.NewClient(api.ClientOptions{Addresses: addresses})
	if err != nil {
		return err
	}
	defer client.Close()
	kinds := demo.OrderDesk(c.Scale)
	if c.Shape == "spares-desk" {
		kinds = demo.SparesDesk(c.Scale)
	}
	g.progress("sending the load")
	sent, err := demo.Run(g.ctx, client, kinds, c.Seed)
	if err != nil {
		return err
	}
	report := demo.Summarize(sent, kinds, journals)
	report.ControlBytesPerSecond = traffic()
	if err := g.print(report, report.Print); err != nil {
		return err
	}
	if !report.OK() {
		return errFailed
	}
	return nil
}
