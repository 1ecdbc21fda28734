package celltest

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/httpcall"
)

// Connection is a client of a worker whose hold calls share a connection. It ends with
// the worker's process and with a call that fails.
type Connection struct {
	*Worker
	// incarnation is that of the process to which the connection leads, 0 without one.
	incarnation int64
}

// Connect returns a client without a connection.
func (w *Worker) Connect() *Connection { return &Connection{Worker: w} }

// Hold implements the pool's client.
func (c *Connection) Hold(ctx context.Context, h cell.HoldRequest) (*cell.HoldReply, error) {
	if current := c.Worker.CurrentIncarnation(); c.incarnation != current {
		if h.SameConnection {
			return nil, errors.WithStack(httpcall.ErrConnChanged)
		}
		c.incarnation = current
	}
	reply, err := c.Worker.hold(ctx, h, c.incarnation)
	if err != nil {
		c.incarnation = 0
	}
	return reply, err
}

// hold makes a hold call on a connection to the given incarnation.
func (w *Worker) hold(ctx context.Context, h cell.HoldRequest, incarnation int64) (*cell.HoldReply, error) {
	var reply *cell.HoldReply
	deadline := time.Now().Add(h.Wait)
	for first := true; ; first = false {
		err := w.call(ctx, "hold", "", func() error {
			if w.Entry.Incarnation != incarnation {
				return errors.Wrap(httpcall.ErrNoReply, "the worker has restarted")
			}
			if err := w.checkFence(h.Fence); err != nil {
				return err
			}
			if first { // later passes of the loop only wait
				w.acknowledge(h.AckCursor)
			}
			if h.LeaseUntilMS > 0 {
				w.extendLease(h.LeaseUntilMS)
			}
			reply = w.holdReply()
			return nil
		})
		if err != nil || len(reply.Ended) > 0 || !time.Now().Before(deadline) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(httpcall.ErrNoReply, ctx.Err().Error())
		case <-time.After(pollInterval):
		}
	}
}
