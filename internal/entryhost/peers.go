package entryhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/laburnumpass/laburnumpass/internal/link"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Limits of the peers' listener and its replies.
const (
	peerHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = 60 * time.Second
	// maxPeerMessageBytes limits the size of a message from a peer. The largest is
	// a page of records with their answers.
	maxPeerMessageBytes = 16 << 20
	// maxPeerStreams limits the concurrent calls on one connection of a peer. Most
	// of them wait for a task, and there are thousands while a failure domain
	// recovers from the failure of a host.
	maxPeerStreams = 10000
	// maxEventsPerReply limits the number of timeline events in one reply.
	maxEventsPerReply = 5000
)

// peerService implements rpc.Peer: it handles the calls of other entry hosts.
type peerService struct {
	host *Host
}

// newPeersServer returns the server for calls of other entry hosts. It is a net/http
// server, unlike the others, because Twirp requires one.
func (h *Host) newPeersServer() *http.Server {
	handler := rpc.NewPeerServer(&peerService{host: h})
	return &http.Server{
		Protocols:         link.Protocols(),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxPeerStreams},
		Handler:           h.countPeerCalls(h.abortCallsAfterStop(http.MaxBytesHandler(handler, maxPeerMessageBytes))),
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// abortCallsAfterStop wraps a handler. If a call ends after the host's lifetime, its
// stream is aborted without a reply, as if the process had died: the end of the
// lifetime cancels the runs in progress, so a reply could wrongly report a queued
// request as cancelled or the outcome of a running one as unknown.
func (h *Host) abortCallsAfterStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if h.lifetime.Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

// countPeerCalls wraps a handler to count the calls in progress.
func (h *Host) countPeerCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.peerCallsInProgress.Add(1)
		defer h.peerCallsInProgress.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// failedBeforeSend reports whether a call to a peer failed before it was sent,
// because no connection could be opened.
func failedBeforeSend(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Heartbeat implements rpc.Peer.
func (p *peerService) Heartbeat(_ context.Context, heartbeat *rpc.Beat) (*rpc.Beat, error) {
	h := p.host
	reply := h.membership.HandleHeartbeat(heartbeat)
	h.observeHeartbeat(heartbeat.Host, heartbeat)
	h.fillHeartbeat(heartbeat.Host, reply)
	h.heartbeatBytesServed.Add(int64(proto.Size(heartbeat) + proto.Size(reply) + 2*link.MessageOverhead))
	return reply, nil
}

// Replicate implements rpc.Peer.
func (p *peerService) Replicate(_ context.Context, req *rpc.ReplicateRequest) (*rpc.ReplicateReply, error) {
	reply := p.host.keeper.HandleReplicate(req)
	p.host.detached.dropAnswered(req.Records, reply.Refused)
	return reply, nil
}

// StoreDetached implements rpc.Peer.
func (p *peerService) StoreDetached(_ context.Context, req *rpc.StoreDetachedRequest) (*rpc.StoreDetachedReply, error) {
	p.host.detached.store(req.Requests)
	p.host.detached.drop(req.Finished...)
	return &rpc.StoreDetachedReply{}, nil
}

// FetchRecords implements rpc.Peer.
func (p *peerService) FetchRecords(_ context.Context, req *rpc.FetchRecordsRequest) (*rpc.FetchRecordsReply, error) {
	if !p.host.isLive() {
		return nil, twirp.NewError(twirp.Unavailable, "this entry host has not joined its failure domain")
	}
	reply := p.host.keeper.Fetch(req.After, int(req.Limit))
	if req.After == "" {
		reply.Detached = p.host.detached.all()
	}
	return reply, nil
}

// Submit implements rpc.Peer.
func (p *peerService) Submit(ctx context.Context, req *rpc.SubmitRequest) (*rpc.SubmitReply, error) {
	if !p.host.isRecordKeeper(req.Id) {
		return &rpc.SubmitReply{Id: req.Id, NotKeeper: true}, nil
	}
	return p.host.submitAsKeeper(ctx, req), nil
}

// Dispatch implements rpc.Peer.
func (p *peerService) Dispatch(ctx context.Context, req *rpc.DispatchRequest) (*rpc.DispatchReply, error) {
	if req.Request == nil {
		return nil, twirp.RequiredArgumentError("request")
	}
	return &rpc.DispatchReply{Reply: p.host.dispatch(ctx, req)}, nil
}

// Reserve implements rpc.Peer.
func (p *peerService) Reserve(ctx context.Context, req *rpc.ReserveRequest) (*rpc.ReserveReply, error) {
	return p.host.handleReserve(ctx, req), nil
}

// Resolve implements rpc.Peer.
func (p *peerService) Resolve(ctx context.Context, req *rpc.ResolveRequest) (*rpc.SubmitReply, error) {
	if !p.host.isRecordKeeper(req.Id) {
		return &rpc.SubmitReply{Id: req.Id, NotKeeper: true}, nil
	}
	return p.host.statusAsKeeper(ctx, req.Id), nil
}

// ResolveDispatch implements rpc.Peer.
func (p *peerService) ResolveDispatch(ctx context.Context, req *rpc.ResolveDispatchRequest) (*rpc.SubmitReply, error) {
	if req.Cancel {
		p.host.cancelDispatch(ctx, req.Id, req.Attempt)
	}
	return p.host.resolveDispatch(req.Id, req.Attempt), nil
}

// Cancel implements rpc.Peer.
func (p *peerService) Cancel(ctx context.Context, req *rpc.CancelRequest) (*rpc.SubmitReply, error) {
	if !p.host.isRecordKeeper(req.Id) {
		return &rpc.SubmitReply{Id: req.Id, NotKeeper: true}, nil
	}
	return p.host.cancelAsKeeper(ctx, req.Id), nil
}

// ConfigSince implements rpc.Peer.
func (p *peerService) ConfigSince(_ context.Context, req *rpc.ConfigSinceRequest) (*rpc.ConfigSinceReply, error) {
	return p.host.configSince(req), nil
}

// Publish implements rpc.Peer.
func (p *peerService) Publish(ctx context.Context, req *rpc.PublishRequest) (*rpc.PublishReply, error) {
	return p.host.publishForPeer(ctx, req)
}

// Events implements rpc.Peer.
func (p *peerService) Events(_ context.Context, req *rpc.EventsRequest) (*rpc.EventsReply, error) {
	limit := int(req.Limit)
	if limit <= 0 || limit > maxEventsPerReply {
		limit = maxEventsPerReply
	}
	return p.host.localEvents(req.After, limit, req.Request, req.Worker), nil
}
