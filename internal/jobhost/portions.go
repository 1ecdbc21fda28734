package jobhost

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/pool"
	"github.com/laburnumpass/laburnumpass/internal/shard"
)

// otherShards implements pool.Shards with calls between the entry hosts.
type otherShards struct{ host *Host }

var _ pool.Shards = otherShards{}

// SubmitPortion implements pool.Shards.
func (o otherShards) SubmitPortion(ctx context.Context, to shard.Shard, id string, queue cell.Queue, team string, spec *api.Job, portion shard.Portion) error {
	job, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "encode a job")
	}
	encodedQueue, err := json.Marshal(queue)
	if err != nil {
		return errors.Wrap(err, "encode a queue")
	}
	_, err = o.host.call(ctx, to.String(), func(ctx context.Context, s jobsrpc.Jobs) error {
		_, err := s.Submit(ctx, &jobsrpc.SubmitRequest{
			Shard: to.String(), Queue: queue.Name, Id: id, Job: job, Team: team,
			Portion: &jobsrpc.Portion{Offset: int64(portion.Offset), Count: int64(portion.Count), Queue: encodedQueue},
		})
		return err
	})
	return err
}

// CancelPortion implements pool.Shards.
func (o otherShards) CancelPortion(ctx context.Context, to shard.Shard, id string) error {
	_, err := o.host.call(ctx, to.String(), func(ctx context.Context, s jobsrpc.Jobs) error {
		_, err := s.Cancel(ctx, &jobsrpc.JobRequest{Shard: to.String(), Id: id, Portion: true})
		return err
	})
	return err
}

// PortionState implements pool.Shards.
func (o otherShards) PortionState(ctx context.Context, to shard.Shard, id string) (api.JobState, error) {
	var state api.JobState
	_, err := o.host.call(ctx, to.String(), func(ctx context.Context, s jobsrpc.Jobs) error {
		reply, err := s.State(ctx, &jobsrpc.JobRequest{Shard: to.String(), Id: id})
		if err == nil {
			state = api.JobState(reply.State)
		}
		return err
	})
	return state, err
}

// submitPortion serves a call of Submit with a portion of a job of another shard.
func (s peerServer) submitPortion(ctx context.Context, p *pool.Pool, r *jobsrpc.SubmitRequest, job *api.Job) (*jobsrpc.SubmitReply, error) {
	var queue cell.Queue
	if err := json.Unmarshal(r.Portion.Queue, &queue); err != nil {
		return nil, twirp.InvalidArgumentError("portion.queue", err.Error())
	}
	if r.Portion.Count < 1 || r.Portion.Count > shard.MaxCount || r.Portion.Offset < 0 || r.Portion.Offset >= r.Portion.Count {
		return nil, twirp.InvalidArgumentError("portion", "the offset must be below the count")
	}
	if err := p.SubmitPortion(ctx, r.Id, queue, r.Team, job, shard.Portion{Offset: int(r.Portion.Offset), Count: int(r.Portion.Count)}); err != nil {
		return nil, rpcError(err)
	}
	return &jobsrpc.SubmitReply{ConfigVersion: s.host.config.version()}, nil
}
