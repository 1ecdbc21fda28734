// Package request keeps the records of requests: it removes duplicates,
// replicates a record before its request is dispatched and finds out what
// became of requests whose outcome is not known. Sections 5 and 8 of the
// design page give the rules.
package request

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Membership tells who keeps the record of a request in the own failure
// domain. Its methods are called often, some under a lock: they must not block
// and must not call the Keeper.
//
// A joining host must be in Backups of every other host before it fetches the
// first page of records, and CheckKeeper of a host that has to rejoin must
// fail until Load has stored its peers' records.
type Membership interface {
	// Keeper returns the name of the record keeper of id in the own view.
	Keeper(id string) string
	// CheckKeeper returns an error unless this host is the keeper of id and its
	// keeper lease is valid.
	CheckKeeper(id string) error
	// AcceptsKeeper reports whether from is the keeper of id in the own view.
	AcceptsKeeper(id, from string) bool
	// Backups returns the names of the other live hosts of the failure domain
	// that must store a record before its request is dispatched.
	Backups() []string
}

// Replicator sends records to a peer.
type Replicator interface {
	// Replicate stores records at peer and returns the indexes of those that
	// the peer refused. After an error the peer may have stored them.
	Replicate(ctx context.Context, peer string, records []*rpc.Record) (refused []uint32, err error)
}

// ReserveFunc records a placement and must succeed before anything is
// dispatched. After an error of it nothing of that placement may be
// dispatched. It may be called again for another placement of the same attempt
// if nothing of the former was dispatched.
type ReserveFunc = func(ctx context.Context, holder string, members []*rpc.Member) error

// Runner places and runs requests.
type Runner interface {
	// Run queues and places one attempt, calls reserve after the placement,
	// dispatches it and returns its outcome. NotRun must mean that no member
	// has begun and none will; worker.ErrDuplicateTask does not mean that. Run itself drops a request that waits past its
	// deadline. The end of ctx cancels a request that is still queued.
	Run(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve ReserveFunc) Result
}

// Resolver asks workers and holders what became of a dispatched record.
type Resolver interface {
	// Resolve asks with a fence. NotRun means that no member of the record's
	// attempt has begun and that each is fenced at every worker that it may
	// have been sent to. Unknown with api.ReasonPending means that it runs.
	Resolve(ctx context.Context, rec *rpc.Record) Result
}

// Canceller stops dispatched requests.
type Canceller interface {
	// Cancel asks the holder of rec to stop it. The outcome comes from Run.
	Cancel(ctx context.Context, rec *rpc.Record) error
}

// Result is the outcome of an attempt or of a resolution.
type Result struct {
	Outcome api.Outcome
	Reason  api.Reason
	// Detail explains the reason to a person. It goes to the callers that wait
	// and is not kept.
	Detail string
	// RetryAfter is when a new attempt may succeed; 0 if never or not known.
	RetryAfter time.Duration
	// Failed is set when the task ran and returned an error, which Body holds.
	Failed bool
	Body   []byte
	// Length in bytes and Checksum (CRC-32C) describe the whole body as the
	// task wrote it. A body that does not match them is dropped and the outcome
	// is asked for again.
	Length   uint32
	Checksum uint32
	// Worker names the worker that ran it.
	Worker string
}

// Errors of a ReserveFunc. None of them allows the placement's dispatch.
var (
	// ErrNotKeeper means that this host has no valid keeper lease for the
	// request, or had to give the record up to another keeper.
	ErrNotKeeper = errors.New("this host is not the record keeper of the request")
	// ErrRecordRefused means that a backup takes another host for the keeper.
	ErrRecordRefused = errors.New("a backup refused the record")
	// ErrNotReplicated means that a backup did not confirm the record in time.
	ErrNotReplicated = errors.New("a backup did not confirm the record in time")
	// ErrCancelled means that the request was cancelled.
	ErrCancelled = errors.New("the request was cancelled")
	// ErrStaleAttempt means that a later attempt or placement has begun.
	ErrStaleAttempt = errors.New("a later attempt or placement of the request has begun")
)

// Defaults of Options.
const (
	// DefaultMaxClockSkew bounds the difference between callers' and entry
	// hosts' clocks (design page, section 5).
	DefaultMaxClockSkew = 2 * time.Second
	// DefaultMaxHostClockSkew bounds the difference between the clocks of two
	// entry hosts (design page, section 4).
	DefaultMaxHostClockSkew = 250 * time.Millisecond
	// DefaultRetention is how long a record is kept after its last change.
	DefaultRetention = 15 * time.Minute
	// DefaultMaxRequestAge is the age from which a request without a record is
	// refused. It is below the retention, so that a record cannot expire while
	// its ID is still accepted as new.
	DefaultMaxRequestAge = 10 * time.Minute
	// DefaultMaxBodyBytes bounds the kept answers.
	DefaultMaxBodyBytes = 64 << 20
	// DefaultMaxRecords bounds the records: at about 400 bytes each, 200 MB.
	DefaultMaxRecords = 500_000
	// DefaultLeaseWait is how long an operation waits for the keeper lease.
	// When a peer dies, the lease is invalid from 600 ms to 1,000 ms after the
	// peer's last reply.
	DefaultLeaseWait = 1500 * time.Millisecond
	// DefaultReplicateTimeout bounds one message to a peer. It is below the
	// 600 ms of the keeper lease.
	DefaultReplicateTimeout = 500 * time.Millisecond
	// DefaultResolveTimeout bounds one question to the workers.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultMaxAttempts bounds the automatic attempts of an idempotent
	// request after unknown outcomes.
	DefaultMaxAttempts = 3
)

// Options configures a Keeper. Zero values take the defaults.
type Options struct {
	// Self is the name of this entry host.
	Self       string
	Membership Membership
	Replicator Replicator
	Runner     Runner
	Resolver   Resolver
	// Canceller may be nil: dispatched requests then run to their end.
	Canceller Canceller
	// Now returns the wall-clock time.
	Now              func() time.Time
	MaxClockSkew     time.Duration
	MaxHostClockSkew time.Duration
	Retention        time.Duration
	MaxRequestAge    time.Duration
	MaxBodyBytes     int64
	MaxRecords       int
	LeaseWait        time.Duration
	ReplicateTimeout time.Duration
	ResolveTimeout   time.Duration
	MaxAttempts      int
	// RetryRatio and RetryBurst set the budget of attempts after an unknown
	// outcome; see api.RetryBudget.
	RetryRatio float64
	RetryBurst int
	Logger     logr.Logger
}

func (o *Options) setDefaults() error {
	if o.Self == "" || o.Membership == nil || o.Replicator == nil || o.Runner == nil || o.Resolver == nil {
		return errors.New("request: Self, Membership, Replicator, Runner and Resolver are required")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.MaxClockSkew, DefaultMaxClockSkew)
	setDefault(&o.MaxHostClockSkew, DefaultMaxHostClockSkew)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.MaxRequestAge, DefaultMaxRequestAge)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxRecords, DefaultMaxRecords)
	setDefault(&o.LeaseWait, DefaultLeaseWait)
	setDefault(&o.ReplicateTimeout, DefaultReplicateTimeout)
	setDefault(&o.ResolveTimeout, DefaultResolveTimeout)
	setDefault(&o.MaxAttempts, DefaultMaxAttempts)
	if o.MaxRequestAge+o.MaxClockSkew > o.Retention {
		return errors.Errorf("request: maximum age %s plus clock error %s exceeds the retention %s, "+
			"so that a request could run again after its record expired", o.MaxRequestAge, o.MaxClockSkew, o.Retention)
	}
	return nil
}

func setDefault[T int | int64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// State is the state of a record.
type State uint32

// States of a record (design page, section 8).
const (
	// StateQueued is known to the keeper only and is not replicated.
	StateQueued State = iota + 1
	// StateReserved is being replicated.
	StateReserved
	// StateDispatched is confirmed by all backups: a worker may have begun.
	StateDispatched
	StateAnswered
	// StateNotRun includes cancelled requests, by their reason.
	StateNotRun
	StateUnknown
)

var stateNames = [...]string{"", "queued", "reserved", "dispatched", "answered", "not_run", "unknown"}

// String returns the name used in replies.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return ""
}

func (s State) open() bool { return s == StateQueued || s == StateReserved || s == StateDispatched }

// StateAbsent is the state in the reply to Resolve for an ID without a record.
const StateAbsent = "absent"
