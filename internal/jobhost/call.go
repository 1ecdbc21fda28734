package jobhost

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// dialFailed reports whether the connection could not be opened for a reason other
// than a timeout, such as a refusal by the other system. Nothing was sent then.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}

// hadNoEffect reports whether err proves that the failed call had no effect.
func hadNoEffect(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	var coded twirp.Error
	if !errors.As(err, &coded) {
		return false
	}
	switch coded.Code() {
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.NotFound, twirp.InvalidArgument:
		return true
	}
	return false
}

// errNoScheduler means that no scheduler of a shard was known in time, or that the
// shards of the service are not known yet.
var errNoScheduler = errors.New("no scheduler of the shard is known")

const (
	// replyMargin is the part of a caller's timeout that is reserved for the reply.
	replyMargin = 150 * time.Millisecond
	// callRetryPause is the pause before a retry; a change of scheduler ends it early.
	callRetryPause = 80 * time.Millisecond
)

// callForJob calls the scheduler of the shard of a job; see call. do gets the name of
// the shard.
func (h *Host) callForJob(ctx context.Context, service, id string, do func(ctx context.Context, shard string, s jobsrpc.Jobs) error) (maybeExecuted bool, err error) {
	sh, ok := h.shards.ofJob(ctx, service, id)
	if !ok {
		return false, errors.Wrapf(errNoScheduler, "the shards of service %s are not known", service)
	}
	name := sh.String()
	return h.call(ctx, name, func(ctx context.Context, s jobsrpc.Jobs) error { return do(ctx, name, s) })
}

// call calls the scheduler of the shard with that name until it replies or ctx ends.
// maybeExecuted reports whether a failed call may have had an effect.
func (h *Host) call(ctx context.Context, shard string, do func(context.Context, jobsrpc.Jobs) error) (maybeExecuted bool, err error) {
	s := h.election(shard)
	if s == nil {
		return false, errors.Wrapf(errNoScheduler, "shard %s has no election on this host", shard)
	}
	cause := errNoScheduler
	for {
		holder, changed := s.elector.Holder()
		if holder != nil && !holder.Resigned && ctx.Err() == nil {
			err := h.callOnce(ctx, holder, do)
			if err == nil {
				return false, nil
			}
			var coded twirp.Error
			if errors.As(err, &coded) && coded.Code() == twirp.Aborted {
				// The outcome is unknown, and waiting longer would not resolve it.
				return true, err
			}
			if errors.As(err, &coded) && (coded.Code() == twirp.ResourceExhausted || coded.Code() == twirp.NotFound || coded.Code() == twirp.InvalidArgument) {
				return maybeExecuted, err
			}
			if dialFailed(err) {
				s.requestJoin()
			}
			if coded == nil || coded.Code() == twirp.Internal || coded.Code() == twirp.DeadlineExceeded {
				// There was no reply, and the next Join call may be seconds away.
				s.elector.HolderCallFailed(holder.Epoch)
			}
			maybeExecuted = maybeExecuted || !hadNoEffect(err)
			cause = err
		}
		select {
		case <-ctx.Done():
			return maybeExecuted, errors.Wrapf(cause, "shard %s", shard)
		case <-changed:
		case <-time.After(callRetryPause):
		}
	}
}

// callOnce calls the holder once, without the network if it is this host.
func (h *Host) callOnce(ctx context.Context, holder *lead.Holder, do func(context.Context, jobsrpc.Jobs) error) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if holder.Incarnation == h.self.Incarnation {
		return do(ctx, peerServer{h})
	}
	err := do(ctx, h.peerClients.client(holder.Address))
	if err != nil && ctx.Err() != nil {
		h.peerClients.closeIdle(holder.Address)
	}
	return err
}
