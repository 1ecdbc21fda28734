package jobhost

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/lead"
	"github.com/laburnumpass/laburnumpass/internal/shard"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
)

var previousBound = regexp.MustCompile(`"msg"="scheduling".*"previous_bound_ms"=(\d+)`)

// runCandidate runs a host that takes part in the election for a shard. bounds
// receives, for each of its terms, how long earlier schedulers may extend leases.
func runCandidate(t *testing.T, m *storetest.Memory, name string, sh shard.Shard) (e *lead.Elector, bounds <-chan time.Duration, stop func()) {
	found := make(chan time.Duration, 10)
	settings := validSettings()
	settings.Host = name
	h := New(&settings, funcr.New(func(_, args string) {
		if match := previousBound.FindStringSubmatch(args); match != nil {
			ms, err := strconv.Atoi(match[1])
			found <- time.Duration(ms) * time.Millisecond
			if err != nil {
				t.Error(err)
			}
		}
	}, funcr.Options{}))
	h.store = &store.ReplyTracker{Store: m}
	h.config = newConfigFollower(h.store, h.log)
	ctx, cancel := context.WithCancel(t.Context())
	h.background, ctx = errgroup.WithContext(ctx)
	h.ensureElection(ctx, sh)
	return h.election(sh.String()).elector, found, func() {
		cancel()
		require.NoError(t, h.background.Wait())
	}
}

// Guards against a task that is started twice: a scheduler that resigns soon after its
// claim vouches only for itself, not for a scheduler before it that may still run.
func TestShortTermKeepsBoundOfEarlierScheduler(t *testing.T) {
	for _, resigns := range []bool{true, false} {
		t.Run(fmt.Sprintf("resigns=%t", resigns), func(t *testing.T) {
			t.Parallel()
			m, sh := &storetest.Memory{}, shard.All("desk", 1)[0]
			running, err := json.Marshal(lead.Holder{Host: "a", Address: "127.0.0.1:1", Incarnation: "a-1", Epoch: 1})
			require.NoError(t, err)
			_, err = m.Append(t.Context(), store.Append{Topic: topicLeadPrefix + sh.String(), Records: []store.Record{{Key: "holder", Value: running}}})
			require.NoError(t, err)

			begin := time.Now()
			elector, bounds, stop := runCandidate(t, m, "b", sh)
			bound := <-bounds
			require.GreaterOrEqual(t, bound, lead.MaxConfirmationAge-time.Since(begin)-time.Millisecond, "the last renewal was read after begin, and the log rounds down")
			require.LessOrEqual(t, bound, lead.MaxConfirmationAge)
			successor := "b" // restarts
			if resigns {
				successor = "c"
				_, changed := elector.Holder()
				for elector.Resign(); elector.IsHolder(); _, changed = elector.Holder() {
					<-changed
				}
			}
			stop()
			_, bounds, stop = runCandidate(t, m, successor, sh)
			defer stop()
			require.Greater(t, <-bounds, lead.MaxConfirmationAge/2)
		})
	}
}
