package cli

import "testing"

// TestDemo guards against a report that shows a packing and control traffic of 0
// for a running system, instead of saying that they were not asked for. They are
// only known if the operators' addresses are given.
func TestDemo(t *testing.T) {
	placeholders := startedCell(t).placeholders(t)
	placeholders["CLOSED"] = closedAddress
	load := "demo --scale 0.02 --address CALLERS"
	runTable(t, placeholders, []commandCase{
		{name: "callers only", line: load, stdout: []string{
			"peak use of slots: not asked for", "control traffic of one entry host: not asked for", "not checked"}},
		{name: "with operators", line: load + " --operator OPERATORS --token TOKEN --output json", stdout: []string{
			`"packing_peak_percent": `, `"control_bytes_per_s": `, `"journals_checked": 0`}},
		{name: "operators out of reach", line: load + " --operator CLOSED --token TOKEN", code: exitUnreachable},
	})
}
