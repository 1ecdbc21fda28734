// Package contract defines the configuration that operators publish (profiles,
// services and quotas), validates it, and applies published log records to it.
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

// Strategy selects how the workers on which a task fits are ranked.
type Strategy string

const (
	// Pack prefers the fullest worker on which the task fits, which keeps free
	// capacity for large tasks on the others.
	Pack Strategy = "pack"
	// SpreadRacks prefers racks with the fewest tasks of the service.
	SpreadRacks Strategy = "spread_racks"
	// SpreadFailureDomains prefers failure domains with the fewest tasks of
	// the service.
	SpreadFailureDomains Strategy = "spread_failure_domains"
	// LeastLoaded prefers the worker with the lowest load, which gives the
	// shortest run time.
	LeastLoaded Strategy = "least_loaded"
)

// OverrunAction is an action against a task that uses more than its declared
// size.
type OverrunAction string

// Actions against a task that uses more than its declared size.
const (
	OverrunThrottle   OverrunAction = "throttle"
	OverrunCheckpoint OverrunAction = "checkpoint"
	OverrunStop       OverrunAction = "stop"
)

// Profile is a named policy that controls how requests are placed, queued and
// refused.
type Profile struct {
	Placement Placement `json:"placement"`
	Queue     Queue     `json:"queue"`
	Refusal   Refusal   `json:"refusal"`
	// Overrun lists the actions in the order in which they are tried.
	Overrun []OverrunAction `json:"overrun,omitempty"`
	// OverrunPercent is the resource usage, as a percentage of the declared
	// size, above which the Overrun actions apply: 100 to 1000, default 120.
	OverrunPercent int `json:"overrun_percent,omitempty"`
}

// Placement holds a profile's settings for choosing workers.
type Placement struct {
	Strategy Strategy `json:"strategy"`
	// LocalOnly forbids forwarding to another failure domain.
	LocalOnly bool `json:"local_only,omitempty"`
	// KeepAccelerators avoids placing tasks that need no accelerators on
	// workers that have some.
	KeepAccelerators bool `json:"keep_accelerators,omitempty"`
}

// Queue holds a profile's settings for queued requests.
type Queue struct {
	// Priority orders requests within the same share of the slots: 0 (least
	// urgent) to 100.
	Priority int `json:"priority"`
	// Limit bounds the queued requests of the profile on one entry host: 1 to
	// 100,000.
	Limit int `json:"limit"`
	// MaxWaitMS bounds the time in the queue, in milliseconds: 1 to 86,400,000.
	// A request's own deadline also applies.
	MaxWaitMS int `json:"max_wait_ms"`
	// AgeingMS is the time in the queue, in milliseconds, after which the
	// priority rises by one; 0 turns ageing off.
	AgeingMS int `json:"ageing_ms,omitempty"`
	// GuaranteedPercent is the share of the slots that the profile gets
	// regardless of the priority of others: 0 to 100. The sum over all profiles
	// is at most 100.
	GuaranteedPercent int `json:"guaranteed_percent,omitempty"`
	// Borrow allows the use of idle capacity beyond the guaranteed share.
	Borrow bool `json:"borrow"`
}

// Refusal holds a profile's settings for refusing requests.
type Refusal struct {
	// Early refuses a request immediately if its estimated wait is longer than
	// its deadline.
	Early bool `json:"early"`
	// RetryAfterMS is the minimum delay after which a refused caller should
	// retry, in milliseconds.
	RetryAfterMS int `json:"retry_after_ms"`
	// JitterPercent is the maximum random addition to the retry delay, as a
	// percentage of it: 0 to 100.
	JitterPercent int `json:"jitter_percent"`
}

// ServiceKind distinguishes request services, batch work and gangs, whose tasks
// all start together.
type ServiceKind string

// Kinds of services.
const (
	ServiceRequest ServiceKind = "request"
	ServiceBatch   ServiceKind = "batch"
	ServiceGang    ServiceKind = "gang"
)

// Service describes a named kind of task.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// Profile is the name of the profile that applies to the service.
	Profile string `json:"profile"`
	// Resources is the declared size of one task.
	Resources worker.Resources `json:"resources"`
	// RunTimeMS is the declared run time of one task in milliseconds.
	RunTimeMS int `json:"run_time_ms"`
}

// Quota limits what a team uses across all entry hosts.
type Quota struct {
	// Slots bounds the number of running tasks: 1 to 1,000,000.
	Slots int `json:"slots"`
	// Weight is the team's weight when slots, including those of guaranteed
	// shares, and space in a full queue are divided among teams: 1 to 1000.
	Weight int `json:"weight"`
}
