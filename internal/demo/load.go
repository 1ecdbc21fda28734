// Package demo sends a sample load to a cell and reports the outcomes.
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

// Workload describes the requests of one kind in the sample load.
type Workload struct {
	Name    string
	Service string
	Team    string
	// Requests is the total number of requests.
	Requests int
	// RequestsPerSecond is the mean arrival rate; the times between arrivals are
	// exponentially distributed.
	RequestsPerSecond float64
	// RunMS is the mean run time of a task in milliseconds; run times are
	// exponentially distributed.
	RunMS int
	// Members is the number of members of a gang (all-at-once) job; 0 means 1.
	Members  int
	Deadline time.Duration
	// Resources are those declared for one task; zero means the service's.
	Resources api.Resources
	// ActualUsage is what a task actually uses; nil means its declared
	// resources.
	ActualUsage *api.Resources
	// AnswerBytes is the length of the answer.
	AnswerBytes int
	Idempotent  bool
}

// OrderDesk returns the load of the order desk's deployment, which uses about two
// thirds of its slots: price confirmations, bung inspections on accelerators,
// nightly reports and training as gang jobs. scale multiplies the numbers of
// requests.
func OrderDesk(scale float64) []Workload {
	return []Workload{
		{Name: "price", Service: "order-desk", Team: "sales", Requests: scaled(2400, scale), RequestsPerSecond: 600, RunMS: 40, Deadline: 5 * time.Second, AnswerBytes: 200},
		{Name: "inspection", Service: "inspection", Team: "quality", Requests: scaled(300, scale), RequestsPerSecond: 80, RunMS: 120, Deadline: 10 * time.Second, AnswerBytes: 2000, Idempotent: true},
		{Name: "report", Service: "batch", Team: "planning", Requests: scaled(200, scale), RequestsPerSecond: 60, RunMS: 300, Deadline: 30 * time.Second, AnswerBytes: 500},
		{Name: "training", Service: "gang", Team: "quality", Requests: scaled(4, scale), RequestsPerSecond: 1, RunMS: 400, Members: 6, Deadline: 30 * time.Second, AnswerBytes: 100},
	}
}

// SparesDesk returns the load of the spares desk's deployment: wear checks, part
// orders, die imaging, regrind plans and matching as gang jobs. scale multiplies
// the numbers of requests.
func SparesDesk(scale float64) []Workload {
	return []Workload{
		{Name: "wear_check", Service: "spares-desk", Team: "sales", Requests: scaled(2000, scale), RequestsPerSecond: 500, RunMS: 50, Deadline: 5 * time.Second, AnswerBytes: 300, Idempotent: true},
		{Name: "part_order", Service: "spares-desk", Team: "research", Requests: scaled(400, scale), RequestsPerSecond: 100, RunMS: 50, Deadline: 5 * time.Second, AnswerBytes: 300},
		{Name: "imaging", Service: "die-imaging", Team: "sales", Requests: scaled(300, scale), RequestsPerSecond: 80, RunMS: 120, Deadline: 10 * time.Second, AnswerBytes: 2000, Idempotent: true},
		{Name: "regrind_plan", Service: "batch", Team: "planning", Requests: scaled(150, scale), RequestsPerSecond: 50, RunMS: 300, Deadline: 30 * time.Second, AnswerBytes: 500},
		{Name: "matching", Service: "gang", Team: "sales", Requests: scaled(3, scale), RequestsPerSecond: 1, RunMS: 400, Members: 5, Deadline: 30 * time.Second, AnswerBytes: 100},
	}
}

func scaled(count int, scale float64) int { return max(1, int(float64(count)*scale)) }

// Result is one request of the load with its outcome.
type Result struct {
	Workload *Workload
	Request  api.Request
	Response api.Response
	Err      error
	// Latency is the time from submission to outcome.
	Latency time.Duration
	// RunTime is the run time that the request's body asked for.
	RunTime time.Duration
}

// taskBody is the part of standin.TaskBody that the load sets.
type taskBody struct {
	RunMS       int            `json:"run_ms"`
	AnswerBytes int            `json:"answer_bytes"`
	ActualUsage *api.Resources `json:"use,omitempty"`
}

// maxInFlight limits the number of concurrent requests. It is far above what the
// load needs.
const maxInFlight = 20000

// Run sends the requests of all workloads at their rates and returns every
// request with its outcome. The same seed gives the same load; the arrival times
// are kept as closely as the machine allows.
func Run(ctx context.Context, client *api.Client, workloads []Workload, seed uint64) ([]Result, error) {
	var mu sync.Mutex
	var results []Result
	group, arrivalsCtx := errgroup.WithContext(ctx)
	var submissions errgroup.Group
	submissions.SetLimit(maxInFlight)
	for i := range workloads {
		workload := &workloads[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() error {
			next := time.Now()
			for range workload.Requests {
				next = next.Add(time.Duration(rng.ExpFloat64() / workload.RequestsPerSecond * float64(time.Second)))
				run := min(20*workload.RunMS, int(rng.ExpFloat64()*float64(workload.RunMS)))
				if !sleepUntil(arrivalsCtx, next) {
					return arrivalsCtx.Err()
				}
				req, err := workload.newRequest(ctx, client, run)
				if err != nil {
					return errors.Wrapf(err, "prepare a request of workload %s", workload.Name)
				}
				submissions.Go(func() error {
					r := Result{Workload: workload, Request: req, RunTime: time.Duration(run) * time.Millisecond}
					began := time.Now()
					r.Response, r.Err = client.Do(ctx, req)
					r.Latency = time.Since(began)
					mu.Lock()
					results = append(results, r)
					mu.Unlock()
					return nil
				})
			}
			return nil
		})
	}
	err := group.Wait()
	_ = submissions.Wait()
	return results, err
}

func (w *Workload) newRequest(ctx context.Context, client *api.Client, run int) (api.Request, error) {
	body, err := json.Marshal(taskBody{RunMS: run, AnswerBytes: w.AnswerBytes, ActualUsage: w.ActualUsage})
	if err != nil {
		return api.Request{}, err
	}
	id, err := client.NewID(ctx)
	return api.Request{
		ID: id, Team: w.Team, Service: w.Service, Idempotent: w.Idempotent, DeadlineMS: int(w.Deadline / time.Millisecond),
		Members: w.Members, Resources: w.Resources, Body: body,
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

// Check returns an error unless the request got a correct answer: if the answer is
// missing, truncated, that of a failed task or that of another request. expected
// returns the expected answer body of a task.
func (r *Result) Check(expected func(requestID string, body []byte) []byte) error {
	if r.Err != nil {
		return r.Err
	}
	if err := r.Response.Verify(r.Request.ID); err != nil {
		return err
	}
	if r.Response.Outcome != api.Answered {
		return errors.Errorf("outcome %s, reason %s", r.Response.Outcome, r.Response.Reason)
	}
	if r.Response.Failed {
		return errors.Errorf("the task failed: %s", r.Response.Body)
	}
	want := expected(r.Request.ID, r.Request.Body)
	if r.Request.Members <= 1 {
		if string(r.Response.Body) != string(want) {
			return errors.New("the answer belongs to another request")
		}
		return nil
	}
	return checkMembers(r.Response.Body, r.Request.Members, want)
}

func checkMembers(body []byte, members int, want []byte) error {
	var answers []struct {
		Body []byte `json:"body"`
	}
	if err := json.Unmarshal(body, &answers); err != nil {
		return errors.Wrap(err, "decode the member answers of a gang job")
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
