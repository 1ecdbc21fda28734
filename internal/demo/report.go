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

// Report summarizes the outcomes of a load.
type Report struct {
	Rows []Row `json:"rows"`
	// Reasons counts the outcomes other than an answer by outcome and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// Wrong lists the requests that did not get exactly one complete answer of
	// their own.
	Wrong []string `json:"wrong,omitempty"`
	// PeakSlotUsePercent is the largest share of the slots in use at any time;
	// nil if unknown.
	PeakSlotUsePercent *float64 `json:"packing_peak_percent,omitempty"`
	// JournalsChecked is the number of workers' journals that were checked; 0 if
	// the workers are not stand-ins in this process.
	JournalsChecked int `json:"journals_checked"`
	// Violations lists the violations of the guarantees in the workers' journals.
	Violations []string `json:"violations,omitempty"`
	// ControlBytesPerSecond is the mean heartbeat traffic of one entry host in
	// both directions, in bytes per second; nil if unknown.
	ControlBytesPerSecond *float64 `json:"control_bytes_per_s,omitempty"`
}

// Row is the report line of one workload. Waits are the times from submission to
// outcome minus the task's own run time, in milliseconds.
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

// Summarize builds the report of a load. journals may be empty if the workers
// are not stand-ins.
func Summarize(results []Result, workloads []Workload, journals []*standin.Journal) Report {
	var r Report
	for i := range workloads {
		r.Rows = append(r.Rows, summarizeWorkload(results, &workloads[i]))
	}
	r.Reasons = make(map[string]int)
	for i := range results {
		if resp := results[i].Response; resp.Outcome != api.Answered {
			r.Reasons[string(resp.Outcome)+"/"+string(resp.Reason)]++
		}
		if err := results[i].Check(standin.ExpectedAnswer); err != nil {
			r.Wrong = append(r.Wrong, fmt.Sprintf("%s %s: %s", results[i].Workload.Name, results[i].Request.ID, err))
		}
	}
	for _, v := range standin.CheckJournals(journals...) {
		r.Violations = append(r.Violations, v.String())
	}
	if r.JournalsChecked = len(journals); r.JournalsChecked > 0 {
		percent := 100 * peakSlotShare(journals)
		r.PeakSlotUsePercent = &percent
	}
	return r
}

func summarizeWorkload(results []Result, workload *Workload) Row {
	out := Row{Kind: workload.Name}
	var waits []time.Duration
	for i := range results {
		if results[i].Workload != workload {
			continue
		}
		out.Requests++
		switch results[i].Response.Outcome {
		case api.Answered:
			out.Answered++
			waits = append(waits, max(0, results[i].Latency-results[i].RunTime))
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

// quantile returns the quantile q of sorted durations in milliseconds, or 0 if
// there are none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(len(sorted)-1, int(q*float64(len(sorted))))
	return float64(sorted[i]) / float64(time.Millisecond)
}

// peakSlotShare returns the largest share of all slots in use at any time.
func peakSlotShare(journals []*standin.Journal) float64 {
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

// OK reports whether every request got exactly one complete answer and the
// journals show no violations.
func (r *Report) OK() bool { return len(r.Wrong) == 0 && len(r.Violations) == 0 }

func formatOrUnknown(value *float64, format, unknown string) string {
	if value == nil {
		return unknown
	}
	return fmt.Sprintf(format, *value)
}

// maxListedProblems limits the violations and wrong requests that Print lists.
const maxListedProblems = 10

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
	fmt.Fprintln(w, "peak use of slots:", formatOrUnknown(r.PeakSlotUsePercent, "%.0f%%", notAsked))
	fmt.Fprintln(w, "control traffic of one entry host:", formatOrUnknown(r.ControlBytesPerSecond, "%.0f bytes/s", notAsked))
	if r.JournalsChecked > 0 {
		fmt.Fprintf(w, "violations in the workers' journals: %d\n", len(r.Violations))
	} else {
		fmt.Fprintln(w, "violations in the workers' journals: not checked; the workers are not in this process")
	}
	for i, v := range append(slices.Clone(r.Violations), r.Wrong...) {
		if i == maxListedProblems {
			fmt.Fprintf(w, "... and %d more\n", len(r.Violations)+len(r.Wrong)-maxListedProblems)
			break
		}
		fmt.Fprintln(w, "  "+v)
	}
	if r.OK() {
		fmt.Fprintln(w, "every request got exactly one whole answer")
	}
}
