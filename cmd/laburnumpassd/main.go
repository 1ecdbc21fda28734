// Command laburnumpassd runs one entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/laburnumpass/laburnumpass/internal/entryhost"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/version"
)

type options struct {
	Settings string           `help:"Path of the JSON settings file." required:"" type:"existingfile" short:"s"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var o options
	kong.Parse(&o,
		kong.Name("laburnumpassd"),
		kong.Description("Runs one entry host. SIGTERM drains it and stops it without cutting off a request."),
		kong.Vars{"version": version.String()})
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumpassd:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	s, err := settings.ReadFile(o.Settings)
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr, s.LogLevel)
	h, err := entryhost.New(s, entryhost.Connect(s), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return h.Run(ctx)
}
