package jobhost

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

const (
	// timelineEvents is the size of the ring: some ten seconds of a scheduler
	// with 130 starts a second, in 0.4 MB.
	timelineEvents = 2000
	// timelineTimeout bounds the questions to the other hosts.
	timelineTimeout = time.Second
)

// mergedTimeline is the answer to api.PathTimeline.
type mergedTimeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the addresses of hosts that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// event adds an event of this host to its ring.
func (h *Host) event(e timeline.Event) {
	e.Host, e.FailureDomain = h.settings.Host, h.settings.FailureDomain
	h.events.Add(e)
}

// Events implements jobsrpc.Jobs.
func (s peerServer) Events(_ context.Context, r *jobsrpc.EventsRequest) (*jobsrpc.EventsReply, error) {
	s.host.clock.Observe(r.Clock)
	events, _ := s.host.events.Since(0, 0, timeline.Filter{Request: r.Job})
	encoded, err := json.Marshal(events)
	if err != nil {
		return nil, errors.Wrap(err, "encode events")
	}
	return &jobsrpc.EventsReply{Events: encoded}, nil
}

// serveTimeline answers with the events of all hosts about the job of the query
// parameter "job", in causal order.
func (h *Host) serveTimeline(c *fasthttp.RequestCtx) {
	job := string(c.QueryArgs().Peek("job"))
	own, _ := h.events.Since(0, 0, timeline.Filter{Request: job})
	var mu sync.Mutex
	lists, answer := [][]timeline.Event{own}, mergedTimeline{}
	ctx, cancel := context.WithTimeout(context.Background(), timelineTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, address := range h.neighbours.addresses() {
		calls.Go(func() error {
			events, err := h.eventsOf(ctx, address, job)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				h.log.Info("no events from a host", "address", address, "error", err.Error())
				answer.Missing = append(answer.Missing, address)
				return nil
			}
			lists = append(lists, events)
			return nil
		})
	}
	_ = calls.Wait() // faults are in answer.Missing
	answer.Events = timeline.Merge(lists...)
	h.writeJSON(c, answer)
}

func (h *Host) eventsOf(ctx context.Context, address, job string) ([]timeline.Event, error) {
	reply, err := h.peers.client(address).Events(ctx, &jobsrpc.EventsRequest{Job: job, Clock: h.clock.Now()})
	if err != nil {
		return nil, errors.Wrap(err, "ask for events")
	}
	var events []timeline.Event
	return events, errors.Wrap(json.Unmarshal(reply.Events, &events), "decode events")
}
