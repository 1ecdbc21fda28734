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
	// routeRetryDelay is the mean pause before a request is forwarded again after its
	// record keeper could not take it. It is less than the 270 ms between the
	// heartbeats by which this host learns that the keeper has changed.
	routeRetryDelay = 100 * time.Millisecond
	// crossDomainCallTimeout bounds one call to a host of another failure domain,
	// since this host does not detect its death. If the request takes longer, the
	// next call attaches to the run that is in progress.
	crossDomainCallTimeout = 2 * time.Second
	// answerReplyMargin is subtracted from a caller's deadline to leave time for
	// sending the answer.
	answerReplyMargin = 5 * time.Millisecond
)

// router forwards a request to the record keeper of its ID, which may be in another
// failure domain, and returns the answer.
type router struct {
	host *Host
}

// submit forwards req, with retries, and returns its outcome before its deadline.
func (r *router) submit(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
	deadline := time.Now().Add(time.Duration(req.DeadlineMs)*time.Millisecond - answerReplyMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	home := r.host.homeDomain(req.Id)
	sent := false
	// refused is the latest retryable refusal. It is reset to nil when a later call
	// has no outcome but may have arrived, since the request may then have run.
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
			return r.submitWithoutHome(ctx, req)
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

// isRetryable reports whether a record keeper returned a request that has not run
// because the keeper is draining or has lost its lease, or because workers were lost
// during the placement. The current record keeper may then run it.
func isRetryable(r *rpc.SubmitReply) bool {
	if r.Outcome != string(api.NotRun) {
		return false
	}
	return r.Reason == string(api.ReasonNotReady) || r.Reason == string(api.ReasonWorkerFailed)
}

// submitOnce forwards req to its record keeper. If the home failure domain is
// another one, it tries the hosts there in rendezvous order; the first live one is
// the keeper. The reply is nil if no host accepted the request. delivered reports
// whether the request may have arrived at a peer.
func (r *router) submitOnce(ctx context.Context, home string, req *rpc.SubmitRequest) (reply *rpc.SubmitReply, delivered bool) {
	if home == r.host.self.FailureDomain {
		keeper := r.host.membership.Keeper(req.Id)
		if keeper == r.host.self.Name {
			return r.host.submitAsKeeper(ctx, req), false
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

// submitToPeer forwards req to a peer and reports whether it may have arrived. Sending
// a request twice is safe, since its record keeper attaches a duplicate to the first.
func (r *router) submitToPeer(ctx context.Context, peer string, req *rpc.SubmitRequest) (*rpc.SubmitReply, bool) {
	client, ok := r.host.links.Client(peer)
	if !ok {
		return nil, false
	}
	callCtx, cancel := r.host.peers.contextWhileServing(ctx, peer)
	defer cancel()
	if !r.host.inOwnFailureDomain(peer) {
		var expire context.CancelFunc
		callCtx, expire = context.WithTimeout(callCtx, crossDomainCallTimeout)
		defer expire()
	}
	reply, err := client.Submit(callCtx, req)
	if err != nil {
		r.host.log.V(1).Info("submit to peer failed", "peer", peer, "request", req.Id, "error", err.Error())
		return nil, !failedBeforeSend(err)
	}
	return reply, true
}

// submitWithoutHome runs an idempotent request here when its home failure domain is
// unreachable. For any other request only the home failure domain knows whether it
// has run, so the outcome is unknown.
func (r *router) submitWithoutHome(ctx context.Context, req *rpc.SubmitRequest) *rpc.SubmitReply {
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

// expiredReply returns the reply for a request whose deadline passed without an
// outcome. If nothing was sent, this call has not delivered the request to its record
// keeper, but an earlier attempt of the caller may have, so the outcome is unknown.
func (r *router) expiredReply(req *rpc.SubmitRequest, sent bool) *rpc.SubmitReply {
	reason := api.ReasonNoReply
	if !sent {
		reason = api.ReasonHomeUnreachable
	}
	return &rpc.SubmitReply{Id: req.Id, Outcome: string(api.Unknown), Reason: string(reason)}
}

// localCall and remoteCall make a status or cancel call to the record keeper on this
// host and on a peer.
type (
	localCall  func(context.Context) *rpc.SubmitReply
	remoteCall func(context.Context, rpc.Peer) (*rpc.SubmitReply, error)
)

// callKeeper makes a status or cancel call to the record keeper of id. As long as the
// home failure domain replies but no host there is the keeper, for example because a
// keeper lease has expired, it retries until ctx ends.
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

// callPeer makes one call to a host of the home failure domain. The reply is nil if
// the call failed; arrived reports whether the call may have arrived.
func (r *router) callPeer(ctx context.Context, name string, remote remoteCall) (reply *rpc.SubmitReply, arrived bool) {
	client, ok := r.host.links.Client(name)
	if !ok || name == r.host.self.Name {
		return nil, false
	}
	callCtx, cancel := r.host.peers.contextWhileServing(ctx, name)
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
