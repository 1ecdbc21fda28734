package jobhost

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
)

// serveExplain replies where the tasks of a job would be placed now; see
// api.PathExplain.
func (h *Host) serveExplain(c *fasthttp.RequestCtx) {
	config, _ := h.config.get()
	if config == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("the host has no configuration yet")
		return
	}
	id, name := string(c.QueryArgs().Peek("id")), string(c.QueryArgs().Peek("queue"))
	// A job does not tell its queue before it is found, so any key is asked for.
	queue := &cell.Queue{}
	if id == "" {
		if queue = config.Queue(name); queue == nil {
			c.SetStatusCode(fasthttp.StatusNotFound)
			c.SetBodyString("no such queue")
			return
		}
	}
	caller, ok := identify(c, config, queue)
	if !ok {
		c.SetStatusCode(fasthttp.StatusUnauthorized)
		h.count("requests.unauthorized")
		return
	}
	request := &jobsrpc.ExplainRequest{Queue: name, Id: id, Team: caller.team, CheckTeam: caller.checkTeam}
	services := h.shards.services()
	if id == "" {
		job := new(api.Job)
		err := json.Unmarshal(c.PostBody(), job)
		if err == nil {
			err = job.Validate()
		}
		if err != nil {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			c.SetBodyString(err.Error())
			return
		}
		request.Job, services = c.PostBody(), []string{queue.Service}
		id = api.NewJobID() // chooses the shard as for a submitted job
	} else if !validID(id) {
		services = nil
	}
	h.explainOn(c, services, id, request)
}

// explainOn asks the schedulers of services for an explanation until one has it.
func (h *Host) explainOn(c *fasthttp.RequestCtx, services []string, id string, request *jobsrpc.ExplainRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	for _, service := range services {
		var reply *jobsrpc.ExplainReply
		_, err := h.callForJob(ctx, service, id, func(ctx context.Context, shard string, s jobsrpc.Jobs) (err error) {
			request.Shard = shard
			reply, err = s.Explain(ctx, request)
			return err
		})
		if err != nil {
			h.log.Info("scheduler did not explain a job", "service", service, "error", err.Error())
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			c.SetBodyString("a scheduler of " + service + " does not answer")
			return
		}
		if len(reply.Explanation) > 0 {
			c.SetContentType("application/json")
			c.SetBody(reply.Explanation)
			return
		}
	}
	c.SetStatusCode(fasthttp.StatusNotFound)
	c.SetBodyString("no scheduler knows the job, or it has ended")
}

// Explain implements jobsrpc.Jobs.
func (s peerServer) Explain(_ context.Context, r *jobsrpc.ExplainRequest) (*jobsrpc.ExplainReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	var explanation *api.PlacementExplanation
	if r.Id != "" {
		explanation, err = p.ExplainJob(r.Id, r.Team, r.CheckTeam)
	} else {
		config, _ := s.host.config.get()
		if config == nil {
			return nil, twirp.NewError(twirp.Unavailable, "no configuration yet")
		}
		queue := config.Queue(r.Queue)
		if queue == nil {
			return nil, twirp.NewError(twirp.NotFound, "no such queue")
		}
		job := new(api.Job)
		if err := json.Unmarshal(r.Job, job); err != nil {
			return nil, twirp.InvalidArgumentError("job", err.Error())
		}
		explanation, err = p.Explain(*queue, r.Team, job)
	}
	if err != nil {
		return nil, rpcError(err)
	}
	if explanation == nil {
		return &jobsrpc.ExplainReply{}, nil
	}
	encoded, err := json.Marshal(explanation)
	if err != nil {
		return nil, twirp.InternalErrorWith(errors.Wrap(err, "encode the explanation"))
	}
	return &jobsrpc.ExplainReply{Explanation: encoded}, nil
}
