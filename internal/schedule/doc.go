// Package schedule assigns jobs to the workers that one entry host holds. It
// consists of the ledger, the queue with guaranteed shares and quotas,
// placement, reservations for gang (all-at-once) jobs, task sizes and run times
// estimated from past tasks, and the quarantine of workers that fail tasks.
//
// The ledger is the record of the capacity of each held worker and of the
// allocations on it: one for each running task and for each member of a job that
// is placed but not yet started. Each job belongs to a service, and each service
// to a profile, the policy by which its jobs are queued, placed and refused.
//
// A Scheduler starts no goroutine, and only calls of Place use a timer. The
// entry host calls Tick about every 100 ms.
//
// # Queue
//
// Queued jobs with the same profile and task size form a lane, separately for
// long work (see Guaranteed shares) and for short work. Within a lane the jobs of
// each team form a queue in order of arrival. A lane for which no worker has room
// is closed until enough capacity for its task size is freed, so the cost of a
// placement does not depend on the length of the queue.
//
// Among the open lanes, those whose profile is below its guaranteed share come
// first; within such a profile the team with the fewest running slots relative
// to its weight is next. After that the order is by weighted dominant share of
// the team, and then by priority including ageing.
//
// # Guaranteed shares
//
// Slots that are guaranteed to a profile and idle are lent only to work whose
// estimated run time is below 1.8 s. All other work is long work, also if there
// is no estimate. Beyond the guaranteed share of its own profile it must leave
// free the guaranteed slots that others do not use, and the same fraction of
// processors and memory, both on all held workers and separately on those with
// and without accelerators. The cost is a longer wait for long work when
// guarantees are larger than needed.
//
// # Gang jobs
//
// A gang job that does not fit waits in a separate queue. The oldest one that
// its quota and the guaranteed shares allow holds the only reservation: a set of
// workers on which other work is placed only if it fits beside the gang job or
// is expected to end before the gang job starts. If no gang job holds it, a job
// so large that no worker can run more than two of its size may get it after 0.5 s
// in the queue, so that smaller jobs cannot keep it from starting.
//
// This reservation is for a job that still waits. The reservations of a Placement
// are capacity that is allocated already, for tasks that may not have started.
//
// # Failures
//
// A task failure is blamed on a worker if tasks of the same service and team do
// well on most other workers, or if none failed on another worker and the worker
// has failed eight tasks without a success in between. A worker with several
// blamed failures without a success in between, or with a failure rate far above
// the median of all workers, is quarantined and probed with one task at a time.
package schedule
