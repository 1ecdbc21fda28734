package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/platform"
)

type jobExplainCmd struct {
	apiKeyFlag
	Queue string `help:"Name of the queue; needed with a file."`
	Host  string `help:"Readiness address (IP:port) of any entry host." env:"LABURNUMPASS_JOB_ENTRY" required:""`
	Job   string `arg:"" help:"Job as JSON, \"-\" for stdin, or the ID of a job that is not done."`
}

// Help implements kong's extended help.
func (jobExplainCmd) Help() string {
	return `Shows where the tasks of a job would be placed now: the work ahead of it and, for
each step, the workers that cannot take a task, the best ones with the parts of
their score, whether tasks would wait for their rack, and what would be stopped.
Nothing is submitted or placed, and the policy service is not asked.

Example:

  echo '{"payload": "x", "steps": [{"count": 2, "milli_cpu": 500, "estimate_ms": 900}]}' |
    laburnumpass job explain --host 10.1.0.30:8141 --queue quote -`
}

var jobIDPattern = regexp.MustCompile(fmt.Sprintf("^[0-9a-fA-F]{%d}$", api.JobIDDigits))

// Run implements the command.
func (c *jobExplainCmd) Run(g *globals) error {
	request := httpcall.Request{Method: http.MethodGet, Path: api.PathExplain + "?id=" + url.QueryEscape(c.Job)}
	key, err := c.read()
	if err != nil {
		return asUsageError(err)
	}
	if key != "" {
		request.Header = map[string]string{platform.HeaderAuthorization: platform.EncodeKey(key)}
	}
	if !jobIDPattern.MatchString(c.Job) {
		if c.Queue == "" {
			return asUsageError(errors.New("--queue is needed to explain a job that is not submitted"))
		}
		job, err := readJob(g, c.Job)
		if err != nil {
			return asUsageError(err)
		}
		if request.Body, err = json.Marshal(job); err != nil {
			return errors.Wrap(err, "encode the job")
		}
		request.Method, request.Path, request.ContentType = http.MethodPost, api.PathExplain+"?queue="+url.QueryEscape(c.Queue), "application/json"
	}
	body, err := jobCall(g.ctx, c.Host, request)
	var status *httpcall.StatusError
	if errors.As(err, &status) {
		g.progress("not explained: status %d %s", status.Status, strings.TrimSpace(string(status.Body)))
		return errFailed
	}
	if err != nil {
		return err
	}
	var e api.PlacementExplanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Wrap(err, "decode the entry host's reply")
	}
	return g.print(e, func(w io.Writer) { explanationTables(w, e) })
}

func explanationTables(w io.Writer, e api.PlacementExplanation) {
	writeTable(w, "QUEUE TEAM SHARD SCHEDULER STEPS_AHEAD TASKS_AHEAD SLACK_MS APPROVALS",
		[][]string{{e.Queue, e.Team, e.Shard, e.Scheduler, fmt.Sprint(e.StepsAhead), fmt.Sprint(e.TasksAhead), fmt.Sprint(e.SlackMS), fmt.Sprintf("%.2f", e.ApprovalShare)}})
	for _, s := range e.Steps {
		fmt.Fprintln(w)
		writeTable(w, "OCCURRENCE STEP TASKS CONSIDERED BLOCKED PLACED WAITING WORKERS",
			[][]string{{fmt.Sprint(s.Occurrence), fmt.Sprint(s.Step), fmt.Sprint(s.Tasks), fmt.Sprint(s.Considered), yesNo(s.Blocked), fmt.Sprint(s.Placed), fmt.Sprint(s.Waiting), fmt.Sprint(s.Workers)}})
		if s.Note != "" {
			fmt.Fprintln(w, s.Note)
		}
		for _, reason := range slices.SortedFunc(maps.Keys(s.RuledOut), func(a, b string) int {
			return cmp.Or(cmp.Compare(s.RuledOut[b], s.RuledOut[a]), cmp.Compare(a, b))
		}) {
			fmt.Fprintf(w, "ruled out: %d workers: %s\n", s.RuledOut[reason], reason)
		}
		if r := s.Rack; r != nil {
			fmt.Fprintf(w, "rack %s: %d in the rack, %d elsewhere, %d wait\n", cmp.Or(r.Rack, "(any one)"), r.InRack, r.Elsewhere, s.Waiting)
			if r.Reason != "" {
				fmt.Fprintf(w, "  %s: place in %d ms, limit %d ms, run %d ms, elsewhere %d ms, gain %d ms\n", r.Reason, r.ForecastMS, r.LimitMS, r.RunMS, r.ElsewhereMS, r.GainMS)
			}
		}
		for _, stop := range s.Stop {
			fmt.Fprintf(w, "would be stopped: %s on %s\n", stop.Task, stop.Worker)
		}
		var rows [][]string
		for _, b := range s.Best {
			rows = append(rows, []string{b.Worker, fmt.Sprint(b.Fits), score(b.Score), score(b.Rack), score(b.Utilization), score(b.Colocation), score(b.Health), score(b.Speed)})
		}
		if len(rows) > 0 {
			writeTable(w, "WORKER FITS SCORE RACK UTILIZATION COLOCATION HEALTH SPEED", rows)
		}
	}
}

func score(v float64) string { return fmt.Sprintf("%.2f", v) }
