package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// eventsTimeout is the timeout for collecting the events of all entry hosts.
const eventsTimeout = 2 * time.Second

// recordEvent adds an event of a request or task to the timeline and logs it.
func (h *Host) recordEvent(kind, request, task, worker string) {
	h.addEvent(timeline.Event{Kind: kind, Request: request, Task: task, Worker: worker})
	h.log.V(2).Info("event", "kind", kind, "request", request, "task", task, "worker", worker)
}

// addEvent adds an event to the timeline with this host as its origin.
func (h *Host) addEvent(e timeline.Event) {
	e.Host = h.self.Name
	e.FailureDomain = h.self.FailureDomain
	h.timeline.Add(e)
}

// eventAtOffset returns an event about a configuration offset.
func eventAtOffset(kind string, offset uint64) timeline.Event {
	return timeline.Event{Kind: kind, Offset: offset}
}

// leaseEventCounters maps kinds of worker lease events to the counters that count
// them.
var leaseEventCounters = map[string]string{"worker_held": "workers.leases_gained", "worker_lost": "workers.leases_lost"}

// recordWorkerEvent implements holding.Options.OnEvent.
func (h *Host) recordWorkerEvent(worker, kind string, epoch uint64, detail string) {
	if name, ok := leaseEventCounters[kind]; ok {
		h.telemetry.count(name)
	}
	h.addEvent(timeline.Event{Kind: kind, Worker: worker, Epoch: epoch, Detail: detail})
	h.log.V(1).Info("worker lease", "event", kind, "worker", worker, "epoch", epoch, "detail", detail)
}

// localEvents returns a page of this host's timeline.
func (h *Host) localEvents(after uint64, limit int, request, worker string) *rpc.EventsReply {
	events, dropped := h.timeline.Since(after, limit, timeline.Filter{Request: request, Worker: worker})
	reply := &rpc.EventsReply{Dropped: dropped}
	for _, e := range events {
		reply.Events = append(reply.Events, &rpc.Event{
			Clock: e.Clock, Host: e.Host, FailureDomain: e.FailureDomain, Kind: e.Kind, Request: e.Request,
			Task: e.Task, Worker: e.Worker, Epoch: e.Epoch, Offset: e.Offset, Detail: e.Detail,
		})
	}
	return reply
}

// mergedEvents collects events from all entry hosts and merges them in causal
// order. Hosts that do not reply are listed as missing.
func (h *Host) mergedEvents(ctx context.Context, req *rpc.EventsRequest) operator.Timeline {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	out := operator.Timeline{Dropped: make(map[string]uint64)}
	var mu sync.Mutex
	var lists [][]timeline.Event
	var group sync.WaitGroup
	for _, host := range h.topology.Hosts {
		group.Go(func() {
			reply, ok := h.eventsFrom(ctx, host.Name, req)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				out.Missing = append(out.Missing, host.Name)
				return
			}
			if reply.Dropped > 0 {
				out.Dropped[host.Name] = reply.Dropped
			}
			lists = append(lists, toTimelineEvents(reply.Events))
		})
	}
	group.Wait()
	out.Events = timeline.Merge(lists...)
	return out
}

func (h *Host) eventsFrom(ctx context.Context, host string, req *rpc.EventsRequest) (*rpc.EventsReply, bool) {
	if host == h.self.Name {
		return h.localEvents(req.After, int(req.Limit), req.Request, req.Worker), true
	}
	client, ok := h.links.Client(host)
	if !ok {
		return nil, false
	}
	reply, err := client.Events(ctx, req)
	return reply, err == nil
}

func toTimelineEvents(events []*rpc.Event) []timeline.Event {
	out := make([]timeline.Event, len(events))
	for i, e := range events {
		out[i] = timeline.Event{
			Clock: e.Clock, Host: e.Host, FailureDomain: e.FailureDomain, Kind: e.Kind, Request: e.Request,
			Task: e.Task, Worker: e.Worker, Epoch: e.Epoch, Offset: e.Offset, Detail: e.Detail,
		}
	}
	return out
}
