package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

type jobShowCmd struct {
	readinessFlags
	ID string `arg:"" help:"Job ID."`
}

// Help implements kong's extended help.
func (jobShowCmd) Help() string {
	return `Shows a job as its scheduler knows it: the tasks of each step, and the runs that
may be on a worker now.

Example:

  laburnumpass job show -e 10.1.0.30:8141 5c0e7a21d94b36f8`
}

// Run implements the command.
func (c *jobShowCmd) Run(g *globals) error {
	var view api.JobView
	err := c.get(g.ctx, jobPath(c.ID), &view)
	var status *httpcall.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		g.progress("no scheduler knows job %s", c.ID)
		return errFailed
	}
	if err != nil {
		return err
	}
	return g.print(view, func(w io.Writer) { jobTables(w, view) })
}

func jobTables(w io.Writer, v api.JobView) {
	writeTable(w, "ID SERVICE QUEUE STATE ACCEPTED SCHEDULER", [][]string{{v.ID, v.Service, v.Queue, string(v.State), v.Accepted.UTC().Format(timeFormat), v.Scheduler}})
	var rows [][]string
	for _, s := range v.Steps {
		rows = append(rows, []string{fmt.Sprint(s.Occurrence), fmt.Sprint(s.Step), fmt.Sprint(s.Tasks), fmt.Sprint(s.Done), fmt.Sprint(s.Running), fmt.Sprint(s.Failures), yesNo(s.Blocked)})
	}
	if len(rows) > 0 {
		fmt.Fprintln(w)
		writeTable(w, "OCCURRENCE STEP TASKS DONE RUNNING FAILURES BLOCKED", rows)
	}
	rows = nil
	for _, r := range v.Runs {
		rows = append(rows, []string{r.Task, fmt.Sprint(r.Run), r.Worker, r.State, fmt.Sprint(r.Percent)})
	}
	if len(rows) > 0 {
		fmt.Fprintln(w)
		writeTable(w, "TASK RUN WORKER STATE PERCENT", rows)
	}
}

type jobTimelineCmd struct {
	readinessFlags
	ID string `arg:"" optional:"" help:"Job ID; without it, all events are shown."`
}

// Run implements the command.
func (c *jobTimelineCmd) Run(g *globals) error {
	var reply struct {
		Events  []timeline.Event `json:"events"`
		Missing []string         `json:"missing,omitempty"`
	}
	if err := c.get(g.ctx, api.PathTimeline+"?job="+url.QueryEscape(c.ID), &reply); err != nil {
		return err
	}
	if len(reply.Missing) > 0 {
		g.progress("could not be asked: %s", strings.Join(reply.Missing, ", "))
	}
	return g.print(reply, func(w io.Writer) { eventsTable(w, reply.Events) })
}

type jobServicesCmd struct{ readinessFlags }

// Help implements kong's extended help.
func (jobServicesCmd) Help() string {
	return `Lists for each service the entry host that schedules it, the start of its term and
its epoch, according to the entry host at --entry.

Example:

  laburnumpass job services -e 10.1.0.30:8141`
}

// Run implements the command.
func (c *jobServicesCmd) Run(g *globals) error {
	var services []api.ServiceView
	if err := c.get(g.ctx, api.PathServices, &services); err != nil {
		return err
	}
	return g.print(services, func(w io.Writer) { servicesTable(w, services) })
}

func servicesTable(w io.Writer, services []api.ServiceView) {
	var rows [][]string
	for _, s := range services {
		host, since := s.Host, ""
		if s.Resigned {
			host += " (resigned)"
		}
		if !s.Since.IsZero() {
			since = s.Since.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{s.Service, host, s.Address, formatNonZero(uint64(s.Epoch)), since})
	}
	writeTable(w, "SERVICE SCHEDULER ADDRESS EPOCH SINCE", rows)
}
