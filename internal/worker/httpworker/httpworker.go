// Package httpworker implements worker.Worker over HTTP with JSON bodies.
package httpworker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/httpcall"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Maximum numbers of connections that one entry host opens to a worker. A worker
// accepts 64; with these limits a paused holder and its successor together stay
// below that.
const (
	startConns   = 16
	controlConns = 4
)

// Options limits the calls to a worker. A zero field takes the default given in
// its comment.
type Options struct {
	// DialTimeout bounds the time to open a connection; 1 s by default.
	DialTimeout time.Duration
	// ConnWait bounds the wait for a free connection; 1 s by default.
	ConnWait time.Duration
	// ControlTimeout bounds each call except Start, in addition to the call's
	// context; 5 s by default. Start is bounded by its context only, because it
	// may wait for the end of the task.
	ControlTimeout time.Duration
	// MaxRequestBytes and MaxReplyBytes limit the size of the JSON body of a
	// request and of a reply; 8 MiB and 64 MiB by default.
	MaxRequestBytes, MaxReplyBytes int
}

// Client implements worker.Worker over HTTP. Start and all other calls use
// separate connections.
type Client struct {
	start, control *httpcall.Client
}

var _ worker.Worker = (*Client)(nil)

// New returns a client for the worker at info.Address. It opens at most 16
// connections for Start and 4 for all other calls.
func New(info worker.Info, opts Options) *Client {
	common := httpcall.Options{
		DialTimeout:     opts.DialTimeout,
		ConnWait:        opts.ConnWait,
		MaxRequestBytes: opts.MaxRequestBytes,
		MaxReplyBytes:   opts.MaxReplyBytes,
	}
	start, control := common, common
	start.MaxConns = startConns
	control.MaxConns = controlConns
	control.CallTimeout = opts.ControlTimeout
	if control.CallTimeout == 0 {
		control.CallTimeout = 5 * time.Second
	}
	return &Client{start: httpcall.New(info.Address, start), control: httpcall.New(info.Address, control)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.start.CloseIdle()
	c.control.CloseIdle()
}

// Hold implements worker.Worker.
func (c *Client) Hold(ctx context.Context, req worker.HoldRequest) (worker.HoldReply, error) {
	return call[worker.HoldReply](ctx, c.control, PathHold, req)
}

// Renew implements worker.Worker.
func (c *Client) Renew(ctx context.Context, req worker.RenewRequest) (worker.RenewReply, error) {
	return call[worker.RenewReply](ctx, c.control, PathRenew, req)
}

// Release implements worker.Worker.
func (c *Client) Release(ctx context.Context, req worker.ReleaseRequest) error {
	_, err := call[struct{}](ctx, c.control, PathRelease, req)
	return err
}

// Start implements worker.Worker.
func (c *Client) Start(ctx context.Context, req worker.StartRequest) (worker.StartReply, error) {
	return call[worker.StartReply](ctx, c.start, PathStart, req)
}

// Status implements worker.Worker.
func (c *Client) Status(ctx context.Context, req worker.StatusRequest) (worker.Task, error) {
	return call[worker.Task](ctx, c.control, PathStatus, req)
}

// Stop implements worker.Worker.
func (c *Client) Stop(ctx context.Context, task worker.TaskID) (worker.TaskState, error) {
	reply, err := call[StopReply](ctx, c.control, PathStop, TaskRequest{Task: task})
	return reply.State, err
}

// Checkpoint implements worker.Worker.
func (c *Client) Checkpoint(ctx context.Context, task worker.TaskID) error {
	_, err := call[struct{}](ctx, c.control, PathCheckpoint, TaskRequest{Task: task})
	return err
}

// Throttle implements worker.Worker.
func (c *Client) Throttle(ctx context.Context, task worker.TaskID, limit worker.Resources) error {
	_, err := call[struct{}](ctx, c.control, PathThrottle, TaskRequest{Task: task, Limit: limit})
	return err
}

// Usage implements worker.Worker.
func (c *Client) Usage(ctx context.Context) (worker.Usage, error) {
	return call[worker.Usage](ctx, c.control, PathUsage, struct{}{})
}

// call makes a call and translates the errors of httpcall to those of package
// worker.
func call[T any](ctx context.Context, client *httpcall.Client, path string, req any) (T, error) {
	var reply, zero T
	err := client.Call(ctx, path, req, &reply)
	if err == nil {
		return reply, nil
	}
	var status *httpcall.StatusError
	switch {
	case errors.As(err, &status):
		return zero, statusError(path, status)
	case errors.Is(err, httpcall.ErrNotSent):
		return zero, errors.Wrapf(worker.ErrNotDelivered, "%s: %v", path, err)
	default:
		return zero, errors.Wrapf(worker.ErrNoReply, "%s: %v", path, err)
	}
}

// statusError translates a reply with a status other than 200 to an error of
// package worker.
func statusError(path string, status *httpcall.StatusError) error {
	var body ErrorBody
	if err := json.Unmarshal(status.Body, &body); err == nil {
		switch body.Code {
		case CodeNotDelivered:
			return errors.Wrapf(worker.ErrNotDelivered, "%s: %s", path, body.Message)
		case CodeStaleEpoch:
			return errors.Wrap(worker.ErrStaleEpoch, path)
		case CodeFenced:
			return errors.Wrap(worker.ErrFenced, path)
		case CodeDuplicateTask:
			return errors.Wrap(worker.ErrDuplicateTask, path)
		case CodeHeld:
			return &worker.HeldError{Holder: body.Holder, Remaining: time.Duration(body.RemainingNS)}
		}
	}
	if status.IsInvalidRequest() {
		return errors.Wrapf(worker.ErrNotDelivered, "%s: %v", path, status)
	}
	return errors.Wrapf(worker.ErrNoReply, "%s: %v", path, status)
}
