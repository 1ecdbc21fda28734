package cli

import (
	"cmp"
	_ "embed"
	"html/template"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// Geometry of the page, in pixels.
const (
	pageRow    = 28
	pageColumn = 14
	pageLabel  = 160
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("timeline").Parse(pageSource))

// page is the data of the template. Processes are the rows and events the
// columns, in causal order.
type page struct {
	Gaps          []string
	Width, Height int
	Left          int
	Rows          []pageProcess
	Events        []pageEvent
}

type pageProcess struct {
	Name          string
	FailureDomain string
	Y             int
}

type pageEvent struct {
	Number                                    int
	X, Y                                      int
	Time, Host, Kind, Subject, Worker, Detail string
	// Class groups kinds by colour: "task", "lease", "configuration" or "host".
	Class string
}

// renderPage writes a self-contained page, without scripts or references.
func renderPage(w io.Writer, events []timeline.Event, gaps []string) error {
	rows := make(map[string]int)
	var processes []pageProcess
	for _, e := range events {
		if _, ok := rows[e.Host]; !ok {
			rows[e.Host] = 0
			processes = append(processes, pageProcess{Name: e.Host, FailureDomain: e.FailureDomain})
		}
	}
	slices.SortFunc(processes, func(a, b pageProcess) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	for i := range processes {
		processes[i].Y = pageRow/2 + i*pageRow
		rows[processes[i].Name] = processes[i].Y
	}
	p := page{Gaps: gaps, Rows: processes, Left: pageLabel,
		Width: pageLabel + (len(events)+1)*pageColumn, Height: len(processes) * pageRow}
	for i, e := range events {
		p.Events = append(p.Events, pageEvent{
			Number: i + 1, X: pageLabel + (i+1)*pageColumn, Y: rows[e.Host], Time: eventTime(e), Host: e.Host,
			Kind: e.Kind, Subject: subject(e), Worker: e.Worker, Detail: eventDetail(e), Class: eventClass(e),
		})
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "write page")
}

func eventClass(e timeline.Event) string {
	switch {
	case e.Request != "" || e.Task != "":
		return "task"
	case e.Worker != "":
		return "lease"
	case e.Offset > 0:
		return "configuration"
	}
	return "host"
}
