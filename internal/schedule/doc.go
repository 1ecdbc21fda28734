// Package schedule places work on the workers that one entry host holds: the
// ledger of what each worker carries, the queue with its shares and quotas,
// placement, all-at-once (gang) reservations, learned sizes and the handling
// of workers that fail.
//
// A Scheduler starts no goroutine and no timer of its own. The entry host
// calls Tick about every 100 ms.
//
// # Queue
//
// Queued jobs of one profile and size form a lane, and the jobs of one team in
// a lane form a share, in order of arrival. A lane for which no worker has
// room is closed until capacity is freed that fits it, so that the cost of a
// placement does not depend on the length of the queue. Of the open lanes, one
// whose profile is below its guaranteed share comes first; within it the team
// with the fewest slots under that profile, by weight. Then comes the team
// with the least weighted dominant share, and then the priority raised by the
// waiting time.
//
// # Guaranteed shares
//
// Slots that are guaranteed and idle are lent only to work whose learned run
// time is below 1.8 s. All other work leaves free, in the cell and on the
// workers with and without accelerators, the slots and the same part of the
// processors and memory that are guaranteed to others and not in use. The
// price is a longer wait for long work when guarantees are larger than needed.
//
// # Gang jobs
//
// A gang job that does not fit waits in a queue of its own. The oldest one
// that its quota and shares allow holds the only reservation: a set of workers
// on which other work must fit beside it or be expected to end before it.
//
// # Failures
//
// A failure speaks against a worker only if the same work of the same team
// does well on most other workers. A worker that fails far more than the
// fleet's median is set aside and probed with one task at a time.
package schedule
