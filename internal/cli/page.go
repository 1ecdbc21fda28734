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

// Sizes of the chart, in pixels.
const (
	pageRowHeight   = 28
	pageColumnWidth = 14
	pageLabelWidth  = 160
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("timeline").Parse(pageSource))

// page is the data of the template. The chart has one row for each entry host
// and one column for each event, in causal order.
type page struct {
	// Gaps has one line for each reason why events are missing.
	Gaps          []string
	Width, Height int
	// Left is the x coordinate at which the rows begin, after their labels.
	Left   int
	Rows   []pageRow
	Events []pageEvent
}

// pageRow is a row of the chart. It shows the events of one entry host.
type pageRow struct {
	Name          string
	FailureDomain string
	Y             int
}

type pageEvent struct {
	Number                                    int
	X, Y                                      int
	Time, Host, Kind, Subject, Worker, Detail string
	// Class is the CSS class that sets the colour: "task", "lease",
	// "configuration" or "host".
	Class string
}

// renderPage writes an HTML page of the events that needs no other files and
// contains no scripts.
func renderPage(w io.Writer, events []timeline.Event, gaps []string) error {
	rowY := make(map[string]int)
	var rows []pageRow
	for _, e := range events {
		if _, ok := rowY[e.Host]; !ok {
			rowY[e.Host] = 0
			rows = append(rows, pageRow{Name: e.Host, FailureDomain: e.FailureDomain})
		}
	}
	slices.SortFunc(rows, func(a, b pageRow) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	for i := range rows {
		rows[i].Y = pageRowHeight/2 + i*pageRowHeight
		rowY[rows[i].Name] = rows[i].Y
	}
	p := page{Gaps: gaps, Rows: rows, Left: pageLabelWidth,
		Width: pageLabelWidth + (len(events)+1)*pageColumnWidth, Height: len(rows) * pageRowHeight}
	for i, e := range events {
		p.Events = append(p.Events, pageEvent{
			Number: i + 1, X: pageLabelWidth + (i+1)*pageColumnWidth, Y: rowY[e.Host], Time: eventTime(e), Host: e.Host,
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
