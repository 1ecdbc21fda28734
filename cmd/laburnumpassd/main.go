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
	"github.com/laburnumpass/laburnumpass/internal/jobhost"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/version"
)

type options struct {
	Run     runCommand       `cmd:"" default:"withargs" help:"Run an entry host for requests on the project's own cell."`
	Jobs    jobsCommand      `cmd:"" help:"Run an entry host for jobs on the platform."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type runCommand struct {
	Settings string `help:"Path of the JSON settings file." required:"" type:"existingfile" short:"s"`
}

type jobsCommand struct {
	Settings string `help:"Path of the JSON settings file." required:"" env:"LABURNUMPASS_SETTINGS" short:"s"`
}

func main() {
	var o options
	command := kong.Parse(&o,
		kong.Name("laburnumpassd"),
		kong.Description("Runs one entry host. SIGTERM drains it and stops it without cutting off a request."),
		kong.Vars{"version": version.String()})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "laburnumpassd:", err)
		os.Exit(1)
	}
}

// Run runs an entry host for requests until ctx is cancelled.
func (c *runCommand) Run(ctx context.Context) error {
	s, err := settings.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	log := logging.New(os.Stderr, s.LogLevel)
	h, err := entryhost.New(s, entryhost.Connect(s), log)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// Run runs an entry host for jobs until ctx is cancelled. It reloads the
// settings when the file changes or on SIGHUP.
func (c *jobsCommand) Run(ctx context.Context) error {
	s, err := jobhost.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	h := jobhost.New(s, logging.New(os.Stdout, s.LogLevel))
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go h.WatchSettings(ctx, c.Settings, reload)
	return h.Run(ctx)
}
