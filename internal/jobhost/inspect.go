package jobhost

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
)

// inspectTimeout limits the calls to the schedulers for one request of an operator.
const inspectTimeout = time.Second

// serveOperator serves the paths for operators. It returns false for any other
// path.
func (h *Host) serveOperator(c *fasthttp.RequestCtx) bool {
	path := string(c.Path())
	id, isJob := strings.CutPrefix(path, api.PathJobs+"/")
	switch {
	case path == api.PathTimeline:
		h.serveTimeline(c)
	case path == api.PathServices:
		h.writeJSON(c, h.serviceViews())
	case path == api.PathQuotas:
		h.writeJSON(c, h.quotaList())
	case path == api.PathExplain:
		h.serveExplain(c)
	case isJob:
		h.serveJobView(c, id)
	default:
		return false
	}
	return true
}

func (h *Host) writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		h.log.Error(err, "reply cannot be encoded", "path", string(c.Path()))
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// serviceViews returns the shards of all services and their schedulers as far as this
// host knows them, in the order of their names.
func (h *Host) serviceViews() []api.ServiceView {
	h.mu.Lock()
	defer h.mu.Unlock()
	views := make([]api.ServiceView, 0, len(h.elections))
	for name, s := range h.elections {
		v := api.ServiceView{Service: name}
		if holder, _ := s.elector.Holder(); holder != nil {
			v.Host, v.Address, v.Epoch, v.Resigned = holder.Host, holder.Address, holder.Epoch, holder.Resigned
			if holder.SinceUnixMS > 0 {
				v.Since = time.UnixMilli(holder.SinceUnixMS).UTC()
			}
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b api.ServiceView) int { return cmp.Compare(a.Service, b.Service) })
	return views
}

// serveJobView replies with the view that its scheduler has of a job. The ID of a
// job does not identify its service, so the services are asked in turn.
func (h *Host) serveJobView(c *fasthttp.RequestCtx, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	for _, service := range h.shards.services() {
		var reply *jobsrpc.ViewReply
		_, err := h.callForJob(ctx, service, id, func(ctx context.Context, shard string, s jobsrpc.Jobs) (err error) {
			reply, err = s.View(ctx, &jobsrpc.JobRequest{Shard: shard, Id: id})
			return err
		})
		if err != nil {
			h.log.Info("scheduler did not return the view of a job", "job", id, "service", service, "error", err.Error())
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			c.SetBodyString("a scheduler of " + service + " does not answer")
			return
		}
		if len(reply.View) > 0 {
			c.SetContentType("application/json")
			c.SetBody(reply.View)
			return
		}
	}
	c.SetStatusCode(fasthttp.StatusNotFound)
	c.SetBodyString("no scheduler knows the job")
}

// View implements jobsrpc.Jobs.
func (s peerServer) View(_ context.Context, r *jobsrpc.JobRequest) (*jobsrpc.ViewReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	view, err := p.View(r.Id)
	if err != nil {
		return nil, rpcError(err)
	}
	if view == nil {
		return &jobsrpc.ViewReply{}, nil
	}
	encoded, err := json.Marshal(view)
	if err != nil {
		return nil, twirp.InternalErrorWith(errors.Wrap(err, "encode the view of the job"))
	}
	return &jobsrpc.ViewReply{View: encoded}, nil
}
