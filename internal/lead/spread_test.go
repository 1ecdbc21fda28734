package lead

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// Guards against one host that wins the concurrent elections of two services while
// another host is equally suitable: one processor would then carry both.
func TestServicesAreSpread(t *testing.T) {
	for round := range 20 {
		runCluster(t, func(t *testing.T, c *cluster) {
			const claimDelay = 200 * time.Millisecond
			ctx, cancel := context.WithCancel(context.Background())
			electors := make(map[string][]*Elector)
			for _, name := range []string{"a", "b", "c"} {
				claimLock := make(chan struct{}, 1)
				for _, topic := range []string{"lead.x", "lead.y"} {
					electors[name] = append(electors[name], New(Options{
						Store: c.store, Topic: topic, Self: Holder{Host: name, Incarnation: name}, Log: logr.Discard(), ClaimLock: claimLock,
						RunTerm: func(ctx context.Context, _ *Term, _ *Holder) { <-ctx.Done() },
						ClaimDelay: func() time.Duration {
							led := time.Duration(0)
							for _, e := range electors[name] {
								if e.IsHolder() {
									led++
								}
							}
							return led * claimDelay
						},
					}))
				}
			}
			for _, hostElectors := range electors {
				for _, e := range hostElectors {
					go e.Run(ctx)
				}
			}
			time.Sleep(time.Second)
			leaders := 0
			for name, hostElectors := range electors {
				require.False(t, hostElectors[0].IsHolder() && hostElectors[1].IsHolder(), "round %d: %s leads both", round, name)
				for _, e := range hostElectors {
					if e.IsHolder() {
						leaders++
					}
				}
			}
			require.Equal(t, 2, leaders)
			cancel()
			time.Sleep(3 * time.Second)
		})
	}
}
