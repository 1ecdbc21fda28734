package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// readyTimeout bounds the start of a development cell.
const readyTimeout = 30 * time.Second

type devCmd struct {
	Shape    string `help:"Workers of the cell: ${enum}." enum:"order-desk,spares-desk" default:"order-desk"`
	LogLevel int    `help:"Verbosity of the log, 0 to 2." default:"0"`
}

// Help implements kong's extended help.
func (devCmd) Help() string {
	return `Runs stand-ins of the log service, the host list and 48 workers, and one
entry host for each of three failure domains, in this process. Prints the
environment variables with which the other commands reach it. Stop it with Ctrl-C.

Example:

  laburnumpass dev --shape spares-desk`
}

// Run implements the command.
func (c *devCmd) Run(g *globals) error {
	platform, cell, err := startCell(g, c.Shape, c.LogLevel, 1, 1, 1)
	if err != nil {
		return err
	}
	defer platform.Close()
	for _, s := range cell.Settings {
		fmt.Fprintf(g.stdout, "%s: callers %s, operators %s\n", s.Host, s.Listen.Callers, s.Listen.Operators)
	}
	printEnvironment(g.stdout, cell.Settings)
	<-g.ctx.Done()
	g.progress("stopping")
	return cell.Stop()
}

// printEnvironment prints the environment variables with which the other
// commands reach the cell.
func printEnvironment(w io.Writer, all []settings.Settings) {
	var callers, operators []string
	for _, s := range all {
		callers = append(callers, s.Listen.Callers)
		operators = append(operators, s.Listen.Operators)
	}
	fmt.Fprintf(w, "export LABURNUMPASS_ADDRESS=%s\n", strings.Join(callers, ","))
	fmt.Fprintf(w, "export LABURNUMPASS_OPERATOR=%s\n", strings.Join(operators, ","))
	fmt.Fprintf(w, "export LABURNUMPASS_TOKEN=%s\n", all[0].OperatorToken)
}

func shapeOf(name string) dev.Shape {
	if name == "spares-desk" {
		return dev.SparesDesk
	}
	return dev.OrderDesk
}

// startCell starts the stand-ins and a number of entry hosts in each of three
// failure domains.
func startCell(g *globals, shape string, logLevel int, entryHosts ...int) (*dev.Platform, *dev.Cell, error) {
	domains := dev.Domains(entryHosts...)
	g.progress("starting stand-ins and %d failure domains", len(domains))
	platform, err := dev.StartPlatform(shapeOf(shape).Workers(domains), standin.WorkerOptions{})
	if err != nil {
		return nil, nil, err
	}
	if err := platform.Publish(contract.Sample()); err != nil {
		return nil, nil, err
	}
	all, err := platform.Settings(domains)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(g.ctx, readyTimeout)
	defer cancel()
	cell, err := dev.StartCell(ctx, all, logging.New(g.stderr, logLevel))
	if err != nil {
		platform.Close()
		return nil, nil, errors.Wrap(err, "start entry hosts")
	}
	return platform, cell, nil
}
