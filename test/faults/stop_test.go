package faults

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/domain"
	"github.com/laburnumpass/laburnumpass/internal/link"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// newRequest returns a request that is not idempotent and runs for the given time.
func (c *cell) newRequest(run time.Duration) api.Request {
	c.t.Helper()
	body, err := json.Marshal(standin.TaskBody{RunMS: run.Milliseconds(), AnswerBytes: 100})
	require.NoError(c.t, err)
	id, err := c.client.NewID(c.t.Context())
	require.NoError(c.t, err)
	return api.Request{ID: id, Team: "sales", Service: "order-desk", DeadlineMS: 20_000, Body: body}
}

// exchange sends one HTTP request on an open connection and returns the reply with
// its body. It makes no second attempt, unlike a Client.
func exchange(conn net.Conn, method, path string, body any) (*http.Response, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequest(method, "http://"+conn.RemoteAddr().String()+path, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	if err := req.Write(conn); err != nil {
		return nil, nil, err
	}
	reply, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, nil, err
	}
	defer reply.Body.Close()
	data, err = io.ReadAll(reply.Body)
	return reply, data, err
}

// submitOn sends a request on an open connection and returns the reply.
func submitOn(conn net.Conn, r api.Request) (api.Response, error) {
	var response api.Response
	_, body, err := exchange(conn, http.MethodPost, api.PathRequests, r)
	if err != nil {
		return response, errors.Wrapf(err, "request %s has no reply", r.ID)
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return response, err
	}
	return response, response.Verify(r.ID)
}

// TestRequestAcceptedLateInDrain guards against a request that a draining host accepts
// shortly before it exits and whose connection it closes without a reply.
func TestRequestAcceptedLateInDrain(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{layout: smallLayout})
	stopped := make(chan error, 1)
	go func() { stopped <- c.Drain(1) }()
	var late errgroup.Group
	var answered atomic.Int64
	var refused atomic.Bool
	for !refused.Load() {
		conn, err := net.Dial("tcp", c.CallerAddresses()[1])
		if err != nil {
			break
		}
		defer conn.Close()
		r := c.newRequest(3 * time.Second)
		late.Go(func() error {
			response, err := submitOn(conn, r)
			switch {
			case err != nil:
				return err
			case response.Outcome == api.Answered:
				answered.Add(1)
			case response.Reason != api.ReasonNotReady || c.hasStarted(r.ID):
				return errors.Errorf("request %s ended as %s %s", r.ID, response.Outcome, response.Reason)
			default:
				refused.Store(true)
			}
			return nil
		})
		// The answer to a short request sets the pace.
		_, err = c.client.Do(t.Context(), c.newRequest(100*time.Millisecond))
		require.NoError(t, err)
	}
	assert.NoError(t, late.Wait())
	assert.NoError(t, <-stopped)
	assert.Positive(t, answered.Load(), "the draining host answered no request")
}

// hasStarted reports whether a task of the request has started.
func (c *cell) hasStarted(id string) (started bool) {
	c.taskEvents(id, func(_ *standin.Journal, e standin.Event) {
		started = started || e.Kind == standin.EventStart
	})
	return started
}

// TestDispatchInProgressAtDrain guards against a host that exits while it runs a request
// for another host, which must then ask all workers and may not learn the outcome.
func TestDispatchInProgressAtDrain(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{layout: smallLayout})
	r := c.newRequest(3 * time.Second)
	transport := &http.Transport{Protocols: link.Protocols()}
	defer transport.CloseIdleConnections()
	peer := rpc.NewPeerProtobufClient("http://"+c.Settings[1].Listen.Peers, &http.Client{Transport: transport})
	var call errgroup.Group
	call.Go(func() error {
		reply, err := peer.Dispatch(t.Context(), &rpc.DispatchRequest{
			Request: &rpc.SubmitRequest{Id: r.ID, Team: r.Team, Service: r.Service, DeadlineMs: uint32(r.DeadlineMS), Body: r.Body},
			Keeper:  c.Settings[0].Host, Attempt: 1,
		})
		if err == nil && reply.Reply.Outcome != string(api.Answered) {
			err = errors.Errorf("the dispatch ended as %s %s", reply.Reply.Outcome, reply.Reply.Reason)
		}
		return err
	})
	c.awaitTaskStarts(1)
	assert.NoError(t, c.Drain(1))
	assert.NoError(t, call.Wait())
}

// TestAnswerOfLeavingKeeper guards against a router that gives up its call to a record
// keeper that begins to leave, although only that keeper gets the answer.
func TestAnswerOfLeavingKeeper(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{layout: smallLayout})
	hosts := []string{c.Settings[0].Host, c.Settings[1].Host}
	r := c.newRequest(3 * time.Second)
	for domain.RendezvousFirst(r.ID, hosts) != hosts[1] {
		r = c.newRequest(3 * time.Second)
	}
	for _, w := range c.platform.Workers {
		w.DropReplies(math.MaxInt, standin.MethodStatus)
	}
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()[:1]})
	require.NoError(t, err)
	defer client.Close()
	var call errgroup.Group
	call.Go(func() error {
		response, err := client.Do(t.Context(), r)
		if err == nil && response.Outcome != api.Answered {
			err = errors.Errorf("the request ended as %s %s", response.Outcome, response.Reason)
		}
		return err
	})
	c.awaitTaskStarts(1)
	assert.NoError(t, c.Drain(1))
	assert.NoError(t, call.Wait())
}

// TestDrainClosesKeepAliveConnections guards against callers that reuse a connection
// which the end of the drain is about to close, and lose the request on it.
func TestDrainClosesKeepAliveConnections(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{layout: smallLayout})
	idle, err := net.Dial("tcp", c.CallerAddresses()[1])
	require.NoError(t, err)
	defer idle.Close()
	reply, _, err := exchange(idle, http.MethodGet, "/readyz", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.StatusCode)
	require.False(t, reply.Close)
	stopped := make(chan error, 1)
	go func() { stopped <- c.Drain(1) }()
	for reply.StatusCode == http.StatusOK {
		reply, _, err = exchange(idle, http.MethodGet, "/readyz", nil)
		require.NoError(t, err)
	}
	assert.True(t, reply.Close, "a draining host keeps a connection open")
	assert.NoError(t, <-stopped)
}

// TestQueueOfLastHost guards against a queue that is lost, with unknown outcomes, when the
// only live host of a failure domain begins a planned stop.
func TestQueueOfLastHost(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{entryHosts: []int{2, 1, 1}, layout: smallLayout})
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()[2:3]})
	require.NoError(t, err)
	defer client.Close()
	load := demo.Workload{Name: "queue", Service: "batch", Team: "planning", Requests: 200, RequestsPerSecond: 1000, RunMS: 1000, Deadline: 30 * time.Second, AnswerBytes: 100}
	var results []demo.Result
	var submitting errgroup.Group
	submitting.Go(func() error {
		var err error
		results, err = demo.Run(t.Context(), client, []demo.Workload{load}, 1)
		return err
	})
	c.awaitTaskStarts(40)
	assert.NoError(t, c.Drain(2))
	require.NoError(t, submitting.Wait())
	c.checkOutcomes(results, 1)
}

// TestSimultaneousPlannedStops guards against a queue that is lost, with unknown outcomes,
// when both hosts of a failure domain begin a planned stop before either learns of the
// other's, so that each leaves its queue to the other.
func TestSimultaneousPlannedStops(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{entryHosts: []int{2, 1, 1}, layout: smallLayout})
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()[:2]})
	require.NoError(t, err)
	defer client.Close()
	load := demo.Workload{Name: "queue", Service: "batch", Team: "planning", Requests: 200, RequestsPerSecond: 1000, RunMS: 1000, Deadline: 30 * time.Second, AnswerBytes: 100}
	var results []demo.Result
	var submitting errgroup.Group
	submitting.Go(func() error {
		var err error
		results, err = demo.Run(t.Context(), client, []demo.Workload{load}, 1)
		return err
	})
	c.awaitTaskStarts(40)
	var stops errgroup.Group
	for i := range 2 {
		stops.Go(func() error { return c.Drain(i) })
	}
	assert.NoError(t, stops.Wait())
	require.NoError(t, submitting.Wait())
	c.checkOutcomes(results, 1)
}

// TestOverlappingPlannedStops guards against a host that leaves its failure domain while
// the only other one restarts, so that the records and the queue of both are lost.
func TestOverlappingPlannedStops(t *testing.T) {
	t.Parallel()
	c := newCell(t, options{layout: smallLayout})
	load := priceLoad(15)
	load.Deadline = 20 * time.Second
	var results []demo.Result
	var submitting errgroup.Group
	submitting.Go(func() error {
		var err error
		results, err = demo.Run(t.Context(), c.client, []demo.Workload{load}, 1)
		return err
	})
	c.awaitTaskStarts(40)
	assert.NoError(t, c.Drain(0))
	var second errgroup.Group
	second.Go(func() error { return c.Drain(1) })
	c.awaitDraining(1)
	c.restart(0)
	assert.NoError(t, second.Wait())
	c.restart(1)
	require.NoError(t, submitting.Wait())
	c.checkOutcomes(results, 1)
}

// awaitDraining waits until a host reports that it is draining.
func (c *cell) awaitDraining(i int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		resp, err := http.Get("http://" + c.CallerAddresses()[i] + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	}, eventTimeout, pollInterval)
}
