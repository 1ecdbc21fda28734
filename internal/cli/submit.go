package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
)

// maxRequestFileBytes bounds the size of a request file. It is large enough for
// a body of 1 MiB in base64 and the other fields.
const maxRequestFileBytes = 1500 << 10

type submitCmd struct {
	callerFlags
	File         string        `help:"Request as JSON, \"-\" for stdin. Other flags replace its fields." short:"f"`
	ID           string        `help:"Request ID of an earlier attempt; a new one by default." name:"id"`
	Team         string        `help:"Team that is charged."`
	Service      string        `help:"Service that is asked for."`
	Idempotent   bool          `help:"Allow the system to run the request more than once."`
	Deadline     time.Duration `help:"Time to wait for the answer; 10s if neither flag nor file gives it."`
	MilliCPU     int64         `help:"Processors of each member in thousandths of a core; the service's by default." name:"milli-cpu"`
	MemoryMiB    int64         `help:"Memory of each member in MiB; the service's by default." name:"memory-mib"`
	Accelerators int64         `help:"Accelerators of each member; the service's by default."`
	Members      int           `help:"Members of an all-at-once job."`
	RunTime      time.Duration `help:"Declared run time; the service's by default."`
	Detach       bool          `help:"Return once the request is queued; ask for its outcome with status."`
	Body         string        `help:"Body that is passed to the task." xor:"body"`
	BodyFile     string        `help:"File with the body, \"-\" for stdin." xor:"body"`
}

// defaultDeadline applies if neither the flags nor the file give a deadline.
const defaultDeadline = 10 * time.Second

// Help implements kong's extended help.
func (submitCmd) Help() string {
	return `Sends one request, waits for its outcome and prints it. Exits with 0 if it was
answered, with 1 if it was not run or its task failed, and with 4 if the outcome
is not known: then ask with status, or repeat the request with the same --id.

Example:

  laburnumpass submit --team sales --service order-desk --body '{"run_ms": 50}'
  echo '{"team": "research", "service": "batch", "deadline_ms": 60000}' | laburnumpass submit -f - --detach`
}

// Run implements the command.
func (c *submitCmd) Run(g *globals) error {
	r, err := c.request(g.stdin)
	if err != nil {
		return asUsageError(err)
	}
	return withClient(g, c.callerFlags, func(ctx context.Context, client *api.Client, newID string) (api.Response, error) {
		if r.ID == "" {
			r.ID = newID
		}
		if err := r.Validate(); err != nil {
			return api.Response{}, asUsageError(err)
		}
		var resp api.Response
		err := g.withProgress("waiting for the outcome of "+r.ID, func() (err error) {
			resp, err = client.Do(ctx, r)
			return err
		})
		if err == nil && r.Detach && resp.Outcome == api.Unknown && resp.Reason == api.ReasonPending {
			// A detached request has succeeded once it is queued.
			return resp, errQueued
		}
		return resp, err
	})
}

// errQueued tells withClient that a detached request is queued, which counts as
// success.
var errQueued = errors.New("queued")

// request builds the request from the request file and the flags, which take
// precedence.
func (c *submitCmd) request(stdin io.Reader) (api.Request, error) {
	var r api.Request
	if c.File == "-" && c.BodyFile == "-" {
		return r, errors.New("--file and --body-file can't both be stdin")
	}
	if c.File != "" {
		data, err := readFile(c.File, stdin, maxRequestFileBytes)
		if err != nil {
			return r, errors.WithMessage(err, "read request file")
		}
		if r, err = parseRequest(data); err != nil {
			return r, err
		}
	}
	setIfGiven(&r.ID, c.ID)
	setIfGiven(&r.Team, c.Team)
	setIfGiven(&r.Service, c.Service)
	setIfGiven(&r.Idempotent, c.Idempotent)
	setIfGiven(&r.DeadlineMS, int(c.Deadline.Milliseconds()))
	setIfGiven(&r.Resources.MilliCPU, c.MilliCPU)
	setIfGiven(&r.Resources.MemoryMiB, c.MemoryMiB)
	setIfGiven(&r.Resources.Accelerators, c.Accelerators)
	setIfGiven(&r.Members, c.Members)
	setIfGiven(&r.RunTimeMS, int(c.RunTime.Milliseconds()))
	setIfGiven(&r.Detach, c.Detach)
	if r.DeadlineMS == 0 {
		r.DeadlineMS = int(defaultDeadline.Milliseconds())
	}
	switch {
	case c.Body != "":
		r.Body = []byte(c.Body)
	case c.BodyFile != "":
		var err error
		if r.Body, err = readFile(c.BodyFile, stdin, api.MaxBodyBytes); err != nil {
			return r, errors.WithMessage(err, "read body file")
		}
	}
	return r, nil
}

// setIfGiven sets a field to the value of a flag unless the value is zero, which
// means that the flag was not given.
func setIfGiven[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

// parseRequest decodes a request from JSON. Unknown keys and text after the
// object are errors.
func parseRequest(data []byte) (api.Request, error) {
	var r api.Request
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return api.Request{}, errors.Wrap(err, "parse request")
	}
	if _, err := dec.Token(); err != io.EOF {
		return api.Request{}, errors.New("parse request: text after the end of the object")
	}
	return r, nil
}

// readFile reads a file, or stdin for "-". It returns an error if there are more
// than limit bytes.
func readFile(path string, stdin io.Reader, limit int) ([]byte, error) {
	if path == "-" {
		return readLimited(stdin, limit)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readLimited(f, limit)
}

// withClient connects a client, runs call with it and a new request ID, prints
// the response and maps it to the command's result. To create the ID, the client
// must first reach an entry host. This separates an unreachable system, to which
// no request was sent, from a request whose outcome is not known.
func withClient(g *globals, flags callerFlags, call func(context.Context, *api.Client, string) (api.Response, error)) error {
	client, err := flags.client()
	if err != nil {
		return asUsageError(err)
	}
	defer client.Close()
	var id string
	if err := g.withProgress("connecting", func() (err error) {
		id, err = client.NewID(g.ctx)
		return err
	}); err != nil {
		return err
	}
	resp, err := call(g.ctx, client, id)
	if err != nil && !errors.Is(err, errQueued) {
		return err
	}
	if printErr := g.print(resp, func(w io.Writer) { responseTable(w, resp) }); printErr != nil {
		return printErr
	}
	switch {
	case errors.Is(err, errQueued):
		return nil
	case resp.Outcome == api.Unknown:
		return errUnknown
	case resp.Outcome != api.Answered || resp.Failed:
		return errFailed
	}
	return nil
}

func responseTable(w io.Writer, r api.Response) {
	outcome := string(r.Outcome)
	if r.Failed {
		outcome += ", the task failed"
	}
	line := func(name, value string) {
		if value != "" {
			fmt.Fprintf(w, "%-12s %s\n", name, formatText(value))
		}
	}
	line("id", r.ID)
	line("outcome", outcome)
	line("reason", string(r.Reason))
	line("detail", r.Detail)
	line("state", r.State)
	line("worker", r.Worker)
	if r.RetryAfterMS > 0 {
		line("retry after", fmt.Sprintf("%d ms", r.RetryAfterMS))
	}
	switch {
	case r.BodyDropped:
		line("body", "answered earlier; the body is no longer kept")
	case r.Outcome == api.Answered && utf8.Valid(r.Body):
		line("body", string(bytes.TrimRight(r.Body, "\n")))
	case r.Outcome == api.Answered:
		line("body", fmt.Sprintf("%d bytes that are not text; use --output json", len(r.Body)))
	}
}
