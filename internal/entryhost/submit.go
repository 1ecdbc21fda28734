package entryhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

const (
	// routeRetryDelay is the mean pause before a request is passed on again after
	// its record keeper could not take it, about a heartbeat interval.
	routeRetryDelay = 100 * time.Millisecond
	// crossDomainCallTimeout bounds one call to a host of another failure domain, whose death
	// is not noticed here. A request that takes longer is joined by the next
	// call.
	crossDomainCallTimeout = 2 * time.Second
	// answerReplyMargin is kept free of a caller's deadline for the way back.
	answerReplyMargin = 5 * time.Millisecond
)

// router passes a request to the record keeper of its ID, in whatever failure
// domain that is, and brings its answer back.
type router struct {
	host *Host
}

// submit returns the outcome of req before its deadline.
func (r *router) submit(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	deadline := time.Now().Add(time.Duration(req.DeadlineMs)*time.Millisecond - answerReplyMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	home := r.host.homeDomain(req.Id)
	sent := false
	// refused is the newest refusal, nil once a later call may have arrived.
	var refused *rpc.SubmitReply
	for {
		reply, delivered := r.submitOnce(ctx, home, req)
		switch {
		case reply == nil || reply.NotKeeper:
			if delivered {
				refused = nil
			}
		case isRetryable(reply):
			refused = reply
		default:
			return reply
		}
		sent = sent || delivered
		if home != r.host.self.FailureDomain && !delivered {
			return r.homeUnreachable(ctx, req)
		}
		if !pause(ctx, routeRetryDelay/2+rand.N(routeRetryDelay)) {
			if refused != nil {
				return refused
			}
			return r.expiredReply(req, sent)
		}
		req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
}

// isRetryable reports whether a record keeper gave the request back because it
// leaves or has lost its lease, or because workers were lost while it was
// placed. It has not run, so the keeper of the moment may try again.
func isRetryable(r *rpc.SubmitReply) bool {
	if r.Outcome != string(api.NotRun) {
		return false
	}
	return r.Reason == string(api.ReasonNotReady) || r.Reason == string(api.ReasonWorkerFailed)
}

// submitOnce passes req to the host that should keep its record. From another
// failure domain it tries the hosts of the home in rendezvous order, of which
// the first live one is the keeper. It returns a nil reply if none of them
// took the request; delivered tells whether it may have arrived somewhere.
func (r *router) submitOnce(ctx context.Context, home string, req *rpc.SubmitRequest) (reply *rpc.SubmitReply, delivered bool) {
	if home == r.host.self.FailureDomain {
		keeper := r.host.membership.Keeper(req.Id)
		if keeper == r.host.self.Name {
			return r.host.submitHere(ctx, req), false
		}
		return r.submitToPeer(ctx, keeper, req)
	}
	for _, name := range domain.RendezvousOrder(req.Id, r.host.topology.HostsIn(home)) {
		reply, sent := r.submitToPeer(ctx, name, req)
		delivered = delivered || sent
		if reply != nil && !reply.NotKeeper {
			return reply, delivered
		}
	}
	return nil, delivered
}

// submitToPeer passes req to a peer. A second copy of a request is safe, since its
// record keeper joins it to the first.
func (r *router) submitToPeer(ctx context.Context, peer string, req *rpc.SubmitRequest) (*rpc.SubmitReply, bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		return nil, false
	}
	callCtx, cancel := r.host.peers.during(ctx, peer)
	defer cancel()
	if !r.host.inOwnFailureDomain(peer) {
		var expire context.CancelFunc
		callCtx, expire = context.WithTimeout(callCtx, crossDomainCallTimeout)
		defer expire()
	}
	reply, err := client.Submit(callCtx, req)
	if err != nil {
		r.host.log.V(1).Info("submit to peer failed", "peer", peer, "request", req.Id, "error", err.Error())
		return nil, !notSent(err)
	}
	return reply, true
}

// homeUnreachable serves an idempotent request here. For any other request
// only its home failure domain knows whether it has run, so the outcome is
// unknown.
func (r *router) homeUnreachable(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	if !req.Idempotent {
		return &rpc.SubmitReply{
			Id:           req.Id,
			Outcome:      string(api.Unknown),
			Reason:       string(api.ReasonHomeUnreachable),
			RetryAfterMs: uint32(time.Second / time.Millisecond),
		}
	}
	r.host.event("served_without_home", req.Id, "", "")
	return r.host.runner.runWithoutRecord(ctx, req)
}

// expiredReply is the reply when the deadline passed without one. If nothing was
// sent, the request cannot have reached its record keeper through this call;
// an earlier attempt of the caller may have, so a non-idempotent request is
// still unknown.
func (r *router) expiredReply(req *rpc.SubmitRequest, sent bool) *rpc.SubmitReply {
	reason := api.ReasonNoReply
	if !sent {
		reason = api.ReasonHomeUnreachable
	}
	return &rpc.SubmitReply{Id: req.Id, Outcome: string(api.Unknown), Reason: string(reason)}
}

// localCall and remoteCall pass a status or cancel call to the own record keeper
// and to that of a peer.
type (
	localCall  func(context.Context) *rpc.SubmitReply
	remoteCall func(context.Context, rpc.Peer) (*rpc.SubmitReply, error)
)

// callKeeper passes a status or cancel call to the record keeper of id. While the home
// failure domain answers but no host there keeps the record, as when a keeper
// lease has lapsed, it asks again until the end of ctx.
func (r *router) callKeeper(ctx context.Context, id string, local localCall, remote remoteCall) *rpc.SubmitReply {
	home := r.host.homeDomain(id)
	arrived := false
	for {
		if r.host.isRecordKeeper(id) {
			if reply := local(ctx); !reply.NotKeeper {
				return reply
			}
			arrived = true
		}
		for _, name := range domain.RendezvousOrder(id, r.host.topology.HostsIn(home)) {
			reply, sent := r.callPeer(ctx, name, remote)
			if reply != nil && !reply.NotKeeper {
				return reply
			}
			arrived = arrived || sent
		}
		if home != r.host.self.FailureDomain && !arrived || !pause(ctx, routeRetryDelay/2+rand.N(routeRetryDelay)) {
			break
		}
	}
	reason := api.ReasonHomeUnreachable
	if arrived {
		reason = api.ReasonNoReply
	}
	return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(reason)}
}

// callPeer makes one call to a host of the home failure domain. The reply is nil
// if there was none; arrived tells whether the call may have arrived.
func (r *router) callPeer(ctx context.Context, name string, remote remoteCall) (reply *rpc.SubmitReply, arrived bool) {
	client, ok := r.host.links.Client(name)
	if !ok || name == r.host.self.Name {
		return nil, false
	}
	callCtx, cancel := r.host.peers.during(ctx, name)
	defer cancel()
	reply, err := remote(callCtx, client)
	if err != nil {
		return nil, !notSent(err)
	}
	return reply, true
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
