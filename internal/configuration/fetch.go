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

// fallbackPeers is the number of peers that are asked in one round while the
// log can't be read. Each round asks the next ones in turn, so that the rounds
// of all hosts together stay cheap during a long outage.
const fallbackPeers = 3

// fetchLoop fetches from peers that are ahead, and asks peers regularly while
// the log can't be read or has a gap.
func (r *Reader) fetchLoop(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	var lastAsked time.Time
	firstPeer := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.fetchSignal:
		case <-ticker.C:
		}
		r.fetchFromPeersAhead(ctx)
		all, some := r.mustAskPeers()
		if !all && !some || time.Since(lastAsked) < askInterval {
			continue
		}
		lastAsked = time.Now()
		peers := r.opts.Peers()
		if n := len(peers); !all && n > fallbackPeers {
			firstPeer = (firstPeer + fallbackPeers) % n
			peers = slices.Concat(peers, peers)[firstPeer : firstPeer+fallbackPeers]
		}
		r.askPeers(ctx, peers, all)
	}
}

// mustAskPeers reports whether all peers have to be asked, because this host
// has no state or a gap, and whether some peers have to be asked, because the
// log can't be read.
func (r *Reader) mustAskPeers() (all, some bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	noState := r.active.Load() == nil
	failing := !r.failingSince.IsZero()
	// If the first read hangs, failing is set only after the read timeout.
	firstReadSlow := time.Since(r.startedAt) >= askInterval
	// The fallback poll should have completed by now, so a read must be hanging.
	hanging := time.Since(r.lastPoll) >= fallbackInterval+askInterval
	backingOff := !r.refusedAt.IsZero() && time.Since(r.refusedAt) < refusedBackoff
	return noState && (failing || firstReadSlow) || !r.gap.noticedAt.IsZero(),
		!backingOff && (failing || hanging)
}

// fetchFromPeersAhead fetches from the peers that have reported a higher
// offset, the highest first. A peer that fails is tried again after its next
// heartbeat.
func (r *Reader) fetchFromPeersAhead(ctx context.Context) {
	r.mu.Lock()
	ahead := r.peersAhead
	r.peersAhead = map[string]uint64{}
	backingOff := !r.refusedAt.IsZero() && time.Since(r.refusedAt) < refusedBackoff
	r.mu.Unlock()
	if _, ready := r.Current(); !ready || backingOff || len(ahead) == 0 {
		return
	}
	peers := slices.DeleteFunc(slices.Clone(r.opts.Peers()), func(p Peer) bool { return ahead[p.Name()] == 0 })
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(ahead[b.Name()], ahead[a.Name()]) })
	if len(peers) == 0 || ahead[peers[0].Name()] <= r.AppliedOffset() {
		return
	}
	// If the first peer fails or has less than it reported, the others are asked
	// concurrently, so that several hanging peers take no longer than one.
	r.fetchFromPeer(ctx, peers[0], 0)
	if r.AppliedOffset() < ahead[peers[0].Name()] {
		r.askPeers(ctx, peers[1:], false)
	}
}

// askPeers asks peers for their applied offsets and fetches from the one with
// the highest offset that can deliver its state. If all peers were asked, a
// host without an active configuration then activates the result.
func (r *Reader) askPeers(ctx context.Context, peers []Peer, all bool) {
	start := time.Now()
	offsets := make([]uint64, len(peers))
	var g errgroup.Group
	for i, peer := range peers {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if d, err := peer.ConfigSince(ctx, 0, 0); err == nil {
				offsets[i] = d.Applied
			}
			return nil
		})
	}
	_ = g.Wait()
	order := make([]int, len(peers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(offsets[b], offsets[a]) })
	gapEnd := r.gapEnd(all)
	upToDate := false
	for _, i := range order {
		if upToDate = offsets[i] > 0 && (offsets[i] <= r.latestState().Offset() || r.fetchFromPeer(ctx, peers[i], gapEnd)); upToDate {
			break
		}
	}
	if !all {
		return
	}
	if upToDate {
		r.install(r.latestState(), nil, 0, true)
	}
	latestOffset := r.latestState().Offset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap.askedAt, r.gap.yield = start, false
	for i, peer := range peers {
		r.gap.yield = r.gap.yield || offsets[i] == latestOffset && peer.Name() < r.opts.Self
	}
}

// gapEnd returns the gapEnd argument of install for a round of asking peers:
// without an active configuration any state is accepted, with a gap any state
// beyond it.
func (r *Reader) gapEnd(all bool) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all && r.active.Load() == nil {
		return math.MaxUint64
	}
	return r.gap.firstKept
}

// fetchFromPeer fetches and applies what a peer has beyond the latest state of
// this host and reports whether it got everything.
func (r *Reader) fetchFromPeer(ctx context.Context, peer Peer, gapEnd uint64) bool {
	cur := r.latestState()
	for {
		next, applied, err := r.fetchPage(ctx, peer, cur, gapEnd)
		if err != nil {
			r.opts.Logger.V(1).Info("fetching the configuration from a peer failed", "neighbour", peer.Name(), "error", err.Error())
			return false
		}
		if next.Offset() >= applied {
			return true
		}
		cur = next
	}
}

// fetchPage fetches one page of records, or the state, after cur from a peer.
// It returns the resulting state and the peer's applied offset.
func (r *Reader) fetchPage(ctx context.Context, peer Peer, cur *contract.Configuration, gapEnd uint64) (*contract.Configuration, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	d, err := peer.ConfigSince(ctx, cur.Offset(), pageRecords)
	if err != nil {
		return nil, 0, err
	}
	if d.State != nil {
		next, err := contract.DecodeSnapshot(0, d.State)
		if err != nil {
			return nil, 0, err
		}
		if next.Offset() <= cur.Offset() {
			return nil, 0, errors.Errorf("received a state at offset %d, expected one after offset %d", next.Offset(), cur.Offset())
		}
		r.install(next, nil, gapEnd, false)
		if r.latestState().Offset() < next.Offset() {
			r.mu.Lock()
			r.refusedAt = time.Now()
			r.mu.Unlock()
			return nil, 0, errors.Errorf("refused a state of lower precedence at offset %d", next.Offset())
		}
		return next, d.Applied, nil
	}
	next, records := r.apply(cur, d.Records, 0)
	if next == cur && d.Applied > cur.Offset() {
		return nil, 0, errors.Errorf("received no records after offset %d although the peer applied offset %d", cur.Offset(), d.Applied)
	}
	r.install(next, records, 0, false)
	return next, d.Applied, nil
}
