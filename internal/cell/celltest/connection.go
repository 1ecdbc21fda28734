package celltest

import (
	"context"

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
	if current := c.Worker.incarnation(); c.incarnation != current {
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
