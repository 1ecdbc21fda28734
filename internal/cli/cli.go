// Package cli implements the commands of laburnumpass, one file for each.
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
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/version"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailed means that the command was carried out and the result is
	// negative: a refused publish, an invalid file, a wrong answer.
	exitFailed = 1
	// exitUsage means that the command line is wrong.
	exitUsage = 2
	// exitUnreachable means that no entry host answered.
	exitUnreachable = 3
)

// errFailed is returned by commands that have already said what failed.
var errFailed = errors.New("failed")

// globals are the flags of all commands and the surroundings of a run.
type globals struct {
	Output  string           `help:"Output format: ${enum}." enum:"table,json" default:"table"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

type commands struct {
	globals

	Dev   devCmd   `cmd:"" help:"Run a small cell with stand-ins on loopback ports."`
	Demo  demoCmd  `cmd:"" help:"Send a sample load and print a table of what came back."`
	Bench benchCmd `cmd:"" help:"Measure the system and print figures."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c := &commands{globals: globals{ctx: ctx, stdout: stdout, stderr: stderr}}
	parser, err := kong.New(c,
		kong.Name("laburnumpass"),
		kong.Description("The command line of the laburnumpass cluster scheduler, for callers and operators."),
		kong.Vars{"version": version.String()},
		kong.Writers(stdout, stderr),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(stderr, "laburnumpass:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "laburnumpass:", err)
		return exitUsage
	}
	return exitCode(parsed.Run(&c.globals), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	var unreachable *unreachableError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.As(err, &unreachable):
		fmt.Fprintln(stderr, "laburnumpass:", err)
		return exitUnreachable
	default:
		fmt.Fprintln(stderr, "laburnumpass:", err)
		return exitFailed
	}
}

// unreachableError means that no entry host answered.
type unreachableError struct{ cause error }

// Error implements error.
func (e *unreachableError) Error() string { return "no entry host answered: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.cause }

// print writes v as JSON if asked for, and otherwise calls table.
func (g *globals) print(v any, table func(io.Writer)) error {
	if g.Output != "json" {
		table(g.stdout)
		return nil
	}
	enc := json.NewEncoder(g.stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write output")
}

// progress tells a person what a long command does.
func (g *globals) progress(format string, args ...any) {
	fmt.Fprintf(g.stderr, format+"\n", args...)
}

// Run is the entry point of the binary.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
