package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

// Guards against a record that cannot be read and shortens a wait or ends the process.
func TestMalformedRecordOfSilentWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		workers  string
		withheld bool
	}{
		"no JSON":                 {`{`, false},
		"another type":            {`["w"]`, false},
		"a text as a figure":      {`{"w":{"usual_ms":"5000","longest_ms":7000}}`, false},
		"negative":                {`{"w":{"usual_ms":-5000,"longest_ms":-5000}}`, true},
		"no figures":              {`{"w":{}}`, true},
		"null":                    {`{"w":null}`, true},
		"only the usual one":      {`{"w":{"usual_ms":5000}}`, true},
		"the longest one shorter": {`{"w":{"usual_ms":5000,"longest_ms":4999}}`, true},
		"beyond a duration":       {`{"w":{"usual_ms":9223372036854,"longest_ms":9223372036855}}`, true},
		"wraps around to 5 s":     {`{"w":{"usual_ms":18446744078710,"longest_ms":18446744078710}}`, true},
		"beyond 64 bits":          {`{"w":{"usual_ms":5000,"longest_ms":9223372036854775808}}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			withSilentWorker(t, func(t *testing.T, p *Pool, n *node, _ *run) {
				logged := 0
				p.log = funcr.New(func(string, string) { logged++ }, funcr.Options{})
				n.hasReplied = false
				p.predecessorLeases = leaseEnds{cell.BootTime() + 10*time.Second, cell.BootTime() + 14*time.Second}
				p.restore([]store.Record{{Key: keySilent, Value: fmt.Appendf(nil, `{"epoch":1,"workers":%s}`, c.workers)}}, cell.BootTime())
				require.Equal(t, p.predecessorLeases, p.unrepliedLeaseEnds(n))
				require.Equal(t, c.withheld, n.leasesWithheld)
				require.Equal(t, 1, logged)
			})
		})
	}
}
