package pool

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// rateBurstTime is the time over which the jobs of a team may be uneven: a team that
// sends the jobs of two seconds at once is still within its rate.
const rateBurstTime = 2 * time.Second

// rateLimit returns the jobs per second and the burst that a shard grants a team.
//
// The rate is divided by the number of shards of the service, since the IDs of jobs
// distribute them over the shards at random: with the whole rate in each of n shards, a
// team would be within its rate at n times what it is owed. It is not divided by the
// number of services, since a team may use a single one; a team that uses several is
// owed its rate in each. What arrives at one shard within rateBurstTime varies by the
// square root of its mean, so two standard deviations are added to the burst. Otherwise
// jobs of a team that keeps to its rate would count as beyond it in services with many
// shards.
func rateLimit(weight float64, shards int) (perSecond float64, burst int) {
	perSecond = weight / float64(max(shards, 1))
	mean := perSecond * rateBurstTime.Seconds()
	return perSecond, max(int(math.Ceil(mean+2*math.Sqrt(mean))), 1)
}

// takeFromRate reports whether a new job of the team is within the team's rate, and
// counts it if so. A scheduler starts with full buckets, so that a change of scheduler
// grants at most one more burst.
func (p *Pool) takeFromRate(name string, now time.Time) bool {
	if name == "" {
		return true
	}
	team, ok := p.teams()[name]
	if !ok {
		return true // so far, only the host that received the job knows the team
	}
	if team.Weight <= 0 {
		return false
	}
	perSecond, burst := rateLimit(team.Weight, p.opts.Shard.Count)
	limiter := p.rates[name]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		p.rates[name] = limiter
	} else if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, 1)
}
