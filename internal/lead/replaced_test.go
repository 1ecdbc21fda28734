package lead

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
)

// Guards against two schedulers of which one does not count on the other: a machine that
// replaces a holder under its host name starts before the holder ends.
func TestMachineOfTheSameName(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		ctx, kill := context.WithCancel(context.Background())
		defer kill()
		previous, terms := make(chan *Holder, 10), make(chan *Term, 10)
		self := func(address string) Holder { return Holder{Host: "a", Address: address, Incarnation: address} }
		run := func(ctx context.Context, address string) {
			e := New(Options{Store: c.store, Topic: "lead", Self: self(address), Log: testr.New(t), RunTerm: func(ctx context.Context, term *Term, p *Holder) {
				previous <- p
				terms <- term
				<-ctx.Done()
			}})
			e.Run(ctx)
		}
		firstCtx, killFirst := context.WithCancel(ctx)
		go run(firstCtx, "1")
		require.Nil(t, <-previous)
		go run(ctx, "2")
		time.Sleep(5 * time.Second)
		require.Empty(t, previous, "the holder renews its record")
		killedAt := cell.BootTime()
		killFirst()
		require.Equal(t, "1", (<-previous).Address)
		<-terms
		predecessors := (<-terms).Predecessors()
		require.Len(t, predecessors, 1)
		require.Equal(t, NotStopped, predecessors[0].StoppedAt)
		require.GreaterOrEqual(t, predecessors[0].ActsUntil(MaxConfirmationAge), killedAt-renewInterval+MaxConfirmationAge, "it was confirmed until then")
		kill()
		time.Sleep(3 * time.Second)
	})
}
