package entryhost

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/request"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// sampleConfiguration implements schedule.Configuration with the sample objects.
type sampleConfiguration struct{ contract.ObjectSet }

func (c sampleConfiguration) Profile(n string) (p contract.Profile, ok bool) {
	p, ok = c.Profiles[n]
	return
}

func (c sampleConfiguration) Service(n string) (s contract.Service, ok bool) {
	s, ok = c.Services[n]
	return
}

func (c sampleConfiguration) Quota(n string) (q contract.Quota, ok bool) { q, ok = c.Quotas[n]; return }

// TestCancelRequeuedRequest guards against running a request that was cancelled
// while queued. It happened to a request that another host had returned and that
// was queued here again: its record counts as dispatched, so that the cancellation
// does not end its context.
func TestCancelRequeuedRequest(t *testing.T) {
	for name, beforeQueued := range map[string]bool{"queued": false, "not yet queued": true} {
		t.Run(name, func(t *testing.T) {
			sample := schedule.Configuration(sampleConfiguration{contract.Sample()})
			h := &Host{cancels: newCancelTable(), scheduler: schedule.New(schedule.Options{
				Configuration: func() schedule.Configuration { return sample },
			})}
			r := newRunner(h)
			h.cancels.begin("id")
			if beforeQueued {
				h.cancels.cancel("id")
			}
			done := make(chan request.Result, 1)
			go func() {
				job := schedule.Job{ID: "id", Team: "planning", Service: "batch", Deadline: time.Now().Add(time.Minute)}
				reserve := func(context.Context, string, []*rpc.Member) error {
					t.Error("a cancelled request was placed")
					return nil
				}
				res, _, _ := r.runLocal(context.Background(), &rpc.SubmitRequest{Id: "id"}, job, 1, reserve, nil)
				done <- res
			}()
			if !beforeQueued {
				require.Eventually(t, func() bool { return h.scheduler.Demand()["planning"].Queued == 1 }, 10*time.Second, time.Millisecond)
				h.cancels.cancel("id")
			}
			select {
			case res := <-done:
				require.Equal(t, api.NotRun, res.Outcome)
				require.Equal(t, api.ReasonCancelled, res.Reason)
			case <-time.After(10 * time.Second):
				t.Fatal("the request is still queued")
			}
			require.Empty(t, h.scheduler.Demand())
			h.cancels.end("id")
			require.False(t, h.cancels.isCancelled("id"), "a later attempt is not cancelled")
		})
	}
}
