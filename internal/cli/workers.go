package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/operator"
)

type workersCmd struct {
	operatorFlags
	FailureDomain string `help:"Only workers of this failure domain."`
	Leaving       bool   `help:"Only workers that are leaving."`
}

// Help implements kong's extended help.
func (workersCmd) Help() string {
	return `Lists the workers with the entry host that should hold each, its lease and its
tasks. Each entry host knows only its own leases: give the operators' addresses
of all entry hosts to see all. HELD is "no" for a worker that none of the asked
hosts holds.

Example:

  laburnumpass workers --failure-domain fd-a`
}

// Run implements the command.
func (c *workersCmd) Run(g *globals) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	merged := make(map[string]operator.WorkerStatus)
	if err := queryAll(g, client, "workers", func(one *operator.Client) error {
		workers, err := one.Workers(g.ctx)
		for _, w := range workers {
			if known, ok := merged[w.Name]; ok {
				w = mergeWorker(known, w)
			}
			merged[w.Name] = w
		}
		return err
	}); err != nil {
		return err
	}
	var workers []operator.WorkerStatus
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		w := merged[name]
		if (c.FailureDomain == "" || c.FailureDomain == w.FailureDomain) && (!c.Leaving || w.Leaving) {
			workers = append(workers, w)
		}
	}
	return g.print(nonNil(workers), func(w io.Writer) { workersTable(w, workers) })
}

// mergeWorker merges two hosts' reports about a worker. The lease and the tasks
// come from the report of the host that holds the worker, and of the one with
// the newer epoch if both do. The worker is leaving if either report says so.
func mergeWorker(a, b operator.WorkerStatus) operator.WorkerStatus {
	leaving := a.Leaving || b.Leaving
	if !a.Held || b.Held && b.Epoch > a.Epoch {
		a, b = b, a
	}
	if !a.Held {
		a.Holder = cmp.Or(a.Holder, b.Holder)
	}
	a.Leaving = leaving
	return a
}

func workersTable(w io.Writer, workers []operator.WorkerStatus) {
	var rows [][]string
	for _, s := range workers {
		rows = append(rows, []string{s.Name, s.FailureDomain, s.Rack, s.Holder, yesNo(s.Held), yesNo(s.Leaving),
			formatNonZero(s.Epoch), fmt.Sprint(s.Tasks)})
	}
	writeTable(w, "NAME FAILURE_DOMAIN RACK HOLDER HELD LEAVING EPOCH TASKS", rows)
}

// queryAll runs query for each of the client's addresses and prints to stderr
// which did not reply. It returns an error only if none did.
func queryAll(g *globals, client *operator.Client, what string, query func(*operator.Client) error) error {
	var first error
	answered := 0
	err := g.withProgress("requesting the list of "+what, func() error {
		for _, address := range client.Addresses() {
			if err := query(client.At(address)); err != nil {
				first = cmp.Or(first, err)
				g.progress("no answer: %v", soleCause(err))
				continue
			}
			answered++
		}
		return nil
	})
	if err != nil || answered > 0 {
		return err
	}
	return first
}

// soleCause returns the cause inside an UnreachableError that has exactly one,
// as that of a client with one address does. It returns other errors unchanged.
func soleCause(err error) error {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) && len(unreachable.Causes) == 1 {
		return unreachable.Causes[0]
	}
	return err
}
