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
	if err := askAll(g, client, "workers", func(one *operator.Client) error {
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

// mergeWorker joins two hosts' views: that of the holder with the newer epoch
// counts for the lease and the tasks, and a worker that one host saw leaving is
// leaving.
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
			number(s.Epoch), fmt.Sprint(s.Tasks)})
	}
	writeTable(w, "NAME FAILURE_DOMAIN RACK HOLDER HELD LEAVING EPOCH TASKS", rows)
}

// askAll asks each address and says which did not answer. It returns an error
// only if none did.
func askAll(g *globals, client *operator.Client, what string, ask func(*operator.Client) error) error {
	var first error
	answered := 0
	err := g.during("asking for the "+what, func() error {
		for _, address := range client.Addresses() {
			if err := ask(client.At(address)); err != nil {
				first = cmp.Or(first, err)
				g.progress("no answer: %v", cause(err))
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

// cause returns what went wrong at the only address of a client.
func cause(err error) error {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) && len(unreachable.Causes) == 1 {
		return unreachable.Causes[0]
	}
	return err
}
