package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

type timelineCmd struct {
	operatorFlags
	Request       string `help:"Only events of this request."`
	Worker        string `help:"Only events of this worker."`
	FailureDomain string `help:"Only events of entry hosts of this failure domain."`
	Limit         int    `help:"Only the newest events; 0 for all." default:"1000"`
	HTML          string `help:"Also write a page that shows the events to this file." name:"html" type:"path"`
}

// Help implements kong's extended help.
func (timelineCmd) Help() string {
	return `Merges the events of all entry hosts in causal order: an event comes before all
later events on the same host and before all events that followed from it through
a message. Prints to stderr which hosts could not be reached and how many events
were dropped. With --html it also writes one self-contained page with a row for
each process.

Example:

  laburnumpass timeline --worker plain-01
  laburnumpass timeline --failure-domain fd-a --limit 200 --html timeline.html`
}

// Run implements the command.
func (c *timelineCmd) Run(g *globals) error {
	if c.Limit < 0 {
		return asUsageError(errors.New("--limit must be at least 0"))
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	var all operator.Timeline
	if err := g.withProgress("requesting the events of the entry hosts", func() (err error) {
		all, err = client.Timeline(g.ctx, operator.TimelineQuery{Request: c.Request, Worker: c.Worker})
		return err
	}); err != nil {
		return err
	}
	omitted := c.filter(&all)
	gaps := describeGaps(all, omitted)
	for _, line := range gaps {
		g.progress("%s", line)
	}
	if c.HTML != "" {
		if err := writePage(c.HTML, all.Events, gaps); err != nil {
			return err
		}
		g.progress("wrote %d events to %s", len(all.Events), c.HTML)
	}
	return g.print(all, func(w io.Writer) { eventsTable(w, all.Events) })
}

// filter applies the filters that the entry hosts don't support, which are the
// failure domain and the limit. It returns the number of matching events that
// the limit left out.
func (c *timelineCmd) filter(t *operator.Timeline) int {
	t.Events = slices.DeleteFunc(t.Events, func(e timeline.Event) bool {
		return c.FailureDomain != "" && e.FailureDomain != c.FailureDomain
	})
	omitted := 0
	if c.Limit > 0 {
		omitted = max(0, len(t.Events)-c.Limit)
	}
	t.Events = nonNil(t.Events[omitted:])
	return omitted
}

// describeGaps returns one line for each reason why events are missing from a
// timeline.
func describeGaps(t operator.Timeline, omitted int) []string {
	var lines []string
	if len(t.Missing) > 0 {
		slices.Sort(t.Missing)
		lines = append(lines, "could not be asked: "+strings.Join(t.Missing, ", "))
	}
	for _, host := range slices.Sorted(maps.Keys(t.Dropped)) {
		lines = append(lines, fmt.Sprintf("%s has dropped its %d oldest events of any kind", host, t.Dropped[host]))
	}
	if omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d older events are not shown; raise --limit", omitted))
	}
	return lines
}

// timeFormat is the format of times in UTC, such as the wall clock part of an
// event's clock reading.
const timeFormat = "2006-01-02T15:04:05.000Z"

func eventTime(e timeline.Event) string { return timeline.Time(e.Clock).UTC().Format(timeFormat) }

// subject returns the task or the request that an event is about.
func subject(e timeline.Event) string {
	return cmp.Or(e.Task, e.Request)
}

// eventDetail joins the fields of an event that have no column of their own:
// epoch, offset and detail.
func eventDetail(e timeline.Event) string {
	var parts []string
	if e.Epoch > 0 {
		parts = append(parts, fmt.Sprintf("epoch %d", e.Epoch))
	}
	if e.Offset > 0 {
		parts = append(parts, fmt.Sprintf("offset %d", e.Offset))
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, ", ")
}

func eventsTable(w io.Writer, events []timeline.Event) {
	var rows [][]string
	for _, e := range events {
		rows = append(rows, []string{eventTime(e), e.Host, e.Kind, subject(e), e.Worker, eventDetail(e)})
	}
	writeTable(w, "TIME HOST EVENT REQUEST_OR_TASK WORKER DETAIL", rows)
}

func writePage(path string, events []timeline.Event, gaps []string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	err = renderPage(f, events, gaps)
	return cmp.Or(err, errors.Wrap(f.Close(), "write page"))
}
