package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/laburnumpass/laburnumpass/api"
)

type jobQuotasCmd struct{ readinessFlags }

// Help implements kong's extended help.
func (jobQuotasCmd) Help() string {
	return `Lists for each team and shard the part of the team's quota that the shard holds, what
the team may run there, what it runs, and for how long work has been waiting for the
quota. Amounts are processors, memory in GiB and accelerators; "-" is not limited.

Example:

  laburnumpass job quotas -e 10.1.0.30:8141`
}

// Run implements the command.
func (c *jobQuotasCmd) Run(g *globals) error {
	var list api.QuotaList
	if err := c.get(g.ctx, api.PathQuotas, &list); err != nil {
		return err
	}
	if len(list.Missing) > 0 {
		g.progress("could not be asked: %s", strings.Join(list.Missing, ", "))
	}
	return g.print(list, func(w io.Writer) { quotasTable(w, list) })
}

func quotasTable(w io.Writer, list api.QuotaList) {
	var rows [][]string
	for _, t := range list.Teams {
		part := fmt.Sprintf("%.0f/%.0f/%.0f%%", t.Percent[0], t.Percent[1], t.Percent[2])
		rows = append(rows, []string{t.Team, t.Shard, formatAmounts(t.Quota, t.Quota), part, formatAmounts(t.Limit, t.Quota), formatAmounts(t.Used, api.Amounts{MilliCPU: 1, MemoryMiB: 1, Accelerators: 1}), fmt.Sprint(t.HeldMS)})
	}
	writeTable(w, "TEAM SHARD QUOTA PART LIMIT USED HELD_MS", rows)
}

// formatAmounts shows the amounts of the resources that limits includes.
func formatAmounts(a, limits api.Amounts) string {
	format := func(v float64, limit int64) string {
		if limit == 0 {
			return "-"
		}
		return fmt.Sprintf("%.4g", v)
	}
	return format(float64(a.MilliCPU)/1000, limits.MilliCPU) + "/" + format(float64(a.MemoryMiB)/1024, limits.MemoryMiB) + "/" + format(float64(a.Accelerators), limits.Accelerators)
}
