package cli

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

type standinsCmd struct{ deploymentFlags }

// Help implements kong's extended help.
func (standinsCmd) Help() string {
	return `Runs stand-ins of the log service, the host list and 48 workers at the addresses
of the settings, for entry hosts in processes of their own on this machine. The
log is empty: publish a configuration first. SIGUSR1 closes the log's port and
the next SIGUSR1 opens it again, with all records; SIGUSR2 does the same with the
host list. Stop it with Ctrl-C; it then prints the violations of the guarantees
that the workers' journals show, and exits with 1 if there are any.

Example:

  laburnumpass standins --settings samples/laptop.json`
}

// Run implements the command.
func (c *standinsCmd) Run(g *globals) error {
	hostSettings, err := c.deployment()
	if err != nil {
		return err
	}
	toggleSignals := make(chan os.Signal, 1)
	signal.Notify(toggleSignals, syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Stop(toggleSignals)
	platform, err := c.startPlatform(hostSettings[0])
	if err != nil {
		return explainAddressInUse(err)
	}
	defer platform.Close()
	fmt.Fprintf(g.stdout, "log %s, host list %s, %d workers\n", platform.LogAddress, platform.HostListAddress, len(platform.Workers))
	printEnvironment(g.stdout, hostSettings)
	for {
		select {
		case <-g.ctx.Done():
			return reportViolations(g, platform)
		case s := <-toggleSignals:
			name, toggle := "log", platform.ToggleLog
			if s == syscall.SIGUSR2 {
				name, toggle = "host list", platform.ToggleHostList
			}
			served, err := toggle()
			if err != nil {
				return explainAddressInUse(err)
			}
			g.progress("%s served: %t", name, served)
		}
	}
}
