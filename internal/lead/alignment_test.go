package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a predecessor that counts as confirmed when its record was read late, and against one that counts as confirmed before it was.
func TestWhenARecordWasSent(t *testing.T) {
	const second = time.Second
	type read struct {
		epoch       int64
		incarnation string
		termMS      int64
		at          time.Duration
	}
	for name, c := range map[string]struct {
		reads  []read
		sentBy time.Duration
	}{
		"the first record":               {[]read{{1, "a", 5000, 100 * second}}, 100 * second},
		"read late":                      {[]read{{1, "a", 0, 100 * second}, {1, "a", 3000, 104 * second}}, 103*second + alignmentSlack},
		"read at once":                   {[]read{{1, "a", 0, 100 * second}, {1, "a", 3000, 103 * second}}, 103 * second},
		"the first one was read late":    {[]read{{1, "a", 1000, 102 * second}, {1, "a", 2000, 102 * second}, {1, "a", 3000, 104 * second}}, 103*second + alignmentSlack},
		"long after the first one":       {[]read{{1, "a", 0, 100 * second}, {1, "a", 30_001, 135 * second}}, 135 * second},
		"another term":                   {[]read{{1, "a", 0, 100 * second}, {2, "a", 3000, 104 * second}}, 104 * second},
		"another process":                {[]read{{1, "a", 0, 100 * second}, {1, "b", 3000, 104 * second}}, 104 * second},
		"a version that says no age":     {[]read{{1, "a", 0, 100 * second}, {1, "a", 0, 104 * second}}, 104 * second},
		"an earlier one that comes late": {[]read{{1, "a", 3000, 100 * second}, {1, "a", 2000, 104 * second}}, 104 * second},
	} {
		t.Run(name, func(t *testing.T) {
			var a termAlignment
			var sentBy time.Duration
			for _, r := range c.reads {
				sentBy = a.sentBy(&Holder{Epoch: r.epoch, Incarnation: r.incarnation, TermMS: r.termMS}, r.at)
			}
			require.Equal(t, c.sentBy, sentBy)
		})
	}
}
