package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// jobCallTimeout bounds a call about a job. It is longer than the 2.5 s that
	// a change of scheduler may take, because the entry host waits for that.
	jobCallTimeout = 5 * time.Second
	// jobDialTimeout bounds connecting to an entry host.
	jobDialTimeout = time.Second
	// maxJobFileBytes bounds the size of a job file. Entry hosts for jobs have
	// the same limit for the body of an HTTP request.
	maxJobFileBytes = 256 << 10
)

// jobCmd holds the commands for jobs on the platform.
type jobCmd struct {
	Submit   jobSubmitCmd   `cmd:"" help:"Submit a job."`
	Status   jobStatusCmd   `cmd:"" help:"Print the state of a job."`
	Cancel   jobCancelCmd   `cmd:"" help:"Cancel a job."`
	Pending  jobPendingCmd  `cmd:"" help:"Count the jobs of a queue that have not begun."`
	Show     jobShowCmd     `cmd:"" help:"Show a job's steps, tasks and workers."`
	Timeline jobTimelineCmd `cmd:"" help:"Show the events of a job on all entry hosts."`
	Explain  jobExplainCmd  `cmd:"" help:"Show where a job would be placed now, and why."`
	Services jobServicesCmd `cmd:"" help:"List the entry host that schedules each service."`
	Quotas   jobQuotasCmd   `cmd:"" help:"List the teams' quotas, their use, and the part of each shard."`
}

// queueFlags identifies a queue and an address at which callers reach it.
type queueFlags struct {
	Address   string `help:"Callers' address (IP:port) of an entry host or of the balancer." env:"LABURNUMPASS_JOB_ADDRESS" required:"" short:"a"`
	QueueHost string `help:"Host name of the queue." required:""`
	Prefix    string `help:"Path prefix of the queue." default:"/"`
	apiKeyFlag
}

// readinessFlags identifies an entry host by the address at which operators
// reach it.
type readinessFlags struct {
	Entry string `help:"Readiness address (IP:port) of any entry host." env:"LABURNUMPASS_JOB_ENTRY" required:"" short:"e"`
}

// call sends one request to a queue. A status outside 2xx is returned as an
// *httpcall.StatusError.
func (f *queueFlags) call(ctx context.Context, method, id string, body []byte) ([]byte, error) {
	key, err := f.read()
	if err != nil {
		return nil, asUsageError(err)
	}
	r := httpcall.Request{Method: method, Path: f.Prefix + id, Host: f.QueueHost, ContentType: "application/json", Body: body}
	if key != "" {
		r.Header = map[string]string{platform.HeaderAuthorization: platform.EncodeKey(key)}
	}
	return jobCall(ctx, f.Address, r)
}

func (f *readinessFlags) get(ctx context.Context, path string, reply any) error {
	body, err := jobCall(ctx, f.Entry, httpcall.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, reply), "decode the entry host's reply")
}

func jobCall(ctx context.Context, address string, r httpcall.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	client := httpcall.New(address, httpcall.Options{MaxConns: 1, DialTimeout: jobDialTimeout})
	defer client.CloseIdle()
	body, err := client.Do(ctx, r)
	if errors.Is(err, httpcall.ErrNotSent) {
		return nil, errors.Wrapf(api.ErrNoEntryHost, "%s: %v", address, err)
	}
	return body, err
}

// reportJobError maps the error of a call about a job to the result of the
// command. It returns nil, api.ErrNoEntryHost and a usageError unchanged. For other errors it
// prints the reason and returns errUnknown or errFailed: after status 502 or 504,
// or an error without a status, the call may have taken effect; with any other
// status it has not.
func reportJobError(g *globals, id string, err error) error {
	var status *httpcall.StatusError
	var wrongCommandLine *usageError
	switch {
	case err == nil, errors.Is(err, api.ErrNoEntryHost), errors.As(err, &wrongCommandLine):
		return err
	case !errors.As(err, &status), status.Status == http.StatusGatewayTimeout, status.Status == http.StatusBadGateway:
		g.progress("the outcome of %s is not known (%v): repeat the command with the same ID", id, err)
		return errUnknown
	case status.Status == http.StatusGone:
		g.progress("no job %s is known", id)
	case status.Status == http.StatusUnauthorized:
		g.progress("%s was refused and has had no effect: the queue needs a known API key, see --key-file", id)
	default:
		g.progress("%s was refused and has had no effect: status %d %s", id, status.Status, strings.TrimSpace(string(status.Body)))
	}
	return errFailed
}

// readJob reads a job from a file, or from stdin for "-".
func readJob(g *globals, path string) (*api.Job, error) {
	in := g.stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "read the job file")
		}
		defer f.Close()
		in = f
	}
	body, err := readLimited(in, maxJobFileBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read the job file")
	}
	job := new(api.Job)
	if err := json.Unmarshal(body, job); err != nil {
		return nil, errors.Wrap(err, "decode the job file")
	}
	return job, job.Validate()
}

type jobSubmitCmd struct {
	queueFlags
	ID   string `help:"ID of an earlier attempt, 16 hexadecimal digits; a new one by default." name:"id"`
	File string `arg:"" help:"Job as JSON, \"-\" for stdin."`
}

// Help implements kong's extended help.
func (jobSubmitCmd) Help() string {
	return `Submits a job and prints its ID. Exits with 0 once it is stored, with 1 if it was
refused, and with 4 if that is not known: then repeat the command with the same
--id, which stays one job.

Example:

  echo '{"payload": "x", "steps": [{"count": 2, "milli_cpu": 500, "estimate_ms": 900}]}' |
    laburnumpass job submit -a 10.1.0.30:8149 --queue-host desk.example --prefix /orders/ -`
}

// Run implements the command.
func (c *jobSubmitCmd) Run(g *globals) error {
	job, err := readJob(g, c.File)
	if err != nil {
		return asUsageError(err)
	}
	id := c.ID
	if id == "" {
		id = api.NewJobID()
	}
	body, err := platform.EncodeJob(job)
	if err != nil {
		return err
	}
	err = g.withProgress("submitting job "+id, func() error {
		_, err := c.call(g.ctx, http.MethodPost, id, body)
		return err
	})
	if err := reportJobError(g, id, err); err != nil {
		return err
	}
	return g.print(map[string]string{"id": id}, func(w io.Writer) { writeTable(w, "ID", [][]string{{id}}) })
}

type jobStatusCmd struct {
	queueFlags
	ID string `arg:"" help:"Job ID."`
}

// Run implements the command.
func (c *jobStatusCmd) Run(g *globals) error {
	body, err := c.call(g.ctx, http.MethodGet, c.ID, nil)
	if err := reportJobError(g, c.ID, err); err != nil {
		return err
	}
	state, err := platform.DecodeState(body)
	if err != nil {
		return err
	}
	return g.print(map[string]any{"id": c.ID, "state": state}, func(w io.Writer) {
		writeTable(w, "ID STATE", [][]string{{c.ID, string(state)}})
	})
}

type jobCancelCmd struct {
	queueFlags
	ID string `arg:"" help:"Job ID."`
}

// Run implements the command.
func (c *jobCancelCmd) Run(g *globals) error {
	_, err := c.call(g.ctx, http.MethodDelete, c.ID, nil)
	if err := reportJobError(g, c.ID, err); err != nil {
		return err
	}
	return g.print(map[string]string{"id": c.ID}, func(w io.Writer) { writeTable(w, "CANCELLED", [][]string{{c.ID}}) })
}

type jobPendingCmd struct{ queueFlags }

// Run implements the command.
func (c *jobPendingCmd) Run(g *globals) error {
	body, err := c.call(g.ctx, http.MethodGet, "", nil)
	if err := reportJobError(g, "the count", err); err != nil {
		return err
	}
	count, err := platform.DecodePending(body)
	if err != nil {
		return err
	}
	return g.print(map[string]int{"pending": count}, func(w io.Writer) { writeTable(w, "PENDING", [][]string{{fmt.Sprint(count)}}) })
}

// jobPath returns the path of the JobView of a job.
func jobPath(id string) string { return api.PathJobs + "/" + url.PathEscape(id) }
