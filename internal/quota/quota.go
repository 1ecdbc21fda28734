// Package quota splits the quotas of teams among the schedulers of all shards, and
// lends parts from one shard to another. Each shard decides alone within its part, and
// the parts never exceed the quota, whatever messages are lost, repeated or delayed and
// whichever schedulers are replaced: a lender stores what it has lent before it tells
// the borrower, and both only add to totals.
package quota

import (
	"math"
	"math/bits"

	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// Whole is the number of units into which each resource of a team's quota is divided.
// Units are fractions, so that a changed quota scales the parts of all shards at once.
const Whole = 1 << 20

// Units is an amount of a team's quota: units of CPU, of memory and of accelerators.
type Units [3]int64

// Add returns u + o.
func (u Units) Add(o Units) Units { return u.combine(o, func(a, b int64) int64 { return a + b }) }

// Sub returns u - o. The result may be negative.
func (u Units) Sub(o Units) Units { return u.combine(o, func(a, b int64) int64 { return a - b }) }

// Min returns the smaller of u and o for each resource.
func (u Units) Min(o Units) Units { return u.combine(o, func(a, b int64) int64 { return min(a, b) }) }

// Max returns the larger of u and o for each resource.
func (u Units) Max(o Units) Units { return u.combine(o, func(a, b int64) int64 { return max(a, b) }) }

func (u Units) combine(o Units, f func(a, b int64) int64) Units {
	for i := range u {
		u[i] = f(u[i], o[i])
	}
	return u
}

// IsZero reports whether u is zero for each resource.
func (u Units) IsZero() bool { return u == Units{} }

// Unlimited is the limit of a resource that a quota does not limit.
const Unlimited = math.MaxInt64 / 4

// Limited reports whether a quota limits any resource.
func Limited(quota worker.Resources) bool { return quota != worker.Resources{} }

// Limit returns what a shard may have running with the given units of a quota.
func Limit(quota worker.Resources, held Units) worker.Resources {
	limits := values(quota)
	for i, q := range limits {
		if q == 0 {
			limits[i] = Unlimited
			continue
		}
		limits[i] = scale(q, max(held[i], 0), Whole, 0)
	}
	return resources(limits)
}

// Required returns the fewest units of a quota that allow the amount. A resource that
// the quota does not limit requires none.
func Required(quota, amount worker.Resources) Units {
	var required Units
	amounts := values(amount)
	for i, q := range values(quota) {
		if q > 0 && amounts[i] > 0 {
			required[i] = scale(amounts[i], Whole, q, q-1)
		}
	}
	return required
}

// Amount returns what units are of a quota. They are none of a resource that the quota does
// not limit.
func Amount(quota worker.Resources, units Units) worker.Resources {
	amounts := values(quota)
	for i, q := range amounts {
		amounts[i] = scale(q, max(units[i], 0), Whole, Whole-1)
	}
	return resources(amounts)
}

// UnderHalf reports whether the amount is less than half of the limit of each resource that
// the quota limits.
func UnderHalf(quota, limit, amount worker.Resources) bool {
	limits, amounts := values(limit), values(amount)
	for i, q := range values(quota) {
		if q > 0 && 2*amounts[i] >= limits[i] {
			return false
		}
	}
	return true
}

// MayOverdraw reports whether a shard that holds the given units of a quota, of which it
// uses an amount, may start count equal tasks although they exceed what it holds. Less than
// half of the quota must be in use, and the last task must be the only one that exceeds the
// quota. The shard must hold all units of a resource that is exceeded, so that no other
// shard starts work of the team before the task has ended.
func MayOverdraw(quota worker.Resources, held Units, used, need worker.Resources, count int) bool {
	if !UnderHalf(quota, quota, used) {
		return false
	}
	limits, amounts, needs := values(Limit(quota, held)), values(used), values(need)
	for i, q := range values(quota) {
		if q == 0 || needs[i] == 0 {
			continue
		}
		before := amounts[i] + int64(count-1)*needs[i]
		if before > q || before+needs[i] > limits[i] && held[i] < Whole {
			return false
		}
	}
	return true
}

// scale returns (a*b + carry) / divisor, at most Unlimited. The product may exceed 64
// bits: memory of thousands of workers in MiB times Whole.
func scale(a, b, divisor, carry int64) int64 {
	high, low := bits.Mul64(uint64(a), uint64(b))
	low, overflow := bits.Add64(low, uint64(carry), 0)
	high += overflow
	if high >= uint64(divisor) {
		return Unlimited
	}
	quotient, _ := bits.Div64(high, low, uint64(divisor))
	return int64(min(quotient, Unlimited))
}

func values(r worker.Resources) [3]int64 {
	return [3]int64{r.MilliCPU, r.MemoryMiB, r.Accelerators}
}

func resources(v [3]int64) worker.Resources {
	return worker.Resources{MilliCPU: v[0], MemoryMiB: v[1], Accelerators: v[2]}
}
