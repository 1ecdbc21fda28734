package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/operator"
)

// progressAfter is the time after which a command prints to stderr what it is
// waiting for.
const progressAfter = time.Second

// callerFlags holds the flags of commands for callers.
type callerFlags struct {
	Address []string `help:"Callers' addresses (IP:port) of entry hosts or of the balancer." env:"LABURNUMPASS_ADDRESS" required:"" short:"a"`
}

func (f *callerFlags) client() (*api.Client, error) {
	return api.NewClient(api.ClientOptions{Addresses: f.Address})
}

// operatorFlags holds the flags of commands for operators.
type operatorFlags struct {
	Operator []string `help:"Operators' addresses (IP:port) of entry hosts, tried in turn." env:"LABURNUMPASS_OPERATOR" required:""`
	tokenFlag
}

type tokenFlag struct {
	Token string `help:"Operator token of the entry hosts' settings." env:"LABURNUMPASS_TOKEN" required:""`
}

func (f *operatorFlags) client() (*operator.Client, error) {
	c, err := operator.New(operator.Options{Addresses: f.Operator, Token: f.Token})
	return c, asUsageError(err)
}

// usageError means that the command line is wrong. It leads to exitUsage.
type usageError struct{ cause error }

// Error implements error.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the wrapped error.
func (e *usageError) Unwrap() error { return e.cause }

// asUsageError wraps an error in a usageError; it returns nil for nil.
func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{err}
}

// withProgress runs f. If f takes longer than progressAfter, it prints the
// activity what to stderr.
func (g *globals) withProgress(what string, f func() error) error {
	timer := time.NewTimer(progressAfter)
	defer timer.Stop()
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		g.progress("%s ...", what)
		return <-done
	}
}

// writeTable writes rows in aligned columns below a header, whose column names
// are separated by spaces. Cells with control characters are quoted, because the
// terminal would interpret the characters.
func writeTable(w io.Writer, header string, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(strings.Fields(header), "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = formatText(cell)
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	_ = tw.Flush()
}

// formatText quotes s if it contains control characters or U+FFFD, and returns
// "-" if it is empty.
func formatText(s string) string {
	if s == "" {
		return "-"
	}
	if strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r >= 0x7f && r < 0xa0 || r == 0xfffd }) {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// formatNonZero formats n, or returns "" if it is 0.
func formatNonZero[T int | uint64](n T) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// readLimited reads all of r. It returns an error if there are more than limit
// bytes.
func readLimited(r io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(data) > limit {
		return nil, errors.Errorf("input has more than %d bytes", limit)
	}
	return data, nil
}
