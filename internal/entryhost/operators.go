package entryhost

import (
	"bytes"
	"context"
	"crypto/subtle"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Limits of the operators' listener.
const (
	maxOperatorConnections = 256
	maxOperatorBodyBytes   = 1 << 20
	publishTimeout         = 15 * time.Second
)

// newOperatorsServer returns the server for the operators' API. Every call except
// /metrics requires the operator token.
func (h *Host) newOperatorsServer() *fasthttp.Server {
	s := h.newServer("operators", h.serveOperator)
	s.Concurrency = maxOperatorConnections
	s.MaxRequestBodySize = maxOperatorBodyBytes
	return s
}

func (h *Host) serveOperator(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/metrics" {
		ctx.SetContentType("text/plain; version=0.0.4")
		h.telemetry.writeText(ctx)
		return
	}
	if !h.isAuthorized(ctx) {
		h.telemetry.count("operators.unauthorized")
		writeJSON(ctx, fasthttp.StatusUnauthorized, errorBody{Error: "the operator token is missing or wrong"})
		return
	}
	switch {
	case !ctx.IsGet() && !ctx.IsPost():
		writeJSON(ctx, fasthttp.StatusMethodNotAllowed, errorBody{Error: "allowed methods are GET and POST"})
	case path == "/v1/publish" && ctx.IsPost():
		h.servePublish(ctx)
	case path == "/v1/drain" && ctx.IsPost():
		go h.Drain()
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	case !ctx.IsGet():
		writeJSON(ctx, fasthttp.StatusMethodNotAllowed, errorBody{Error: "this resource is read with GET"})
	case path == "/v1/hosts":
		writeJSON(ctx, fasthttp.StatusOK, h.hostStatuses())
	case path == "/v1/workers":
		writeJSON(ctx, fasthttp.StatusOK, h.workerStatuses())
	case path == "/v1/config":
		h.serveConfig(ctx)
	case path == "/v1/config/history":
		h.serveHistory(ctx)
	case path == "/v1/timeline":
		h.serveTimeline(ctx)
	case path == "/v1/publish" || path == "/v1/drain":
		writeJSON(ctx, fasthttp.StatusMethodNotAllowed, errorBody{Error: "this resource is used with POST"})
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, errorBody{Error: "no such resource: " + path})
	}
}

func (h *Host) isAuthorized(ctx *fasthttp.RequestCtx) bool {
	token := bytes.TrimPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	return subtle.ConstantTimeCompare(token, []byte(h.settings.OperatorToken)) == 1
}

func (h *Host) hostStatuses() []operator.HostStatus {
	live := make(map[string]bool)
	for _, name := range h.membership.LiveHosts() {
		live[name] = true
	}
	var out []operator.HostStatus
	for _, host := range h.topology.Hosts {
		s := operator.HostStatus{Name: host.Name, Region: host.Region, FailureDomain: host.FailureDomain}
		switch {
		case host.Name == h.self.Name:
			s.State = strings.ToLower(strings.TrimPrefix(h.membership.State().String(), "HOST_STATE_"))
			s.ConfigOffset = h.config.Applied()
		case host.FailureDomain == h.self.FailureDomain && live[host.Name]:
			s.State = "live"
		case host.FailureDomain == h.self.FailureDomain:
			s.State = "not live"
		case h.membership.Reachable(host.Name):
			s.State = "reachable"
		default:
			s.State = "not heard from"
		}
		out = append(out, s)
	}
	return out
}

func (h *Host) workerStatuses() []operator.WorkerStatus {
	var out []operator.WorkerStatus
	for _, w := range h.holding.Workers() {
		out = append(out, operator.WorkerStatus{
			Name: w.Info.Name, FailureDomain: w.Info.FailureDomain, Rack: w.Info.Rack, Holder: h.ownerOf(w.Info.Name),
			Held: w.Held, Leaving: w.Leaving, Epoch: w.Lease.Epoch, Tasks: w.Tasks,
		})
	}
	return out
}

// currentConfiguration returns the configuration in force. If there is none, it
// replies with 503 and returns false.
func (h *Host) currentConfiguration(ctx *fasthttp.RequestCtx) (*contract.Configuration, bool) {
	c, ok := h.config.Current()
	if !ok {
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{Error: noConfiguration})
	}
	return c, ok
}

func (h *Host) serveConfig(ctx *fasthttp.RequestCtx) {
	c, ok := h.currentConfiguration(ctx)
	if !ok {
		return
	}
	out := operator.ConfigListing{Offset: c.Offset()}
	for _, kind := range []contract.Kind{contract.KindProfile, contract.KindService, contract.KindQuota} {
		out.Objects = append(out.Objects, c.List(kind)...)
	}
	writeJSON(ctx, fasthttp.StatusOK, out)
}

func (h *Host) serveHistory(ctx *fasthttp.RequestCtx) {
	c, ok := h.currentConfiguration(ctx)
	if !ok {
		return
	}
	args := ctx.QueryArgs()
	writeJSON(ctx, fasthttp.StatusOK, c.History(contract.Kind(args.Peek("kind")), string(args.Peek("name"))))
}

func (h *Host) servePublish(ctx *fasthttp.RequestCtx) {
	var record contract.Record
	if err := decodeStrict(ctx.PostBody(), &record); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	call, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	writeJSON(ctx, fasthttp.StatusOK, h.publish(call, record))
}

func (h *Host) serveTimeline(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	limit, err := strconv.ParseUint(string(args.Peek("limit")), 10, 32)
	if err != nil || limit > maxEventsPerReply {
		limit = maxEventsPerReply
	}
	writeJSON(ctx, fasthttp.StatusOK, h.mergedEvents(context.Background(), &rpc.EventsRequest{
		After:   after,
		Limit:   uint32(limit),
		Request: string(args.Peek("request")),
		Worker:  string(args.Peek("worker")),
	}))
}
