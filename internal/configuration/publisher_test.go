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

// TestPublishUnderFaults guards against a publish that is reported with another
// result than it has, when the log fails before, during or after the append.
func TestPublishUnderFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault  func(n *node)
		status Status
		// records is the number of log records with the publish ID.
		records int
		// after is the status of a repetition once the fault has ended.
		after Status
	}{
		"none":                        {func(n *node) {}, StatusAccepted, 1, StatusAccepted},
		"outage":                      {func(n *node) { n.log.readDown, n.log.appendDown = true, true }, StatusUnavailable, 0, StatusAccepted},
		"appends refused":             {func(n *node) { n.log.appendDown = true }, StatusUnavailable, 0, StatusAccepted},
		"slow":                        {func(n *node) { n.log.delay = 1500 * time.Millisecond }, StatusAccepted, 1, StatusAccepted},
		"hanging":                     {func(n *node) { n.log.delay = time.Minute }, StatusUnavailable, 0, StatusAccepted},
		"reply lost after the effect": {func(n *node) { n.log.appendErrs = []error{platform.ErrNoReply} }, StatusAccepted, 1, StatusAccepted},
		"reply lost without effect": {func(n *node) {
			n.log.loseAppends, n.log.appendErrs = true, []error{platform.ErrNoReply}
		}, StatusAccepted, 1, StatusAccepted},
		"reply lost, then outage": {func(n *node) {
			n.log.appendErrs = []error{platform.ErrNoReply}
			n.log.afterAppend = func() { n.log.readDown, n.log.appendDown = true, true }
		}, StatusUnknown, 1, StatusAccepted},
		"reads fail after the append": {func(n *node) {
			n.log.afterAppend = func() { n.log.readDown = true }
		}, StatusUnknown, 1, StatusAccepted},
		"another operator is faster": {func(n *node) {
			other := n.cluster.quotaRecord("team", 0, 9)
			data, _ := other.Encode()
			n.cluster.log.append(data)
		}, StatusLostRace, 0, StatusLostRace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				defer func() { c.stop(c.nodes...) }()
				n := c.nodes[0]
				c.start(n)
				c.runWithHeartbeats(time.Second)
				r := c.quotaRecord("team", 0, 5)
				c.withLock(func() { tc.fault(n) })
				first, _ := n.pub.Publish(context.Background(), r)
				require.Equal(t, tc.status, first.Status, "%+v", first)
				count := 0
				for _, rec := range c.log.records {
					if env, err := contract.Decode(rec.Data); err == nil && env.Publish.PublishID == r.PublishID {
						count++
					}
				}
				require.Equal(t, tc.records, count)
				// While the log is unavailable, accepted and unknown results don't change.
				c.withLock(func() {
					n.log.appendErrs, n.log.loseAppends, n.log.afterAppend = nil, false, nil
					n.log.appendDown, n.log.readDown = true, true
				})
				if tc.status == StatusUnknown || tc.status == StatusAccepted {
					again, _ := n.pub.Publish(context.Background(), r)
					require.Equal(t, tc.status, again.Status)
				}
				c.withLock(func() { n.log.readDown, n.log.appendDown, n.log.delay = false, false, 0 })
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
					require.Equal(t, again.Offset, n.reader.active.Load().Version(contract.KindQuota, "team"))
				}
			})
		})
	}
}

// TestRacingOperators guards against two accepted records that are based on the
// same version, and against a lost race that is reported without the winner,
// whichever record comes first in the log.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer func() { c.stop(c.nodes...) }()
		c.start(c.nodes...)
		c.runWithHeartbeats(time.Second)
		records := []contract.Record{c.quotaRecord("team", 0, 1), c.quotaRecord("team", 0, 2)}
		results := make([]Result, 2)
		for i, n := range c.nodes {
			c.withLock(func() { n.log.delay = 10 * time.Millisecond })
			go func() { results[i], _ = n.pub.Publish(context.Background(), records[i]) }()
		}
		c.runWithHeartbeats(time.Second)
		require.Len(t, c.log.records, 2, "both records must be in the log for a race")
		won, lost := 0, 1
		if results[1].Status == StatusAccepted {
			won, lost = 1, 0
		}
		require.Equal(t, StatusAccepted, results[won].Status)
		require.Equal(t, Result{Status: StatusLostRace, PublishID: records[lost].PublishID, Offset: 2,
			WinnerOffset: 1, WinnerAuthor: records[won].Author}, results[lost])
		c.requireState(c.replay(), c.nodes...)
	})
}

// TestPublishRefusals guards against an invalid record that is appended to the
// log, a publish by a host that isn't up to date, and one publish ID that is
// used for two different records.
func TestPublishRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer func() { c.stop(c.nodes...) }()
		n := c.nodes[0]
		c.appendQuotas(3)
		c.log.drop(1)
		c.start(n)
		c.runWithHeartbeats(time.Second)
		res, err := n.pub.Publish(context.Background(), c.quotaRecord("team", 0, 1))
		require.NoError(t, err)
		require.Equal(t, StatusUnavailable, res.Status)
		require.ErrorIs(t, res.Cause, ErrGap)

		c.withLock(func() { c.log.firstKept = 1 })
		bad := c.quotaRecord("team", 0, 0)
		res, _ = n.pub.Publish(context.Background(), bad)
		require.Equal(t, StatusInvalid, res.Status)
		require.Equal(t, "slots", res.Fields[0].Path)
		require.Len(t, c.log.records, 3)

		good := c.quotaRecord("team", 0, 5)
		good.PublishID = ""
		res, _ = n.pub.Publish(context.Background(), good)
		require.Equal(t, StatusAccepted, res.Status)
		good.PublishID, good.BasedOn = res.PublishID, res.Offset
		res, _ = n.pub.Publish(context.Background(), good)
		require.Equal(t, StatusInvalid, res.Status)
		require.Equal(t, "publish_id", res.Fields[0].Path)
	})
}
