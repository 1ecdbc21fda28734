package jobhost

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/pool"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/store"
)

const (
	// topicQuota is the compacted topic with the list of the shards among which all
	// quotas were split at first.
	topicQuota = "quota"
	// keyInitialShards is the key of that list.
	keyInitialShards = "initial"
	// maxWantsPerCall bounds the teams in one call.
	maxWantsPerCall = 1000
)

// initialShardsRecord is written once. The parts of all shards follow from it.
type initialShardsRecord struct {
	Shards []string `json:"shards"`
}

// quotaLenders implements pool.Lenders with calls between the entry hosts.
type quotaLenders struct{ host *Host }

var _ pool.Lenders = quotaLenders{}

// Shards implements pool.Lenders.
func (l quotaLenders) Shards() []string {
	var names []string
	for _, service := range l.host.shards.services() {
		for _, s := range l.host.shards.all(service) {
			names = append(names, s.String())
		}
	}
	slices.Sort(names)
	return names
}

// InitialShards implements pool.Lenders. The first host that misses the list stores it,
// once the shards of all services of the configuration are known.
func (l quotaLenders) InitialShards(ctx context.Context) ([]string, error) {
	records, end, err := store.ReadAllCompacted(ctx, l.host.store, topicQuota)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Key != keyInitialShards {
			continue
		}
		var found initialShardsRecord
		if err := json.Unmarshal(r.Value, &found); err != nil || len(found.Shards) == 0 {
			return nil, errors.Errorf("list of the initial shards is invalid: %.100q", r.Value)
		}
		return found.Shards, nil
	}
	config, _ := l.host.config.get()
	if config == nil {
		return nil, errors.New("no configuration yet")
	}
	for service := range config.Services {
		if !l.host.shards.known(service) {
			return nil, errors.Errorf("shards of service %s are not known yet", service)
		}
	}
	value, err := json.Marshal(initialShardsRecord{Shards: l.Shards()})
	if err != nil {
		return nil, errors.Wrap(err, "encode the initial shards")
	}
	if _, err := l.host.store.Append(ctx, store.Append{Topic: topicQuota, Records: []store.Record{{Key: keyInitialShards, Value: value}}, ExpectedEnd: &end}); err != nil {
		return nil, err // another host was faster, or the next read tells
	}
	return nil, errors.New("the initial shards have just been stored and are read again")
}

// Lend implements pool.Lenders.
func (l quotaLenders) Lend(ctx context.Context, lender, borrower string, wants []pool.QuotaWant) ([]pool.QuotaTotals, error) {
	request := &jobsrpc.LendRequest{Shard: lender, Borrower: borrower}
	for _, w := range wants[:min(len(wants), maxWantsPerCall)] {
		request.Wants = append(request.Wants, &jobsrpc.QuotaWant{
			Team: w.Team, Units: w.Units[:], Priority: int64(w.Priority), WaitingMs: w.Waiting.Milliseconds(), Lent: w.Lent[:],
		})
	}
	var reply *jobsrpc.LendReply
	if _, err := l.host.call(ctx, lender, func(ctx context.Context, s jobsrpc.Jobs) (err error) {
		reply, err = s.Lend(ctx, request)
		return err
	}); err != nil {
		return nil, err
	}
	var totals []pool.QuotaTotals
	for _, t := range reply.Totals {
		lent := unitsOf(t.Lent)
		if lent == nil || len(t.Spare) != len(quota.Units{}) {
			return nil, errors.Errorf("reply about team %q has invalid units", t.Team)
		}
		totals = append(totals, pool.QuotaTotals{Team: t.Team, Lent: *lent, Spare: quota.Units(t.Spare)})
	}
	return totals, nil
}

// unitsOf returns the units in a message, nil if they are invalid.
func unitsOf(v []int64) *quota.Units {
	if len(v) != len(quota.Units{}) || slices.Min(v) < 0 {
		return nil
	}
	u := quota.Units(v)
	return &u
}

// Lend implements jobsrpc.Jobs.
func (s peerServer) Lend(ctx context.Context, r *jobsrpc.LendRequest) (*jobsrpc.LendReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	if len(r.Wants) > maxWantsPerCall {
		return nil, twirp.InvalidArgumentError("wants", "too many teams")
	}
	var wants []pool.QuotaWant
	for _, w := range r.Wants {
		units, lent := unitsOf(w.Units), unitsOf(w.Lent)
		if units == nil || lent == nil {
			return nil, twirp.InvalidArgumentError("wants", "units must be three non-negative numbers")
		}
		wants = append(wants, pool.QuotaWant{Team: w.Team, Units: *units, Priority: int(w.Priority), Waiting: time.Duration(w.WaitingMs) * time.Millisecond, Lent: *lent})
	}
	totals, err := p.Lend(ctx, r.Borrower, wants)
	if err != nil {
		return nil, rpcError(err)
	}
	reply := &jobsrpc.LendReply{}
	for _, t := range totals {
		reply.Totals = append(reply.Totals, &jobsrpc.QuotaTotals{Team: t.Team, Lent: t.Lent[:], Spare: t.Spare[:]})
	}
	return reply, nil
}

// Quotas implements jobsrpc.Jobs.
func (s peerServer) Quotas(_ context.Context, r *jobsrpc.QuotasRequest) (*jobsrpc.QuotasReply, error) {
	p, err := s.pool(r.Shard)
	if err != nil {
		return nil, err
	}
	views, err := p.QuotaViews()
	if err != nil {
		return nil, rpcError(err)
	}
	encoded, err := json.Marshal(views)
	if err != nil {
		return nil, twirp.InternalErrorWith(errors.Wrap(err, "encode the quotas"))
	}
	return &jobsrpc.QuotasReply{Quotas: encoded}, nil
}

// quotaList asks the schedulers of all shards for the quotas of the teams.
func (h *Host) quotaList() api.QuotaList {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var mu sync.Mutex
	list := api.QuotaList{Teams: []api.TeamQuotaView{}}
	var calls errgroup.Group
	for _, name := range (quotaLenders{h}).Shards() {
		calls.Go(func() error {
			var views []api.TeamQuotaView
			_, err := h.call(ctx, name, func(ctx context.Context, s jobsrpc.Jobs) error {
				reply, err := s.Quotas(ctx, &jobsrpc.QuotasRequest{Shard: name})
				if err != nil {
					return err
				}
				return errors.Wrap(json.Unmarshal(reply.Quotas, &views), "decode the quotas")
			})
			mu.Lock()
			defer mu.Unlock()
			list.Teams = append(list.Teams, views...)
			if err != nil {
				h.log.Info("scheduler did not return the quotas", "shard", name, "error", err.Error())
				list.Missing = append(list.Missing, name)
			}
			return nil
		})
	}
	_ = calls.Wait() // the calls report their errors in the list
	slices.SortFunc(list.Teams, func(a, b api.TeamQuotaView) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Shard, b.Shard))
	})
	return list
}
