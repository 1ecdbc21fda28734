// Command standin plays one case of the review: it is the platform, the runners and the
// consumers of a small deployment, and starts the project's entry hosts as separate
// processes. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// scenario is one case. It returns an error if it could not run; the breaches are those
// that the stand-ins have noted.
type scenario func(c *play) error

// play is what a case has at hand.
type play struct {
	*standIns
	binary  string
	trouble bool
	hosts   *entryHosts
}

// begin starts the entry hosts after the case has set up the platform.
func (c *play) begin() (err error) {
	c.hosts, err = startHosts(c.standIns, c.binary, 6)
	return err
}

var scenarios = map[string]scenario{
	"late-start-then-busy": lateStartThenBusy,
	"hopeless-gang":        hopelessGang,
	"cut-runner":           cutRunner,
	"other-kind":           otherKind,
	"large-job":            largeJob,
	"quick-restart":        quickRestart,
	"scheduler-lost":       schedulerAndRunnersLost,
}

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
	// maxPlay is how long a case may take.
	maxPlay = 115 * time.Second
)

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ENTRY-HOST-BINARY RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(s scenario, binary, recordFile string) int {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	cell, err := newStandIns(rec)
	if err != nil {
		rec.say("cannot run: %v", err)
		return exitNotRun
	}
	c := &play{standIns: cell, binary: binary, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("trouble: %v", c.trouble)
	done := make(chan error, 1)
	go func() { done <- s(c) }()
	select {
	case err = <-done:
	case <-time.After(maxPlay):
		err = fmt.Errorf("the case takes longer than %s", maxPlay)
	}
	if c.hosts != nil {
		c.hosts.stop()
	}
	switch {
	case cell.breachCount() > 0:
		rec.say("rule broken %d times; first: %s", cell.breachCount(), cell.breaches[0])
		return exitBroken
	case err != nil:
		rec.say("cannot run: %v", err)
		return exitNotRun
	}
	rec.say("rule held")
	return exitHeld
}
