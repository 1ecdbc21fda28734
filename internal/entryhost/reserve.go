package entryhost

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/schedule"
)

// reservation holds members of an all-at-once job for a coordinator on another
// entry host.
type reservation struct {
	placement *schedule.Placement
	req       *rpc.SubmitRequest
	job       schedule.Job
	members   []*rpc.Member
	timer     *time.Timer
}

// reservationTable keeps reservations until they are started, released or
// their time has passed.
type reservationTable struct {
	telemetry *telemetry

	mu        sync.Mutex
	lastToken uint64
	entries   map[string]*reservation
}

func newReservationTable(t *telemetry) *reservationTable {
	return &reservationTable{telemetry: t, entries: make(map[string]*reservation)}
}

func (t *reservationTable) add(r *reservation, ttl time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastToken++
	token := strconv.FormatUint(t.lastToken, 10)
	t.entries[token] = r
	r.timer = time.AfterFunc(ttl, func() {
		if taken := t.take(token); taken != nil {
			t.telemetry.count("gangs.reservations_expired")
			taken.placement.ReleaseAll(schedule.TaskResult{})
		}
	})
	return token
}

func (t *reservationTable) length() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// take removes a reservation; nil if it was taken or has expired.
func (t *reservationTable) take(token string) *reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.entries[token]
	if r != nil {
		delete(t.entries, token)
		r.timer.Stop()
	}
	return r
}

// handleReserve serves a coordinator's call: it makes, releases or starts a
// reservation.
func (h *Host) handleReserve(ctx context.Context, req *rpc.ReserveRequest) *rpc.ReserveReply {
	switch {
	case req.ReleaseToken != "":
		if r := h.reservations.take(req.ReleaseToken); r != nil {
			r.placement.ReleaseAll(schedule.TaskResult{})
		}
		return &rpc.ReserveReply{}
	case req.StartToken != "":
		return h.startReservation(req.StartToken)
	default:
		return h.makeReservation(req)
	}
}

func (h *Host) makeReservation(req *rpc.ReserveRequest) *rpc.ReserveReply {
	if h.runner.placingCtx.Err() != nil || req.Request == nil {
		return &rpc.ReserveReply{}
	}
	job, rejection := h.runner.newJob(req.Request)
	if rejection != nil {
		return &rpc.ReserveReply{}
	}
	job.Attempt = int(req.Attempt)
	job.FirstMember = int(req.FirstMember)
	placement, ok := h.scheduler.TryReserve(job, int(req.Members))
	if !ok {
		return &rpc.ReserveReply{}
	}
	members := h.runner.describeMembers(job, placement)
	if len(members) < len(placement.Members) {
		placement.ReleaseAll(schedule.TaskResult{})
		return &rpc.ReserveReply{}
	}
	ttl := min(reservationTTL, time.Duration(req.TtlMs)*time.Millisecond)
	token := h.reservations.add(&reservation{placement: placement, req: req.Request, job: job, members: members}, ttl)
	return &rpc.ReserveReply{Token: token, Members: members}
}

// startReservation runs the reserved members. The tasks go on if the
// coordinator's call breaks; it then asks their workers.
func (h *Host) startReservation(token string) *rpc.ReserveReply {
	r := h.reservations.take(token)
	if r == nil {
		return &rpc.ReserveReply{Reply: &rpc.SubmitReply{Outcome: string(api.NotRun), Reason: string(api.ReasonDeadline)}}
	}
	results := h.runner.startMembers(h.lifetime, r.req, r.job, r.placement, r.members)
	body, err := json.Marshal(results)
	if err != nil {
		h.log.Error(err, "encode results of an all-at-once job", "request", r.req.Id)
	}
	return &rpc.ReserveReply{Reply: &rpc.SubmitReply{Id: r.req.Id, Outcome: string(api.Answered), Body: body}}
}
