// Package request keeps a record of each request. It detects duplicate submits,
// replicates a record to the backups before its request is dispatched, and
// resolves requests whose outcome is unknown. docs/design.md, sections 5 and
// 8, defines the rules.
//
// Each request has a record keeper: the entry host that the Membership names
// for its ID. The other live hosts of the failure domain are the backups, which
// store copies of the record. The horizon is the time since which the records
// of this host are complete: it cannot tell whether an older request without a
// record has run.
package request

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/rpc"
)

// Membership reports which host keeps the record of a request in this host's
// failure domain. Its methods are called often, some under a lock: they must
// not block and must not call the Keeper.
//
// While a host joins, Backups of every other host must include it before it
// fetches the first page of records. CheckKeeper of a host that has to rejoin
// must fail until Load has stored its peers' records.
type Membership interface {
	// Keeper returns the name of the record keeper of id according to this
	// host.
	Keeper(id string) string
	// CheckKeeper returns an error unless this host is the record keeper of id
	// and its keeper lease is valid.
	CheckKeeper(id string) error
	// AcceptsKeeper reports whether this host considers from to be the record
	// keeper of id.
	AcceptsKeeper(id, from string) bool
	// Backups returns the names of the other live hosts of the failure domain
	// that must store a record before its request is dispatched.
	Backups() []string
}

// Replicator sends records to a peer.
type Replicator interface {
	// Replicate stores records at peer and returns the indexes of those that
	// the peer refused. If it returns an error, the peer may still have stored
	// them.
	Replicate(ctx context.Context, peer string, records []*rpc.Record) (refused []uint32, err error)
}

// ReserveFunc records the placement of an attempt. It must succeed before
// anything is dispatched; if it returns an error, nothing of that placement may
// be dispatched. It may be called again with another placement of the same
// attempt if nothing of the previous placement was dispatched.
type ReserveFunc = func(ctx context.Context, holder string, members []*rpc.Member) error

// Runner places and runs requests.
type Runner interface {
	// Run queues and places one attempt, calls reserve after the placement,
	// dispatches the attempt and returns its outcome. It must return NotRun
	// only if no member has started and none will; worker.ErrDuplicateTask does
	// not imply that. Run itself drops a request that is still queued at its
	// deadline. Cancelling ctx cancels a request that is still queued.
	Run(ctx context.Context, req *rpc.SubmitRequest, attempt uint32, reserve ReserveFunc) Result
}

// Resolver asks workers and holders for the outcome of a dispatched record.
type Resolver interface {
	// Resolve fences the members of the record's attempt and returns their
	// outcome. NotRun means that no member has started and that each is fenced
	// at every worker that it may have been sent to. Unknown with
	// api.ReasonPending means that the attempt is still running.
	Resolve(ctx context.Context, rec *rpc.Record) Result
}

// Canceller stops dispatched requests.
type Canceller interface {
	// Cancel asks the holder of rec to stop the request. The outcome is
	// returned by Runner.Run.
	Cancel(ctx context.Context, rec *rpc.Record) error
}

// Result is the outcome of an attempt or of a resolution.
type Result struct {
	Outcome api.Outcome
	Reason  api.Reason
	// Detail explains the reason to a person. It is returned to the callers
	// that are waiting and is not stored.
	Detail string
	// RetryAfter is the delay after which a new attempt may succeed; 0 if never
	// or unknown.
	RetryAfter time.Duration
	// Failed is set when the task ran and returned an error. Body then holds
	// the error.
	Failed bool
	Body   []byte
	// Length in bytes and Checksum (CRC-32C) describe the whole body as the
	// task wrote it. A body that does not match them is discarded and the
	// outcome is resolved again.
	Length   uint32
	Checksum uint32
	// Worker is the name of the worker that ran the task.
	Worker string
}

// Errors of a ReserveFunc. None of them allows the placement's dispatch.
var (
	// ErrNotKeeper means that this host has no valid keeper lease for the
	// request, or that another keeper's record has replaced its own.
	ErrNotKeeper = errors.New("this host is not the record keeper of the request")
	// ErrRecordRefused means that a backup considers another host to be the
	// record keeper or stores a newer record.
	ErrRecordRefused = errors.New("a backup refused the record")
	// ErrNotReplicated means that not all backups confirmed the record in time.
	ErrNotReplicated = errors.New("a backup did not confirm the record in time")
	ErrCancelled     = errors.New("the request was cancelled")
	// ErrStaleAttempt means that a later attempt or placement of the request
	// has begun.
	ErrStaleAttempt = errors.New("a later attempt or placement of the request has begun")
)

// Defaults of Options.
const (
	// DefaultMaxClockSkew bounds the difference between a caller's and an entry
	// host's clock (docs/design.md, section 5).
	DefaultMaxClockSkew = 2 * time.Second
	// DefaultMaxHostClockSkew bounds the difference between the clocks of two
	// entry hosts (docs/design.md, section 4).
	DefaultMaxHostClockSkew = 250 * time.Millisecond
	// DefaultRetention is how long a record is kept after its last change.
	DefaultRetention = 15 * time.Minute
	// DefaultMaxRequestAge is the age above which a request without a record is
	// refused. It is shorter than the retention, so that a record cannot expire
	// while its ID would still be accepted as new.
	DefaultMaxRequestAge = 10 * time.Minute
	// DefaultMaxBodyBytes bounds the total size of the stored answers.
	DefaultMaxBodyBytes = 64 << 20
	// DefaultMaxRecords bounds the number of records; at about 400 bytes each
	// they take 200 MB.
	DefaultMaxRecords = 500_000
	// DefaultLeaseWait bounds the wait of an operation for the keeper lease.
	// When a peer dies, the lease is invalid from 600 ms to 1,000 ms after the
	// peer's last reply.
	DefaultLeaseWait = 1500 * time.Millisecond
	// DefaultReplicateTimeout bounds one replication call to a peer. It is
	// shorter than the keeper lease of 600 ms.
	DefaultReplicateTimeout = 500 * time.Millisecond
	// DefaultResolveTimeout bounds one query to the workers about an outcome.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultMaxAttempts bounds the number of attempts that one submit of an
	// idempotent request makes automatically after unknown outcomes.
	DefaultMaxAttempts = 3
)

// Options configures a Keeper. Zero values select the defaults. A limit without
// a comment is described at its default, for example MaxRecords at
// DefaultMaxRecords.
type Options struct {
	// Self is the name of this entry host.
	Self       string
	Membership Membership
	Replicator Replicator
	Runner     Runner
	Resolver   Resolver
	// Canceller may be nil; dispatched requests then run to completion.
	Canceller Canceller
	// Now returns the wall-clock time. Default time.Now.
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
	// RetryRatio and RetryBurst set the retry budget for attempts after unknown
	// outcomes; see api.RetryBudget.
	RetryRatio float64
	RetryBurst int
	Logger     logr.Logger
}

func (o *Options) setDefaultsAndValidate() error {
	if o.Self == "" || o.Membership == nil || o.Replicator == nil || o.Runner == nil || o.Resolver == nil {
		return errors.New("request: Self, Membership, Replicator, Runner and Resolver must be set")
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
		return errors.Errorf("request: maximum request age %s plus clock skew %s exceeds the retention %s: "+
			"a request could run again after its record has expired", o.MaxRequestAge, o.MaxClockSkew, o.Retention)
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

// States of a record (docs/design.md, section 8).
const (
	// StateQueued records exist at the keeper only and are not replicated.
	StateQueued State = iota + 1
	// StateReserved records are being replicated to the backups.
	StateReserved
	// StateDispatched records are confirmed by all backups: a worker may have
	// started the task.
	StateDispatched
	StateAnswered
	// StateNotRun covers cancelled requests too; their reason is
	// api.ReasonCancelled.
	StateNotRun
	StateUnknown
)

var stateNames = [...]string{"", "queued", "reserved", "dispatched", "answered", "not_run", "unknown"}

// String returns the name that replies carry.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return ""
}

// open reports whether the keeper has not stored an outcome yet.
func (s State) open() bool { return s == StateQueued || s == StateReserved || s == StateDispatched }

// StateAbsent is the state name in the reply to Resolve for an ID without a
// record.
const StateAbsent = "absent"
