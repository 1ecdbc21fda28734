package cli

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/logging"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/samples"
)

// readyTimeout bounds the start of a development cell.
const readyTimeout = 30 * time.Second

// deploymentFlags selects the deployment to run on this machine.
type deploymentFlags struct {
	Settings string `help:"Settings file of one entry host of the deployment; the sample 'laptop' if missing." type:"existingfile" short:"s"`
	Shape    string `help:"Workers of the cell: ${enum}." enum:"order-desk,spares-desk" default:"order-desk"`
}

// deployment returns the settings of all entry hosts. It refuses addresses that
// are not loopback addresses, because this machine does not have them and
// because a production system must not be mistaken for a development cell.
func (f *deploymentFlags) deployment() ([]settings.Settings, error) {
	s, err := f.read()
	if err != nil {
		return nil, err
	}
	hostSettings, err := s.Deployment()
	if err != nil {
		return nil, err
	}
	addresses := []string{s.Platform.Log, s.Platform.HostList}
	for _, host := range hostSettings {
		addresses = append(addresses, host.Listen.Callers, host.Listen.Peers, host.Listen.Operators)
	}
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
			return nil, errors.Errorf("%s is not a loopback address; a development cell uses only loopback addresses", address)
		}
	}
	return hostSettings, nil
}

func (f *deploymentFlags) read() (settings.Settings, error) {
	if f.Settings != "" {
		return settings.ReadFile(f.Settings)
	}
	data, err := samples.Settings("laptop")
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Parse(data)
}

// startPlatform starts the stand-ins of the platform's services and workers on
// the addresses of the settings.
func (f *deploymentFlags) startPlatform(s settings.Settings) (*dev.Platform, error) {
	workers := layoutOf(f.Shape).Workers(dev.FailureDomainsOf(s.EntryHosts))
	options := standin.WorkerOptions{LeaseOnly: s.Platform.WorkerMode == settings.WorkerModeLeaseOnly}
	return dev.StartPlatformAt(s.Platform.Log, s.Platform.HostList, workers, options)
}

// explainAddressInUse adds advice to an error that says that an address is in
// use by another process. It returns other errors unchanged.
func explainAddressInUse(err error) error {
	if errors.Is(err, syscall.EADDRINUSE) {
		return errors.WithMessage(err, "an address of the settings is in use, perhaps by another cell; "+
			"stop that cell or use --settings with a file that has other addresses")
	}
	return err
}

type devCmd struct {
	deploymentFlags
	LogLevel *int `help:"Verbosity of the log, 0 to 2, instead of that of the settings."`
}

// Help implements kong's extended help.
func (devCmd) Help() string {
	return `Runs stand-ins of the log service, the host list and 48 workers, and all entry
hosts of a deployment, in this process: without --settings six hosts in three
failure domains and two regions, on the addresses of samples/laptop.json. Each
other host of a settings file listens on the IP address of its peer_address, with
the ports of "listen". Prints the environment variables with which the other
commands reach the cell. Stop it with Ctrl-C.

Examples:

  laburnumpass dev --shape spares-desk
  laburnumpass dev --settings samples/laptop.json`
}

// Run implements the command.
func (c *devCmd) Run(g *globals) error {
	hostSettings, err := c.deployment()
	if err != nil {
		return err
	}
	level := hostSettings[0].LogLevel
	if c.LogLevel != nil {
		level = *c.LogLevel
	}
	g.progress("starting stand-ins and %d entry hosts", len(hostSettings))
	platform, err := c.startPlatform(hostSettings[0])
	if err != nil {
		return explainAddressInUse(err)
	}
	defer platform.Close()
	cell, err := startEntryHosts(g, platform, hostSettings, level)
	if err != nil {
		return explainAddressInUse(err)
	}
	for _, s := range cell.Settings {
		fmt.Fprintf(g.stdout, "%s: callers %s, operators %s\n", s.Host, s.Listen.Callers, s.Listen.Operators)
	}
	printEnvironment(g.stdout, cell.Settings)
	<-g.ctx.Done()
	g.progress("stopping")
	if err := cell.Stop(); err != nil {
		return err
	}
	return reportViolations(g, platform)
}

// reportViolations prints the violations of the system's guarantees that the
// workers' journals show. It returns errFailed if there are any.
func reportViolations(g *globals, platform *dev.Platform) error {
	violations := standin.CheckJournals(platform.Journals()...)
	fmt.Fprintf(g.stdout, "violations in the workers' journals: %d\n", len(violations))
	for _, v := range violations {
		fmt.Fprintln(g.stdout, "  "+v.String())
	}
	if len(violations) > 0 {
		return errFailed
	}
	return nil
}

// printEnvironment prints shell commands that set the environment variables
// from which the other commands take the cell's addresses and operator token.
func printEnvironment(w io.Writer, hostSettings []settings.Settings) {
	var callers, operators []string
	for _, s := range hostSettings {
		callers = append(callers, s.Listen.Callers)
		operators = append(operators, s.Listen.Operators)
	}
	fmt.Fprintf(w, "export LABURNUMPASS_ADDRESS=%s\n", strings.Join(callers, ","))
	fmt.Fprintf(w, "export LABURNUMPASS_OPERATOR=%s\n", strings.Join(operators, ","))
	fmt.Fprintf(w, "export LABURNUMPASS_TOKEN=%s\n", hostSettings[0].OperatorToken)
}

func layoutOf(name string) dev.WorkerLayout {
	if name == "spares-desk" {
		return dev.SparesDesk
	}
	return dev.OrderDesk
}

// startCell starts stand-ins and one entry host in each of three failure
// domains, on loopback addresses that no other cell uses.
func startCell(g *globals, shape string) (*dev.Platform, *dev.Cell, error) {
	domains := dev.NewFailureDomains(1, 1, 1)
	g.progress("starting stand-ins and %d entry hosts", len(domains))
	platform, err := dev.StartPlatform(layoutOf(shape).Workers(domains), standin.WorkerOptions{})
	if err != nil {
		return nil, nil, err
	}
	hostSettings, err := platform.Settings(domains)
	if err != nil {
		platform.Close()
		return nil, nil, err
	}
	cell, err := startEntryHosts(g, platform, hostSettings, 0)
	if err != nil {
		platform.Close()
		return nil, nil, err
	}
	return platform, cell, nil
}

// startEntryHosts publishes the sample configuration and starts the entry hosts
// with the given settings.
func startEntryHosts(g *globals, platform *dev.Platform, hostSettings []settings.Settings, logLevel int) (*dev.Cell, error) {
	if err := platform.Publish(contract.Sample()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(g.ctx, readyTimeout)
	defer cancel()
	cell, err := dev.StartCell(ctx, hostSettings, logging.New(g.stderr, logLevel))
	return cell, errors.Wrap(err, "start entry hosts")
}
