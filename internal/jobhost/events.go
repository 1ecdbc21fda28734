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
	// timelineCapacity is the number of events that the ring holds: about ten
	// seconds for a scheduler with 130 starts per second, in 0.4 MB.
	timelineCapacity = 2000
	// timelineTimeout limits the calls to the other hosts for one timeline.
	timelineTimeout = time.Second
)

// mergedTimeline is the reply to a request for api.PathTimeline.
type mergedTimeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the addresses of hosts that did not reply.
	Missing []string `json:"missing,omitempty"`
}

// recordEvent adds an event of this host to its ring.
func (h *Host) recordEvent(e timeline.Event) {
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

// serveTimeline replies with the events of all hosts in causal order, about the
// job in the query parameter "job" if there is one.
func (h *Host) serveTimeline(c *fasthttp.RequestCtx) {
	job := string(c.QueryArgs().Peek("job"))
	own, _ := h.events.Since(0, 0, timeline.Filter{Request: job})
	var mu sync.Mutex
	lists, merged := [][]timeline.Event{own}, mergedTimeline{}
	ctx, cancel := context.WithTimeout(context.Background(), timelineTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, address := range h.knownHosts.addresses() {
		calls.Go(func() error {
			events, err := h.fetchEvents(ctx, address, job)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				h.log.Info("host did not return its events", "address", address, "error", err.Error())
				merged.Missing = append(merged.Missing, address)
				return nil
			}
			lists = append(lists, events)
			return nil
		})
	}
	_ = calls.Wait() // the calls return nil; failed ones are in merged.Missing
	merged.Events = timeline.Merge(lists...)
	h.writeJSON(c, merged)
}

func (h *Host) fetchEvents(ctx context.Context, address, job string) ([]timeline.Event, error) {
	reply, err := h.peerClients.client(address).Events(ctx, &jobsrpc.EventsRequest{Job: job, Clock: h.clock.Now()})
	if err != nil {
		return nil, errors.Wrap(err, "request events")
	}
	var events []timeline.Event
	return events, errors.Wrap(json.Unmarshal(reply.Events, &events), "decode events")
}
