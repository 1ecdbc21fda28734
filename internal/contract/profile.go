// Package contract holds what operators declare: profiles, services and
// quotas, and how a sequence of published records becomes a configuration.
package contract

import "github.com/laburnumpass/laburnumpass/internal/worker"

// Kind is the kind of a configuration object.
type Kind string

// Kinds of configuration objects.
const (
	KindProfile Kind = "profile"
	KindService Kind = "service"
	KindQuota   Kind = "quota"
)

// Strategy says how the workers that fit are ranked.
type Strategy string

const (
	// Pack prefers the fullest worker that fits, which keeps large holes open.
	Pack Strategy = "pack"
	// SpreadRacks prefers racks with the fewest tasks of the service.
	SpreadRacks Strategy = "spread_racks"
	// SpreadFailureDomains prefers failure domains with the fewest tasks of
	// the service.
	SpreadFailureDomains Strategy = "spread_failure_domains"
	// LeastLoaded prefers the emptiest worker, for the shortest run time.
	LeastLoaded Strategy = "least_loaded"
)

// OverrunAction is an action against a task that outgrows its declared size.
type OverrunAction string

// Actions against a task that uses more than its declared size.
const (
	OverrunThrottle   OverrunAction = "throttle"
	OverrunCheckpoint OverrunAction = "checkpoint"
	OverrunStop       OverrunAction = "stop"
)

// Profile is a named policy: how a kind of work is placed, queued and refused.
type Profile struct {
	Placement Placement `json:"placement"`
	Queue     Queue     `json:"queue"`
	Refusal   Refusal   `json:"refusal"`
	// Overrun lists the actions in the order in which they are tried.
	Overrun []OverrunAction `json:"overrun,omitempty"`
	// OverrunPercent is the use, as a percentage of the declared size, above
	// which Overrun applies: 100 to 1000, default 120.
	OverrunPercent int `json:"overrun_percent,omitempty"`
}

// Placement is the part of a profile that chooses workers.
type Placement struct {
	Strategy Strategy `json:"strategy"`
	// LocalOnly forbids forwarding to another failure domain.
	LocalOnly bool `json:"local_only,omitempty"`
	// KeepAccelerators avoids workers with accelerators for tasks without.
	KeepAccelerators bool `json:"keep_accelerators,omitempty"`
}

// Queue is the part of a profile that orders waiting work.
type Queue struct {
	// Priority orders work within a share: 0 (least urgent) to 100.
	Priority int `json:"priority"`
	// Limit bounds the waiting requests of the profile on one entry host: 1
	// to 100,000.
	Limit int `json:"limit"`
	// MaxWaitMS bounds the time in the queue, in milliseconds: 1 to
	// 86,400,000. A request's own deadline also applies.
	MaxWaitMS int `json:"max_wait_ms"`
	// AgeingMS is the waiting time, in milliseconds, that raises the priority
	// by one; 0 turns ageing off.
	AgeingMS int `json:"ageing_ms,omitempty"`
	// GuaranteedPercent is the share of the slots that the profile gets
	// against every priority: 0 to 100. All profiles together have at most 100.
	GuaranteedPercent int `json:"guaranteed_percent,omitempty"`
	// Borrow allows use of idle capacity beyond the guaranteed share.
	Borrow bool `json:"borrow"`
}

// Refusal is the part of a profile that turns work away.
type Refusal struct {
	// Early refuses a request at once when its estimated wait is longer than
	// its deadline.
	Early bool `json:"early"`
	// RetryAfterMS is the least time to come back, in milliseconds.
	RetryAfterMS int `json:"retry_after_ms"`
	// JitterPercent spreads the time to come back: 0 to 100.
	JitterPercent int `json:"jitter_percent"`
}

// ServiceKind tells services, batch work and all-at-once jobs apart.
type ServiceKind string

// Kinds of services.
const (
	ServiceRequest ServiceKind = "request"
	ServiceBatch   ServiceKind = "batch"
	ServiceGang    ServiceKind = "gang"
)

// Service is a named kind of work.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Profile names the policy.
	Profile string `json:"profile"`
	// Resources is the declared size of one task.
	Resources worker.Resources `json:"resources"`
	// RunTimeMS is the declared run time of one task in milliseconds.
	RunTimeMS int `json:"run_time_ms"`
}

// Quota bounds what a team uses over all entry hosts.
type Quota struct {
	// Slots bounds the running tasks: 1 to 1,000,000.
	Slots int `json:"slots"`
	// Weight is the team's weight in sharing slots, within guaranteed shares
	// too, and room in a full queue: 1 to 1000.
	Weight int `json:"weight"`
}
