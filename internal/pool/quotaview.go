package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/quota"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// QuotaViews returns what this scheduler knows of the quotas, in the order of the teams'
// names. Errors are like those of State.
func (p *Pool) QuotaViews() ([]api.TeamQuotaView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkServing(); err != nil {
		return nil, err
	}
	views := []api.TeamQuotaView{}
	for name, team := range p.teams() {
		if !quota.Limited(team.Quota) {
			continue
		}
		held := p.quotas.ledger.Held(name)
		v := api.TeamQuotaView{
			Team: name, Shard: p.opts.Shard.String(), Quota: amounts(team.Quota),
			Limit: amounts(quota.Limit(team.Quota, held)), Used: amounts(p.quotas.used[name]),
		}
		for i, units := range held {
			v.Percent[i] = 100 * float64(units) / quota.Whole
		}
		if s := p.quotas.shortages[name]; s != nil {
			v.HeldMS, v.Lack = time.Since(s.since).Milliseconds(), amounts(s.lack)
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b api.TeamQuotaView) int { return strings.Compare(a.Team, b.Team) })
	return views, nil
}

// amounts converts resources. An unlimited one becomes 0, as in a quota.
func amounts(r worker.Resources) api.Amounts {
	limited := func(v int64) int64 {
		if v == quota.Unlimited {
			return 0
		}
		return v
	}
	return api.Amounts{MilliCPU: limited(r.MilliCPU), MemoryMiB: limited(r.MemoryMiB), Accelerators: limited(r.Accelerators)}
}
