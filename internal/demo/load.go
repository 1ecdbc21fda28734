// Package demo sends a sample load to a cell and reports what came back.
package demo

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
)

// Workload is one kind of work of the sample load.
type Workload struct {
	Name    string
	Service string
	Team    string
	// Requests is the number of requests in all.
	Requests int
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64
	// RunMS is the mean run time of a task in milliseconds; run times are
	// exponentially distributed.
	RunMS int
	// Members is the number of members of an all-at-once job; 0 means 1.
	Members  int
	Deadline time.Duration
	// Resources of one task; zero takes the service's.
	Resources api.Resources
	// ActualUsage is what a task really uses; nil for its declared resources.
	ActualUsage *api.Resources
	// AnswerBytes is the length of the answer.
	AnswerBytes int
	Idempotent  bool
}

// OrderDesk is the co-operative's shape at about two thirds of its slots:
// price confirmations, bung inspections on accelerators, nightly reports and
// one all-at-once training job.
func OrderDesk(scale float64) []Workload {
	return []Workload{
		{Name: "price", Service: "order-desk", Team: "sales", Requests: n(2400, scale), RequestsPerSecond: 600, RunMS: 40, Deadline: 5 * time.Second, AnswerBytes: 200},
		{Name: "inspection", Service: "inspection", Team: "quality", Requests: n(300, scale), RequestsPerSecond: 80, RunMS: 120, Deadline: 10 * time.Second, AnswerBytes: 2000, Idempotent: true},
		{Name: "report", Service: "batch", Team: "planning", Requests: n(200, scale), RequestsPerSecond: 60, RunMS: 300, Deadline: 30 * time.Second, AnswerBytes: 500},
		{Name: "training", Service: "gang", Team: "quality", Requests: n(4, scale), RequestsPerSecond: 1, RunMS: 400, Members: 6, Deadline: 30 * time.Second, AnswerBytes: 100},
	}
}

// SparesDesk is the régie's shape: wear checks and part matches, die imaging,
// regrind plans and all-at-once jobs.
func SparesDesk(scale float64) []Workload {
	return []Workload{
		{Name: "wear_check", Service: "spares-desk", Team: "sales", Requests: n(2000, scale), RequestsPerSecond: 500, RunMS: 50, Deadline: 5 * time.Second, AnswerBytes: 300, Idempotent: true},
		{Name: "part_order", Service: "spares-desk", Team: "research", Requests: n(400, scale), RequestsPerSecond: 100, RunMS: 50, Deadline: 5 * time.Second, AnswerBytes: 300},
		{Name: "imaging", Service: "die-imaging", Team: "sales", Requests: n(300, scale), RequestsPerSecond: 80, RunMS: 120, Deadline: 10 * time.Second, AnswerBytes: 2000, Idempotent: true},
		{Name: "regrind_plan", Service: "batch", Team: "planning", Requests: n(150, scale), RequestsPerSecond: 50, RunMS: 300, Deadline: 30 * time.Second, AnswerBytes: 500},
		{Name: "matching", Service: "gang", Team: "sales", Requests: n(3, scale), RequestsPerSecond: 1, RunMS: 400, Members: 5, Deadline: 30 * time.Second, AnswerBytes: 100},
	}
}

func n(count int, scale float64) int { return max(1, int(float64(count)*scale)) }

// Result is one request of the load and its outcome.
type Result struct {
	Workload *Workload
	Request  api.Request
	Response api.Response
	Err      error
	// Latency is the time from the submission to the outcome.
	Latency time.Duration
	// RunTime is the run time that the task was told.
	RunTime time.Duration
}

// taskBody tells a stand-in worker what to do.
type taskBody struct {
	RunMS       int            `json:"run_ms"`
	AnswerBytes int            `json:"answer_bytes"`
	Use         *api.Resources `json:"use,omitempty"`
}

// maxInFlight bounds concurrent requests, far above what the load needs.
const maxInFlight = 20000

// Run sends all kinds of work at their rates and returns every request with
// its outcome. The load is the same for the same seed; its arrival times are
// met as closely as the machine allows.
func Run(ctx context.Context, client *api.Client, kinds []Workload, seed uint64) ([]Result, error) {
	var mu sync.Mutex
	var all []Result
	group, arrivals := errgroup.WithContext(ctx)
	var sending errgroup.Group
	sending.SetLimit(maxInFlight)
	for i := range kinds {
		kind := &kinds[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() error {
			next := time.Now()
			for range kind.Requests {
				next = next.Add(time.Duration(rng.ExpFloat64() / kind.RequestsPerSecond * float64(time.Second)))
				run := min(20*kind.RunMS, int(rng.ExpFloat64()*float64(kind.RunMS)))
				if !sleepUntil(arrivals, next) {
					return arrivals.Err()
				}
				req, err := kind.request(ctx, client, run)
				if err != nil {
					return errors.Wrapf(err, "prepare a request of kind %s", kind.Name)
				}
				sending.Go(func() error {
					s := Result{Workload: kind, Request: req, RunTime: time.Duration(run) * time.Millisecond}
					began := time.Now()
					s.Response, s.Err = client.Do(ctx, req)
					s.Latency = time.Since(began)
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
					return nil
				})
			}
			return nil
		})
	}
	err := group.Wait()
	_ = sending.Wait()
	return all, err
}

func (k *Workload) request(ctx context.Context, client *api.Client, run int) (api.Request, error) {
	body, err := json.Marshal(taskBody{RunMS: run, AnswerBytes: k.AnswerBytes, Use: k.ActualUsage})
	if err != nil {
		return api.Request{}, err
	}
	id, err := client.NewID(ctx)
	return api.Request{
		ID: id, Team: k.Team, Service: k.Service, Idempotent: k.Idempotent, DeadlineMS: int(k.Deadline / time.Millisecond),
		Members: k.Members, Resources: k.Resources, Body: body,
	}, err
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Check returns what is wrong with the answer of a request: an answer that
// belongs to another request, is cut, or is missing.
func (s *Result) Check(expected func(requestID string, body []byte) []byte) error {
	if s.Err != nil {
		return s.Err
	}
	if err := s.Response.Verify(s.Request.ID); err != nil {
		return err
	}
	if s.Response.Outcome != api.Answered {
		return errors.Errorf("outcome %s, reason %s", s.Response.Outcome, s.Response.Reason)
	}
	if s.Response.Failed {
		return errors.Errorf("the task failed: %s", s.Response.Body)
	}
	want := expected(s.Request.ID, s.Request.Body)
	if s.Request.Members <= 1 {
		if string(s.Response.Body) != string(want) {
			return errors.New("the answer belongs to another request")
		}
		return nil
	}
	return checkMembers(s.Response.Body, s.Request.Members, want)
}

func checkMembers(body []byte, members int, want []byte) error {
	var answers []struct {
		Body []byte `json:"body"`
	}
	if err := json.Unmarshal(body, &answers); err != nil {
		return errors.Wrap(err, "answer of an all-at-once job")
	}
	if len(answers) != members {
		return errors.Errorf("%d of %d members answered", len(answers), members)
	}
	for i, a := range answers {
		if string(a.Body) != string(want) {
			return errors.Errorf("the answer of member %d belongs to another request", i)
		}
	}
	return nil
}
