// Package cli implements the commands of the laburnumpass command-line client.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/version"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that the command failed or that its result is negative,
	// such as a refused publish, an invalid file or a wrong answer.
	exitFailed = 1
	// exitUsage means that the command line is wrong.
	exitUsage = 2
	// exitUnreachable means that no entry host replied.
	exitUnreachable = 3
	// exitUnknown means that the outcome of a request or a publish is not known
	// yet. The caller can query it later or retry with the same ID.
	exitUnknown = 4
)

// errFailed is returned by commands that have already printed what failed; it
// only sets the exit code.
var errFailed = errors.New("failed")

// errUnknown is returned by commands that have already printed that the outcome
// is not known; it only sets the exit code.
var errUnknown = errors.New("outcome unknown")

// globals holds the flags that all commands have, and the context and standard
// streams of a run.
type globals struct {
	Output  string           `help:"Output format: ${enum}." enum:"table,json" default:"table"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

type commands struct {
	globals

	Validate validateCmd `cmd:"" help:"Check settings files and configuration directories without a running system."`
	Settings settingsCmd `cmd:"" help:"Print default or sample settings of an entry host."`

	Submit submitCmd `cmd:"" help:"Send a request and print its outcome."`
	Status statusCmd `cmd:"" help:"Print the outcome of a request."`
	Cancel cancelCmd `cmd:"" help:"Cancel a request."`

	Diff    diffCmd    `cmd:"" help:"Compare a directory with the configuration in force."`
	Publish publishCmd `cmd:"" help:"Publish the differences between a directory and the configuration in force."`
	List    listCmd    `cmd:"" help:"List the configuration in force."`
	History historyCmd `cmd:"" help:"List the last changes of a profile, service or quota."`

	Hosts    hostsCmd    `cmd:"" help:"List the entry hosts."`
	Workers  workersCmd  `cmd:"" help:"List the workers."`
	Drain    drainCmd    `cmd:"" help:"Begin the planned stop of an entry host."`
	Timeline timelineCmd `cmd:"" help:"Show the events of all entry hosts in causal order."`

	Job jobCmd `cmd:"" help:"Submit and inspect jobs on the platform."`

	Dev        devCmd        `cmd:"" help:"Run a small cell with stand-ins on loopback addresses."`
	Standins   standinsCmd   `cmd:"" help:"Run stand-ins of the log, the host list and workers on loopback ports, without entry hosts."`
	Demo       demoCmd       `cmd:"" help:"Send a sample load and print a table of the outcomes."`
	Bench      benchCmd      `cmd:"" help:"Measure the system and print figures."`
	Completion completionCmd `cmd:"" help:"Print the code for tab completion in a shell."`
}

// description is the introductory text of the help.
const description = `The command line of the laburnumpass cluster scheduler, for callers and operators.

Exit codes: 0 success, 1 a negative result, 2 a wrong command line, 3 no entry
host answered, 4 the outcome is not known.`

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(globals{ctx: ctx, stdin: os.Stdin, stdout: stdout, stderr: stderr}, args)
}

func run(g globals, args []string) int {
	c := &commands{globals: g}
	parser, err := newParser(c, g.stdout, g.stderr)
	if err != nil {
		fmt.Fprintln(g.stderr, "laburnumpass:", err)
		return exitUsage
	}
	kongcompletion.Register(parser)
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(g.stderr, "laburnumpass:", err)
		return exitUsage
	}
	return exitCode(parsed.Run(&c.globals), g.stderr)
}

func newParser(c *commands, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("laburnumpass"),
		kong.Description(description),
		kong.Vars{"version": version.String(), "samples": sampleNames()},
		kong.Writers(stdout, stderr))
}

func exitCode(err error, stderr io.Writer) int {
	var unreachable *operator.UnreachableError
	var wrongCommandLine *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.Is(err, errUnknown):
		return exitUnknown
	}
	fmt.Fprintln(stderr, "laburnumpass:", err)
	switch {
	case errors.As(err, &unreachable), errors.Is(err, api.ErrNoEntryHost):
		return exitUnreachable
	case errors.As(err, &wrongCommandLine):
		return exitUsage
	}
	return exitFailed
}

// print writes v to stdout as JSON if --output is "json", and otherwise calls
// printTable.
func (g *globals) print(v any, printTable func(io.Writer)) error {
	if g.Output != "json" {
		printTable(g.stdout)
		return nil
	}
	enc := json.NewEncoder(g.stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write output")
}

// progress writes a line for the user to stderr.
func (g *globals) progress(format string, args ...any) {
	fmt.Fprintf(g.stderr, format+"\n", args...)
}

// Run runs the command line of the process and exits with its exit code.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
