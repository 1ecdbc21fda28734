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
	// routeRetry is the mean pause before a request is passed on again after
	// its record keeper could not take it, about a heartbeat interval.
	routeRetry = 100 * time.Millisecond
	// farCall bounds one call to a host of another failure domain, whose death
	// is not noticed here. A request that takes longer is joined by the next
	// call.
	farCall = 2 * time.Second
	// answerMargin is kept free of a caller's deadline for the way back.
	answerMargin = 5 * time.Millisecond
)

// router passes a request to the record keeper of its ID, in whatever failure
// domain that is, and brings its answer back.
type router struct {
	host *Host
}

// submit returns the outcome of req before its deadline.
func (r *router) submit(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	deadline := time.Now().Add(time.Duration(req.DeadlineMs)*time.Millisecond - answerMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	home := r.host.homeDomain(req.Id)
	sent := false
	// refused is the newest refusal, nil once a later call may have arrived.
	var refused *rpc.SubmitReply
	for {
		reply, delivered := r.tryOnce(ctx, home, req)
		switch {
		case reply == nil || reply.NotKeeper:
			if delivered {
				refused = nil
			}
		case mayTryAgain(reply):
			refused = reply
		default:
			return reply
		}
		sent = sent || delivered
		if home != r.host.self.FailureDomain && !delivered {
			return r.homeUnreachable(ctx, req)
		}
		if !pause(ctx, routeRetry/2+rand.N(routeRetry)) {
			if refused != nil {
				return refused
			}
			return r.expired(req, sent)
		}
		req.DeadlineMs = uint32(max(1, time.Until(deadline).Milliseconds()))
	}
}

// mayTryAgain reports whether a record keeper gave the request back because it
// leaves or has lost its lease, or because workers were lost while it was
// placed. It has not run, so the keeper of the moment may try again.
func mayTryAgain(r *rpc.SubmitReply) bool {
	if r.Outcome != string(api.NotRun) {
		return false
	}
	return r.Reason == string(api.ReasonNotReady) || r.Reason == string(api.ReasonWorkerFailed)
}

// tryOnce passes req to the host that should keep its record. From another
// failure domain it tries the hosts of the home in rendezvous order, of which
// the first live one is the keeper. It returns a nil reply if none of them
// took the request; delivered tells whether it may have arrived somewhere.
func (r *router) tryOnce(ctx context.Context, home string, req *rpc.SubmitRequest) (reply *rpc.SubmitReply, delivered bool) {
	if home == r.host.self.FailureDomain {
		keeper := r.host.membership.Keeper(req.Id)
		if keeper == r.host.self.Name {
			return r.host.submitHere(ctx, req), false
		}
		return r.send(ctx, keeper, req)
	}
	for _, name := range domain.RendezvousOrder(req.Id, r.host.topology.HostsIn(home)) {
		reply, sent := r.send(ctx, name, req)
		delivered = delivered || sent
		if reply != nil && !reply.NotKeeper {
			return reply, delivered
		}
	}
	return nil, delivered
}

// send passes req to a peer. A second copy of a request is safe, since its
// record keeper joins it to the first.
func (r *router) send(ctx context.Context, peer string, req *rpc.SubmitRequest) (*rpc.SubmitReply, bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		return nil, false
	}
	callCtx, cancel := r.host.peers.contextWhileLive(ctx, peer)
	defer cancel()
	if !r.host.inOwnDomain(peer) {
		var expire context.CancelFunc
		callCtx, expire = context.WithTimeout(callCtx, farCall)
		defer expire()
	}
	reply, err := client.Submit(callCtx, req)
	if err != nil {
		r.host.log.V(1).Info("submit to peer failed", "peer", peer, "request", req.Id, "error", err.Error())
		return nil, !failedBeforeSend(err)
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
	r.host.recordEvent("served_without_home", req.Id, "", "")
	return r.host.runner.runWithoutRecord(ctx, req)
}

// expired is the reply when the deadline passed without one. If nothing was
// sent, the request cannot have reached its record keeper through this call;
// an earlier attempt of the caller may have, so a non-idempotent request is
// still unknown.
func (r *router) expired(req *rpc.SubmitRequest, sent bool) *rpc.SubmitReply {
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

// ask passes a status or cancel call to the record keeper of id. While the home
// failure domain answers but no host there keeps the record, as when a keeper
// lease has lapsed, it asks again until the end of ctx.
func (r *router) ask(ctx context.Context, id string, local localCall, remote remoteCall) *rpc.SubmitReply {
	home := r.host.homeDomain(id)
	arrived := false
	for {
		if r.host.keeps(id) {
			if reply := local(ctx); !reply.NotKeeper {
				return reply
			}
			arrived = true
		}
		for _, name := range domain.RendezvousOrder(id, r.host.topology.HostsIn(home)) {
			reply, sent := r.askPeer(ctx, name, remote)
			if reply != nil && !reply.NotKeeper {
				return reply
			}
			arrived = arrived || sent
		}
		if home != r.host.self.FailureDomain && !arrived || !pause(ctx, routeRetry/2+rand.N(routeRetry)) {
			break
		}
	}
	reason := api.ReasonHomeUnreachable
	if arrived {
		reason = api.ReasonNoReply
	}
	return &rpc.SubmitReply{Id: id, Outcome: string(api.Unknown), Reason: string(reason)}
}

// askPeer makes one call to a host of the home failure domain. The reply is nil
// if there was none; arrived tells whether the call may have arrived.
func (r *router) askPeer(ctx context.Context, name string, remote remoteCall) (reply *rpc.SubmitReply, arrived bool) {
	client, ok := r.host.links.Client(name)
	if !ok || name == r.host.self.Name {
		return nil, false
	}
	callCtx, cancel := r.host.peers.contextWhileLive(ctx, name)
	defer cancel()
	reply, err := remote(callCtx, client)
	if err != nil {
		return nil, !failedBeforeSend(err)
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
