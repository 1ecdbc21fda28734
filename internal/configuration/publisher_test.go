package configuration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/platform"
)

// Guards against a publish that is reported as something else than it became:
// the log's faults before, during and after the append.
func TestPublishUnderFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault  func(n *node)
		status Status
		// records is the number of log records with the publish ID.
		records int
		// after is the status of the repetition once the fault is over.
		after Status
	}{
		"none":                        {func(n *node) {}, StatusAccepted, 1, StatusAccepted},
		"outage":                      {func(n *node) { n.log.readDown, n.log.appendDown = true, true }, StatusUnavailable, 0, StatusAccepted},
		"appends refused":             {func(n *node) { n.log.appendDown = true }, StatusUnavailable, 0, StatusAccepted},
		"slow":                        {func(n *node) { n.log.delay = 1500 * time.Millisecond }, StatusAccepted, 1, StatusAccepted},
		"hanging":                     {func(n *node) { n.log.delay = time.Minute }, StatusUnavailable, 0, StatusAccepted},
		"reply lost after the effect": {func(n *node) { n.log.appendErrs = []error{platform.ErrNoReply} }, StatusAccepted, 1, StatusAccepted},
		"reply lost without effect": {func(n *node) {
			n.log.lost, n.log.appendErrs = true, []error{platform.ErrNoReply}
		}, StatusAccepted, 1, StatusAccepted},
		"reply lost, then outage": {func(n *node) {
			n.log.appendErrs = []error{platform.ErrNoReply}
			n.log.afterAppend = func() { n.log.readDown, n.log.appendDown = true, true }
		}, StatusUnknown, 1, StatusAccepted},
		"reads fail after the append": {func(n *node) {
			n.log.afterAppend = func() { n.log.readDown = true }
		}, StatusUnknown, 1, StatusAccepted},
		"another operator is faster": {func(n *node) {
			other := n.cell.quota("team", 0, 9)
			data, _ := other.Encode()
			n.cell.log.append(data)
		}, StatusLostRace, 0, StatusLostRace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t, 1)
				defer func() { c.stop(c.nodes...) }()
				n := c.nodes[0]
				c.start(n)
				c.run(time.Second)
				r := c.quota("team", 0, 5)
				c.do(func() { tc.fault(n) })
				first, _ := n.pub.Publish(context.Background(), r)
				require.Equal(t, tc.status, first.Status, "%+v", first)
				count := 0
				for _, rec := range c.log.all {
					if env, err := contract.Decode(rec.Data); err == nil && env.Publish.PublishID == r.PublishID {
						count++
					}
				}
				require.Equal(t, tc.records, count)
				// While the log is down, both results stay as they are.
				c.do(func() {
					n.log.appendErrs, n.log.lost, n.log.afterAppend = nil, false, nil
					n.log.appendDown, n.log.readDown = true, true
				})
				if tc.status == StatusUnknown || tc.status == StatusAccepted {
					again, _ := n.pub.Publish(context.Background(), r)
					require.Equal(t, tc.status, again.Status)
				}
				c.do(func() { n.log.readDown, n.log.appendDown, n.log.delay = false, false, 0 })
				again, err := n.pub.Publish(context.Background(), r)
				require.NoError(t, err)
				require.Equal(t, tc.after, again.Status)
				if tc.status == StatusAccepted {
					require.Equal(t, first, again)
				}
				if again.Status == StatusLostRace {
					require.Equal(t, uint64(1), again.WinnerOffset)
					require.Equal(t, "author-2", again.WinnerAuthor)
				} else {
					require.Equal(t, again.Offset, n.reader.inForce.Load().Version(contract.KindQuota, "team"))
				}
			})
		})
	}
}

// Guards against two winners on one base, and against a loser that isn't told
// the winner, whichever record is first.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer func() { c.stop(c.nodes...) }()
		c.start(c.nodes...)
		c.run(time.Second)
		records := []contract.Record{c.quota("team", 0, 1), c.quota("team", 0, 2)}
		results := make([]Result, 2)
		for i, n := range c.nodes {
			c.do(func() { n.log.delay = 10 * time.Millisecond })
			go func() { results[i], _ = n.pub.Publish(context.Background(), records[i]) }()
		}
		c.run(time.Second)
		require.Len(t, c.log.all, 2, "both records have to reach the log for a race")
		won, lost := 0, 1
		if results[1].Status == StatusAccepted {
			won, lost = 1, 0
		}
		require.Equal(t, StatusAccepted, results[won].Status)
		require.Equal(t, Result{Status: StatusLostRace, PublishID: records[lost].PublishID, Offset: 2,
			WinnerOffset: 1, WinnerAuthor: records[won].Author}, results[lost])
		c.requireEqual(c.fold(), c.nodes...)
	})
}

// Guards against an invalid record in the log, a publish on a guess, and a
// publish ID that covers two different records.
func TestPublishRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer func() { c.stop(c.nodes...) }()
		n := c.nodes[0]
		c.put(3)
		c.log.drop(1)
		c.start(n)
		c.run(time.Second)
		res, err := n.pub.Publish(context.Background(), c.quota("team", 0, 1))
		require.NoError(t, err)
		require.Equal(t, StatusUnavailable, res.Status)
		require.ErrorIs(t, res.Cause, ErrGap)

		c.do(func() { c.log.first = 1 })
		bad := c.quota("team", 0, 0)
		res, _ = n.pub.Publish(context.Background(), bad)
		require.Equal(t, StatusInvalid, res.Status)
		require.Equal(t, "slots", res.Fields[0].Path)
		require.Len(t, c.log.all, 3)

		good := c.quota("team", 0, 5)
		good.PublishID = ""
		res, _ = n.pub.Publish(context.Background(), good)
		require.Equal(t, StatusAccepted, res.Status)
		good.PublishID, good.BasedOn = res.PublishID, res.Offset
		res, _ = n.pub.Publish(context.Background(), good)
		require.Equal(t, StatusInvalid, res.Status)
		require.Equal(t, "publish_id", res.Fields[0].Path)
	})
}
