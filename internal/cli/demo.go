package cli

import (
	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

type demoCmd struct {
	Shape    string   `help:"Shape of the load: ${enum}." enum:"order-desk,spares-desk" default:"order-desk"`
	Address  []string `help:"Callers' addresses (IP:port) of a running system; without any, a cell is started in this process." short:"a"`
	Operator []string `help:"Operators' addresses (IP:port) of all its entry hosts, for packing and control traffic. Used with --address." env:"LABURNUMPASS_OPERATOR"`
	Token    string   `help:"Operator token of its entry hosts." env:"LABURNUMPASS_TOKEN"`
	Scale    float64  `help:"Multiplies the number of requests." default:"1"`
	Seed     uint64   `help:"Seed of the load." default:"1"`
}

// Help implements kong's extended help.
func (demoCmd) Help() string {
	return `Sends services' requests, batch work and all-at-once jobs and prints outcomes,
waiting times, packing and control cost. Exits with 0 only if every request got
exactly one whole answer of its own. Of a running system, packing and control
cost are read from the operators' API; packing is then the largest of five readings
a second.

Examples:

  laburnumpass demo --shape spares-desk --scale 0.5
  laburnumpass demo --address 127.0.0.1:7101,127.0.0.5:7101`
}

// Run implements the command.
func (c *demoCmd) Run(g *globals) error {
	var journals []*standin.Journal
	if len(c.Address) == 0 {
		platform, cell, err := startCell(g, c.Shape)
		if err != nil {
			return err
		}
		defer platform.Close()
		defer func() { _ = cell.Stop() }()
		c.Address, c.Operator, c.Token = cell.CallerAddresses(), cell.OperatorAddresses(), cell.Settings[0].OperatorToken
		journals = platform.Journals()
	}
	var watch *demo.MetricsSampler
	if len(c.Operator) > 0 && c.Token != "" {
		client, err := operator.New(operator.Options{Addresses: c.Operator, Token: c.Token})
		if err != nil {
			return asUsageError(err)
		}
		defer client.Close()
		if watch, err = demo.StartMetricsSampler(g.ctx, client, c.Operator); err != nil {
			return err
		}
	}
	sent, kinds, err := c.send(g)
	if err != nil {
		return err
	}
	report := demo.Summarize(sent, kinds, journals)
	if watch != nil {
		packing, control, err := watch.Stop(g.ctx)
		if err != nil {
			return err
		}
		report.ControlBytesPerSecond = &control
		if report.PeakSlotUsePercent == nil {
			report.PeakSlotUsePercent = &packing
		}
	}
	if err := g.print(report, report.Print); err != nil {
		return err
	}
	if !report.OK() {
		return errFailed
	}
	return nil
}

// send sends the sample load and returns each request with its outcome.
func (c *demoCmd) send(g *globals) ([]demo.Result, []demo.Workload, error) {
	client, err := api.NewClient(api.ClientOptions{Addresses: c.Address})
	if err != nil {
		return nil, nil, asUsageError(err)
	}
	defer client.Close()
	kinds := demo.OrderDesk(c.Scale)
	if c.Shape == "spares-desk" {
		kinds = demo.SparesDesk(c.Scale)
	}
	g.progress("sending the load")
	sent, err := demo.Run(g.ctx, client, kinds, c.Seed)
	return sent, kinds, err
}
