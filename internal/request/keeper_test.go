package request

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// TestFaults guards against a second run, a false not_run and a lost answer
// when the keeper, a backup or the link fails in one place.
func TestFaults(t *testing.T) {
	type env struct {
		c    *cluster
		id   string
		a, b *fakeHost // the keeper and its successor
	}
	// takeOver waits until b is the keeper instead of a.
	takeOver := func() { time.Sleep(1500 * time.Millisecond) }
	for _, test := range []struct {
		name string
		do   func(t *testing.T, e env)
		runs int
	}{
		{"keeper dies before the reservation", func(t *testing.T, e env) {
			e.a.hold("queued")
			e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(true)
			takeOver()
			require.Equal(t, "answered", e.b.submit(e.id).Outcome)
		}, 1},
		{"keeper dies between reservation and dispatch", func(t *testing.T, e env) {
			e.a.hold("dispatch")
			e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(true)
			takeOver()
			require.Equal(t, "not_run", e.b.k.Resolve(t.Context(), e.id).Outcome)
			require.Equal(t, "answered", e.b.submit(e.id).Outcome)
		}, 1},
		{"keeper dies after the dispatch", func(t *testing.T, e env) {
			e.a.hold("answer")
			e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(true)
			takeOver()
			out := e.b.submit(e.id)
			require.Equal(t, "answered", out.Outcome)
			require.Equal(t, "answer to "+e.id, string(out.Body))
		}, 1},
		{"worker unreachable after the keeper's death", func(t *testing.T, e env) {
			e.a.hold("answer")
			e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(true)
			e.c.worker.unreachable.Store(true)
			takeOver()
			require.Equal(t, "unknown", e.b.submit(e.id).Outcome)
			e.c.worker.unreachable.Store(false)
			time.Sleep(10 * time.Second)
			require.Equal(t, "answered", e.b.k.Resolve(t.Context(), e.id).Outcome)
		}, 1},
		{"keeper paused between reservation and dispatch", func(t *testing.T, e env) {
			e.a.hold("dispatch")
			late := e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(false)
			takeOver()
			require.Equal(t, "not_run", e.b.k.Resolve(t.Context(), e.id).Outcome)
			require.Equal(t, "answered", e.b.submit(e.id).Outcome)
			e.a.release("dispatch")
			e.a.resume()
			require.True(t, (<-late).NotKeeper, "the paused keeper cannot claim not_run")
			takeOver()
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
		}, 1},
		{"keeper paused in the queue while another runs the request", func(t *testing.T, e env) {
			e.a.hold("queued")
			late := e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(false)
			takeOver()
			require.Equal(t, "answered", e.b.submit(e.id).Outcome)
			e.a.release("queued")
			e.a.resume()
			require.True(t, (<-late).NotKeeper)
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
		}, 1},
		{"keeper paused in the queue, then alone", func(t *testing.T, e env) {
			e.a.hold("queued")
			late := e.a.begin(submit(e.id))
			synctest.Wait()
			e.a.stop(false)
			takeOver()
			require.Equal(t, "answered", e.b.submit(e.id).Outcome)
			e.b.stop(true)
			takeOver()
			e.a.release("queued")
			e.a.resume()
			require.Equal(t, "unknown", (<-late).Outcome)
			require.Equal(t, "before_horizon", e.a.submit(e.id).Reason)
		}, 1},
		{"lost replication acknowledgement", func(t *testing.T, e env) {
			e.a.lostAcks = 2
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
		}, 1},
		{"backup dies during the replication", func(t *testing.T, e env) {
			e.b.hold("receive")
			out := e.a.begin(submit(e.id))
			synctest.Wait()
			e.b.stop(true)
			require.Equal(t, "answered", (<-out).Outcome)
		}, 1},
		{"backup refuses", func(t *testing.T, e env) {
			e.b.keeperOf = func(string) string { return "other" }
			out := e.a.submit(e.id)
			require.Equal(t, "unknown", out.Outcome)
			require.True(t, out.NotKeeper)
		}, 0},
		{"two keepers for one ID", func(t *testing.T, e env) {
			e.b.keeperOf = func(string) string { return e.b.name }
			out := e.b.begin(submit(e.id))
			require.True(t, e.a.submit(e.id).NotKeeper)
			require.True(t, (<-out).NotKeeper)
		}, 0},
		{"whole failure domain restarts", func(t *testing.T, e env) {
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
			fresh := testID(time.Now().Add(30 * time.Second))
			e.a.stop(true)
			e.b.stop(true)
			takeOver()
			e.c.restart(t, 0)
			e.c.restart(t, 1)
			k, _ := e.c.first(e.id)
			require.Equal(t, "before_horizon", k.submit(e.id).Reason)
			require.Equal(t, "before_horizon", k.k.Cancel(t.Context(), e.id).Reason)
			time.Sleep(30 * time.Second)
			k, _ = e.c.first(fresh)
			require.Equal(t, "answered", k.submit(fresh).Outcome)
		}, 1},
		{"caller leaves and retries", func(t *testing.T, e env) {
			e.a.hold("answer")
			req := submit(e.id)
			req.DeadlineMs = 10
			require.Equal(t, "pending", e.a.k.Submit(t.Context(), req).Reason)
			req.Detach = true
			require.Equal(t, "dispatched", e.a.k.Submit(t.Context(), req).State)
			e.a.release("answer")
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
		}, 1},
		{"damaged answer is asked for again", func(t *testing.T, e env) {
			e.a.result = func(string, uint32) *Result {
				r := answered("whole")
				r.Body = r.Body[:2]
				return &r
			}
			require.Equal(t, "unknown", e.a.submit(e.id).Outcome)
			require.Equal(t, "answer to "+e.id, string(e.a.submit(e.id).Body))
		}, 1},
		{"same ID, other content", func(t *testing.T, e env) {
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
			req := submit(e.id)
			req.Body = []byte("other")
			require.Equal(t, "invalid", e.a.k.Submit(t.Context(), req).Reason)
		}, 1},
		{"rejected by the worker, then retried", func(t *testing.T, e env) {
			e.c.worker.fenced[e.id+"#0.1"] = true
			require.Equal(t, "worker_failed", e.a.submit(e.id).Reason)
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
		}, 1},
		{"host joins during the run", func(t *testing.T, e env) {
			require.Equal(t, "answered", e.a.submit(e.id).Outcome)
			e.b.stop(true)
			takeOver()
			i := 0
			if e.c.hosts[1] == e.b {
				i = 1
			}
			e.c.restart(t, i)
			e.a.stop(true)
			takeOver()
			require.Equal(t, "answered", e.c.hosts[i].submit(e.id).Outcome)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				id := testID(time.Now())
				a, b := c.first(id)
				test.do(t, env{c, id, a, b})
				require.Equal(t, test.runs, c.worker.ran(id), "runs")
			})
		})
	}
}

// TestAge guards against IDs that outlive their records on either side.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		for _, test := range []struct {
			age  time.Duration
			want string
		}{
			{0, ""}, {9 * time.Minute, ""}, {11 * time.Minute, "before_horizon"}, {-time.Second, ""},
			{-3 * time.Second, "invalid"}, {2 * time.Hour, "before_horizon"},
		} {
			require.Equal(t, test.want, c.hosts[0].submit(testID(time.Now().Add(-test.age))).Reason, "age %s", test.age)
		}
		id := testID(time.Now())
		require.Equal(t, "answered", c.hosts[0].submit(id).Outcome)
		time.Sleep(DefaultRetention + time.Minute)
		require.Zero(t, c.hosts[0].k.Stats().Records)
		require.Zero(t, c.hosts[0].k.Stats().BodyBytes)
		require.Equal(t, "before_horizon", c.hosts[0].submit(id).Reason)
		require.Equal(t, 1, c.worker.ran(id))
	})
}

// TestCancel guards against a run after a confirmed cancellation and against a
// claim of not_run for a request that has begun.
func TestCancel(t *testing.T) {
	for _, test := range []struct {
		at, want string
		runs     int
	}{{"absent", "not_run", 0}, {"queued", "not_run", 0}, {"send", "not_run", 0}, {"dispatch", "unknown", 1}, {"answered", "answered", 1}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 2)
			id := testID(time.Now())
			a, _ := c.first(id)
			a.hold(test.at)
			var out <-chan *rpc.SubmitReply
			if test.at != "absent" {
				out = a.begin(submit(id))
				synctest.Wait()
			}
			require.Equal(t, test.want, a.k.Cancel(t.Context(), id).Outcome, test.at)
			a.release(test.at)
			time.Sleep(time.Second)
			if out != nil && test.want == "not_run" {
				require.Equal(t, "cancelled", (<-out).Reason)
			}
			if test.want == "not_run" {
				require.Equal(t, string(api.ReasonCancelled), a.submit(id).Reason, "a late submit must not run")
			}
			require.Equal(t, test.runs, c.worker.ran(id), test.at)
		})
	}
}
