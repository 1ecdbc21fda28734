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

// reservation is the local placement of members of a gang job whose coordinator runs
// on another entry host.
type reservation struct {
	placement *schedule.Placement
	req       *rpc.SubmitRequest
	job       schedule.Job
	members   []*rpc.Member
	timer     *time.Timer
}

// reservationTable keeps reservations until they are started, released or expired.
type reservationTable struct {
	telemetry *telemetry

	mu        sync.Mutex
	lastToken uint64
	entries   map[string]*reservation
}

func newReservationTable(t *telemetry) *reservationTable {
	return &reservationTable{telemetry: t, entries: make(map[string]*reservation)}
}

// add stores a reservation and returns its token. The reservation is released after
// ttl unless it has been taken.
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

// take removes and returns a reservation. It returns nil if the reservation was
// already taken or has expired.
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

// handleReserve serves a coordinator's Reserve call, which makes, releases or starts
// a reservation.
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

// makeReservation reserves up to req.Members members of a gang job. The reply has no
// token if nothing could be reserved.
func (h *Host) makeReservation(req *rpc.ReserveRequest) *rpc.ReserveReply {
	if h.runner.placingCtx.Err() != nil || req.Request == nil {
		return &rpc.ReserveReply{}
	}
	job, rejection := h.runner.newJob(req.Request)
	if rejection != nil {
		return &rpc.ReserveReply{}
	}
	job.TaskNumber = int(req.Attempt)
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

// startReservation runs the reserved members and returns their results. The tasks
// continue if the coordinator's call is interrupted; the coordinator then queries
// the workers.
func (h *Host) startReservation(token string) *rpc.ReserveReply {
	r := h.reservations.take(token)
	if r == nil {
		return &rpc.ReserveReply{Reply: &rpc.SubmitReply{Outcome: string(api.NotRun), Reason: string(api.ReasonDeadline)}}
	}
	results := h.runner.startMembers(h.lifetime, r.req, r.job, r.placement, r.members)
	body, err := json.Marshal(results)
	if err != nil {
		h.log.Error(err, "encoding the results of a gang job failed", "request", r.req.Id)
	}
	return &rpc.ReserveReply{Reply: &rpc.SubmitReply{Id: r.req.Id, Outcome: string(api.Answered), Body: body}}
}
