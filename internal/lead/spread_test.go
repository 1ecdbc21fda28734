package lead

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// A host must not win the elections of two services that are held at one time
// while another host is as good: one processor would carry both.
func TestServicesAreSpread(t *testing.T) {
	for round := range 20 {
		inHosts(t, func(t *testing.T, h *hosts) {
			const handicap = 200 * time.Millisecond
			ctx, cancel := context.WithCancel(context.Background())
			electors := make(map[string][]*Elector)
			for _, name := range []string{"a", "b", "c"} {
				claims := make(chan struct{}, 1)
				for _, topic := range []string{"lead.x", "lead.y"} {
					electors[name] = append(electors[name], New(Options{
						Store: h.store, Topic: topic, Self: Holder{Host: name, Incarnation: name}, Log: logr.Discard(), ClaimLock: claims,
						RunTerm: func(ctx context.Context, _ *Term, _ *Holder) { <-ctx.Done() },
						ClaimDelay: func() time.Duration {
							led := time.Duration(0)
							for _, e := range electors[name] {
								if e.IsLeader() {
									led++
								}
							}
							return led * handicap
						},
					}))
				}
			}
			for _, of := range electors {
				for _, e := range of {
					go e.Run(ctx)
				}
			}
			time.Sleep(time.Second)
			leaders := 0
			for name, of := range electors {
				require.False(t, of[0].IsLeader() && of[1].IsLeader(), "round %d: %s leads both", round, name)
				for _, e := range of {
					if e.IsLeader() {
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
