package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// Report sums the outcomes of a load up.
type Report struct {
	Rows []Row `json:"rows"`
	// Reasons counts the outcomes other than an answer by their reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Wrong lists requests without exactly one whole answer of their own.
	Wrong []string `json:"wrong,omitempty"`
	// PeakSlotUsePercent is the largest share of the slots that were in use at one time;
	// nil if it is not known.
	PeakSlotUsePercent *float64 `json:"packing_peak_percent,omitempty"`
	// JournalsChecked counts the workers' journals that were checked, none if the
	// workers are not stand-ins in this process.
	JournalsChecked int `json:"journals_checked"`
	// Violations lists what the workers' journals show against the guarantees.
	Violations []string `json:"violations,omitempty"`
	// ControlBytesPerSecond is the heartbeat traffic of one entry host, both
	// directions, in bytes a second; nil if it is not known.
	ControlBytesPerSecond *float64 `json:"control_bytes_per_s,omitempty"`
}

// Row is the line of one kind of work. Waits are the times from submission to
// outcome less the task's own run time, in milliseconds.
type Row struct {
	Kind     string  `json:"kind"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	WaitP50  float64 `json:"wait_p50_ms"`
	WaitP90  float64 `json:"wait_p90_ms"`
	WaitP99  float64 `json:"wait_p99_ms"`
}

// Summarize builds the report of a load. Journals may be empty if the workers
// are not stand-ins.
func Summarize(sent []Result, kinds []Workload, journals []*standin.Journal) Report {
	var r Report
	for i := range kinds {
		r.Rows = append(r.Rows, row(sent, &kinds[i]))
	}
	r.Reasons = make(map[string]int)
	for i := range sent {
		if resp := sent[i].Response; resp.Outcome != api.Answered {
			r.Reasons[string(resp.Outcome)+"/"+string(resp.Reason)]++
		}
		if err := sent[i].Check(standin.ExpectedAnswer); err != nil {
			r.Wrong = append(r.Wrong, fmt.Sprintf("%s %s: %s", sent[i].Workload.Name, sent[i].Request.ID, err))
		}
	}
	for _, v := range standin.CheckJournals(journals...) {
		r.Violations = append(r.Violations, v.String())
	}
	if r.JournalsChecked = len(journals); r.JournalsChecked > 0 {
		packing := 100 * peakShare(journals)
		r.PeakSlotUsePercent = &packing
	}
	return r
}

func row(sent []Result, kind *Workload) Row {
	out := Row{Kind: kind.Name}
	var waits []time.Duration
	for i := range sent {
		if sent[i].Workload != kind {
			continue
		}
		out.Requests++
		switch sent[i].Response.Outcome {
		case api.Answered:
			out.Answered++
			waits = append(waits, max(0, sent[i].Latency-sent[i].RunTime))
		case api.NotRun:
			out.NotRun++
		default:
			out.Unknown++
		}
	}
	slices.Sort(waits)
	out.WaitP50, out.WaitP90, out.WaitP99 = quantile(waits, 0.5), quantile(waits, 0.9), quantile(waits, 0.99)
	return out
}

// quantile returns a quantile of sorted durations in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}

// peakShare returns the largest share of all slots that were in use at one
// time.
func peakShare(journals []*standin.Journal) float64 {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	slots := 0
	for _, j := range journals {
		slots += j.Capacity().Slots
		for _, e := range j.Events() {
			switch e.Kind {
			case standin.EventBegin:
				changes = append(changes, change{e.Time, 1})
			case standin.EventEnd:
				changes = append(changes, change{e.Time, -1})
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	used, peak := 0, 0
	for _, c := range changes {
		used += c.delta
		peak = max(peak, used)
	}
	if slots == 0 {
		return 0
	}
	return float64(peak) / float64(slots)
}

// OK reports whether every request got exactly one whole answer.
func (r *Report) OK() bool { return len(r.Wrong) == 0 && len(r.Violations) == 0 }

func known(value *float64, format, unknown string) string {
	if value == nil {
		return unknown
	}
	return fmt.Sprintf(format, *value)
}

// maxListed bounds the wrong requests that Print lists.
const maxListed = 10

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\trequests\tanswered\tnot run\tunknown\twait p50 ms\twait p90 ms\twait p99 ms\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			row.Kind, row.Requests, row.Answered, row.NotRun, row.Unknown, row.WaitP50, row.WaitP90, row.WaitP99)
	}
	_ = t.Flush()
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(w, "%s: %d\n", reason, r.Reasons[reason])
	}
	const notAsked = "not asked for; give --operator and --token"
	fmt.Fprintln(w, "peak use of slots:", known(r.PeakSlotUsePercent, "%.0f%%", notAsked))
	fmt.Fprintln(w, "control traffic of one entry host:", known(r.ControlBytesPerSecond, "%.0f bytes/s", notAsked))
	if r.JournalsChecked > 0 {
		fmt.Fprintf(w, "violations in the workers' journals: %d\n", len(r.Violations))
	} else {
		fmt.Fprintln(w, "violations in the workers' journals: not checked; the workers are not in this process")
	}
	for i, v := range append(slices.Clone(r.Violations), r.Wrong...) {
		if i == maxListed {
			fmt.Fprintf(w, "... and %d more\n", len(r.Violations)+len(r.Wrong)-maxListed)
			break
		}
		fmt.Fprintln(w, "  "+v)
	}
	if r.OK() {
		fmt.Fprintln(w, "every request got exactly one whole answer")
	}
}
