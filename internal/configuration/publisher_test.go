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
		fault  func(h *host)
		status Status
		// records is the number of log records with the publish ID.
		records int
		// after is the status of a repetition once the fault has ended.
		after Status
	}{
		"none":                        {func(h *host) {}, StatusAccepted, 1, StatusAccepted},
		"outage":                      {func(h *host) { h.log.readDown, h.log.appendDown = true, true }, StatusUnavailable, 0, StatusAccepted},
		"appends refused":             {func(h *host) { h.log.appendDown = true }, StatusUnavailable, 0, StatusAccepted},
		"slow":                        {func(h *host) { h.log.delay = 1500 * time.Millisecond }, StatusAccepted, 1, StatusAccepted},
		"hanging":                     {func(h *host) { h.log.delay = time.Minute }, StatusUnavailable, 0, StatusAccepted},
		"reply lost after the effect": {func(h *host) { h.log.appendErrs = []error{platform.ErrNoReply} }, StatusAccepted, 1, StatusAccepted},
		"reply lost without effect": {func(h *host) {
			h.log.loseAppends, h.log.appendErrs = true, []error{platform.ErrNoReply}
		}, StatusAccepted, 1, StatusAccepted},
		"reply lost, then outage": {func(h *host) {
			h.log.appendErrs = []error{platform.ErrNoReply}
			h.log.afterAppend = func() { h.log.readDown, h.log.appendDown = true, true }
		}, StatusUnknown, 1, StatusAccepted},
		"reads fail after the append": {func(h *host) {
			h.log.afterAppend = func() { h.log.readDown = true }
		}, StatusUnknown, 1, StatusAccepted},
		"another operator is faster": {func(h *host) {
			other := h.cluster.quotaRecord("team", 0, 9)
			data, _ := other.Encode()
			h.cluster.log.append(data)
		}, StatusLostRace, 0, StatusLostRace},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				defer func() { c.stop(c.hosts...) }()
				h := c.hosts[0]
				c.start(h)
				c.runWithHeartbeats(time.Second)
				r := c.quotaRecord("team", 0, 5)
				c.withLock(func() { tc.fault(h) })
				first, _ := h.pub.Publish(context.Background(), r)
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
					h.log.appendErrs, h.log.loseAppends, h.log.afterAppend = nil, false, nil
					h.log.appendDown, h.log.readDown = true, true
				})
				if tc.status == StatusUnknown || tc.status == StatusAccepted {
					again, _ := h.pub.Publish(context.Background(), r)
					require.Equal(t, tc.status, again.Status)
				}
				c.withLock(func() { h.log.readDown, h.log.appendDown, h.log.delay = false, false, 0 })
				again, err := h.pub.Publish(context.Background(), r)
				require.NoError(t, err)
				require.Equal(t, tc.after, again.Status)
				if tc.status == StatusAccepted {
					require.Equal(t, first, again)
				}
				if again.Status == StatusLostRace {
					require.Equal(t, uint64(1), again.WinnerOffset)
					require.Equal(t, "author-2", again.WinnerAuthor)
				} else {
					require.Equal(t, again.Offset, h.reader.active.Load().Version(contract.KindQuota, "team"))
				}
			})
		})
	}
}

// TestConcurrentPublishes guards against two accepted records that are based on the
// same version, and against a lost race that is reported without the winner,
// whichever record comes first in the log.
func TestConcurrentPublishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		defer func() { c.stop(c.hosts...) }()
		c.start(c.hosts...)
		c.runWithHeartbeats(time.Second)
		records := []contract.Record{c.quotaRecord("team", 0, 1), c.quotaRecord("team", 0, 2)}
		results := make([]Result, 2)
		for i, h := range c.hosts {
			c.withLock(func() { h.log.delay = 10 * time.Millisecond })
			go func() { results[i], _ = h.pub.Publish(context.Background(), records[i]) }()
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
		c.requireState(c.replay(), c.hosts...)
	})
}

// TestPublishRejections guards against an invalid record that is appended to the
// log, a publish by a host that isn't up to date, and one publish ID that is
// used for two different records.
func TestPublishRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer func() { c.stop(c.hosts...) }()
		h := c.hosts[0]
		c.appendQuotas(3)
		c.log.drop(1)
		c.start(h)
		c.runWithHeartbeats(time.Second)
		res, err := h.pub.Publish(context.Background(), c.quotaRecord("team", 0, 1))
		require.NoError(t, err)
		require.Equal(t, StatusUnavailable, res.Status)
		require.ErrorIs(t, res.Cause, ErrGap)

		c.withLock(func() { c.log.firstKept = 1 })
		bad := c.quotaRecord("team", 0, 0)
		res, _ = h.pub.Publish(context.Background(), bad)
		require.Equal(t, StatusInvalid, res.Status)
		require.Equal(t, "slots", res.Fields[0].Path)
		require.Len(t, c.log.records, 3)

		good := c.quotaRecord("team", 0, 5)
		good.PublishID = ""
		res, _ = h.pub.Publish(context.Background(), good)
		require.Equal(t, StatusAccepted, res.Status)
		good.PublishID, good.BasedOn = res.PublishID, res.Offset
		res, _ = h.pub.Publish(context.Background(), good)
		require.Equal(t, StatusInvalid, res.Status)
		require.Equal(t, "publish_id", res.Fields[0].Path)
	})
}
