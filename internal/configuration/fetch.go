package configuration

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/internal/contract"
)

// fallbackNeighbours is the number of neighbours that are asked in one round
// while the log can't be read. Each round takes the next ones, so that the
// rounds of all hosts together stay small during a long outage.
const fallbackNeighbours = 3

func (r *Reader) fetchLoop(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	var asked time.Time
	turn := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
		}
		r.fetchAhead(ctx)
		all, some := r.mustAsk()
		if !all && !some || time.Since(asked) < askInterval {
			continue
		}
		asked = time.Now()
		neighbours := r.opts.Peers()
		if n := len(neighbours); !all && n > fallbackNeighbours {
			turn = (turn + fallbackNeighbours) % n
			neighbours = slices.Concat(neighbours, neighbours)[turn : turn+fallbackNeighbours]
		}
		r.ask(ctx, neighbours, all)
	}
}

// mustAsk reports whether all neighbours have to be asked, because this host
// has no state or a gap, or else some, because the log can't be read.
func (r *Reader) mustAsk() (all, some bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cold := r.inForce.Load() == nil
	failing := !r.failingSince.IsZero()
	// A first read that hangs doesn't count as failed until it times out.
	slow := time.Since(r.started) >= askInterval
	// A read hangs if not even the fallback has come to its end.
	hanging := time.Since(r.pollTime) >= fallbackInterval+askInterval
	refused := !r.refused.IsZero() && time.Since(r.refused) < refusedInterval
	return cold && (failing || slow) || !r.gap.since.IsZero(),
		!refused && (failing || hanging)
}

// fetchAhead fetches from the neighbours that have reported a higher offset,
// the highest first. A neighbour that fails is tried again after its next
// heartbeat.
func (r *Reader) fetchAhead(ctx context.Context) {
	r.mu.Lock()
	ahead := r.ahead
	r.ahead = map[string]uint64{}
	refused := !r.refused.IsZero() && time.Since(r.refused) < refusedInterval
	r.mu.Unlock()
	if _, ready := r.Current(); !ready || refused || len(ahead) == 0 {
		return
	}
	neighbours := slices.DeleteFunc(slices.Clone(r.opts.Peers()), func(n Peer) bool { return ahead[n.Name()] == 0 })
	slices.SortFunc(neighbours, func(a, b Peer) int { return cmp.Compare(ahead[b.Name()], ahead[a.Name()]) })
	if len(neighbours) == 0 || ahead[neighbours[0].Name()] <= r.AppliedOffset() {
		return
	}
	// If the first one fails or has less than it reported, the others are
	// asked at the same time, so that several hanging neighbours take no longer
	// than one.
	r.fetch(ctx, neighbours[0], 0)
	if r.AppliedOffset() < ahead[neighbours[0].Name()] {
		r.ask(ctx, neighbours[1:], false)
	}
}

// ask asks neighbours for their applied offsets and fetches from the highest
// that can deliver its state. If all were asked, a host without a state takes
// the result as its own.
func (r *Reader) ask(ctx context.Context, neighbours []Peer, all bool) {
	start := time.Now()
	offsets := make([]uint64, len(neighbours))
	var g errgroup.Group
	for i, n := range neighbours {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, neighbourTimeout)
			defer cancel()
			if d, err := n.ConfigSince(ctx, 0, 0); err == nil {
				offsets[i] = d.Applied
			}
			return nil
		})
	}
	_ = g.Wait()
	order := make([]int, len(neighbours))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(offsets[b], offsets[a]) })
	crossing := r.crossing(all)
	best := false
	for _, i := range order {
		if best = offsets[i] > 0 && (offsets[i] <= r.state().Offset() || r.fetch(ctx, neighbours[i], crossing)); best {
			break
		}
	}
	if !all {
		return
	}
	if best {
		r.install(r.state(), nil, 0, true)
	}
	applied := r.state().Offset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap.asked, r.gap.yield = start, false
	for i, n := range neighbours {
		r.gap.yield = r.gap.yield || offsets[i] == applied && n.Name() < r.opts.Self
	}
}

// crossing returns the argument for install after asking neighbours: a host
// without a state takes any, a host with a gap any beyond the gap.
func (r *Reader) crossing(all bool) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all && r.inForce.Load() == nil {
		return math.MaxUint64
	}
	return r.gap.first
}

// fetch takes over what a neighbour has beyond the folded state and reports
// whether it got everything.
func (r *Reader) fetch(ctx context.Context, n Peer, crossing uint64) bool {
	cur := r.state()
	for {
		next, applied, err := r.fetchPage(ctx, n, cur, crossing)
		if err != nil {
			r.opts.Logger.V(1).Info("fetch from a neighbour failed", "neighbour", n.Name(), "error", err.Error())
			return false
		}
		if next.Offset() >= applied {
			return true
		}
		cur = next
	}
}

func (r *Reader) fetchPage(ctx context.Context, n Peer, cur *contract.Configuration, crossing uint64) (*contract.Configuration, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, neighbourTimeout)
	defer cancel()
	d, err := n.ConfigSince(ctx, cur.Offset(), pageRecords)
	if err != nil {
		return nil, 0, err
	}
	if d.State != nil {
		next, err := contract.DecodeSnapshot(0, d.State)
		if err != nil {
			return nil, 0, err
		}
		if next.Offset() <= cur.Offset() {
			return nil, 0, errors.Errorf("received a state of offset %d, not after %d", next.Offset(), cur.Offset())
		}
		r.install(next, nil, crossing, false)
		if r.state().Offset() < next.Offset() {
			r.mu.Lock()
			r.refused = time.Now()
			r.mu.Unlock()
			return nil, 0, errors.Errorf("refused a state of offset %d of lower precedence", next.Offset())
		}
		return next, d.Applied, nil
	}
	next, records := r.apply(cur, d.Records, 0)
	if next == cur && d.Applied > cur.Offset() {
		return nil, 0, errors.Errorf("received no record after offset %d of %d", cur.Offset(), d.Applied)
	}
	r.install(next, records, 0, false)
	return next, d.Applied, nil
}
