package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// measureTakeover measures how long the workers of a killed entry host have no
// holder.
func measureTakeover(ctx context.Context, p printer, _ uint64) error {
	c, err := newCell(ctx, 3, 2, 2)
	if err != nil {
		return err
	}
	defer c.close()
	var gaps []time.Duration
	for i := range c.Settings {
		if err := c.awaitAllHeld(ctx, ""); err != nil {
			return err
		}
		name := c.Settings[i].Host
		var lost []*standin.Worker
		for _, w := range c.platform.Workers {
			if holder, _ := w.Lease(); holder == name {
				lost = append(lost, w)
			}
		}
		// Start the clock before Abort, which also waits until the listeners
		// have closed, that is until after the host has died.
		began := time.Now()
		c.Abort(i)
		var group errgroup.Group
		durations := make([]time.Duration, len(lost))
		for j, w := range lost {
			group.Go(func() error {
				for time.Since(began) < startTimeout {
					if holder, _ := w.Lease(); holder != "" && holder != name {
						durations[j] = time.Since(began)
						return nil
					}
					sleep(ctx, time.Millisecond)
				}
				return errors.Errorf("worker %s was not taken over", w.Info().Name)
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		gaps = append(gaps, durations...)
		if err := c.startAndAwaitReady(ctx, i); err != nil {
			return err
		}
	}
	p.figure("takeover.gap.p50", quantile(gaps, 0.5), "ms")
	p.figure("takeover.gap.p99", quantile(gaps, 0.99), "ms")
	return nil
}

// startAndAwaitReady starts a host again and waits until it is ready.
func (c *cell) startAndAwaitReady(ctx context.Context, i int) error {
	if err := c.Start(i); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return awaitReady(ctx, c.Settings[i].Listen.Callers)
}

// measureRollingRestart measures a rolling restart by drains: requests without a
// correct answer, workers whose holder differs after the restart, all changes of
// holders, and the time that workers have no holder.
func measureRollingRestart(ctx context.Context, p printer, seed uint64) error {
	c, err := newCell(ctx, 2, 2, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.awaitAllHeld(ctx, ""); err != nil {
		return err
	}
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()})
	if err != nil {
		return err
	}
	defer client.Close()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []demo.Result, 1)
	go func() { results <- sendUntil(ctx, loadCtx, client, seed) }()
	monitor := newHolderMonitor(c.platform.Workers)
	if err := monitor.waitUntilSettled(ctx, closedChannel); err != nil {
		return err
	}
	monitor.holderChanges, monitor.unheldPeriods = 0, nil
	moved := 0
	for i := range c.Settings {
		before := slices.Clone(monitor.lastHolders)
		restarted := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			defer close(restarted)
			if err := c.Drain(i); err != nil {
				return errors.Wrap(err, "drain")
			}
			return c.startAndAwaitReady(ctx, i)
		})
		if err := monitor.waitUntilSettled(ctx, restarted); err != nil {
			return err
		}
		if err := group.Wait(); err != nil {
			return err
		}
		for j, holder := range monitor.lastHolders {
			if before[j] != holder {
				moved++
			}
		}
	}
	stop()
	lost := 0
	all := <-results
	for i := range all {
		if all[i].Check(standin.ExpectedAnswer) != nil {
			lost++
		}
	}
	p.figure("handover.requests", float64(len(all)), "requests")
	p.figure("handover.lost", float64(lost), "requests")
	restarts := float64(len(c.Settings))
	p.figure("rejoin.moved_workers", float64(moved)/restarts, "workers/restart")
	p.figure("rejoin.holder_changes", float64(monitor.holderChanges)/restarts, "changes/restart")
	p.figure("rejoin.without_holder", monitor.totalUnheldTime().Seconds()*1000/restarts, "worker_ms/restart")
	p.figure("rejoin.gap.p99", quantile(monitor.unheldPeriods, 0.99), "ms")
	return nil
}

// sendUntil sends non-idempotent requests until stop ends.
func sendUntil(ctx, stop context.Context, client *api.Client, seed uint64) []demo.Result {
	var all []demo.Result
	workloads := []demo.Workload{{
		Name: "price", Service: "order-desk", Team: "sales", Requests: 100, RequestsPerSecond: 150, RunMS: 20,
		Deadline: 5 * time.Second, AnswerBytes: 100,
	}}
	for stop.Err() == nil {
		part, err := demo.Run(ctx, client, workloads, seed+uint64(len(all)))
		if err != nil {
			return all
		}
		all = append(all, part...)
	}
	return all
}

// configurationChanges is the number of configuration changes that are measured.
const configurationChanges = 100

// measureConfigurationDelay measures the time from the append of a configuration
// change to the log until every host has applied it.
func measureConfigurationDelay(ctx context.Context, p printer, _ uint64) error {
	c, err := newCell(ctx, 3, 2, 2)
	if err != nil {
		return err
	}
	defer c.close()
	var times []time.Duration
	for i := range configurationChanges {
		record := contract.Record{
			PublishID: fmt.Sprintf("bench-%d", i), Kind: contract.KindQuota, Name: fmt.Sprintf("team-%d", i),
			Value: []byte(`{"slots":10,"weight":1}`), Author: "bench",
		}
		data, err := record.Encode()
		if err != nil {
			return err
		}
		offset, err := c.platform.Log.Append(ctx, data)
		if err != nil {
			return err
		}
		began := time.Now()
		if err := c.awaitConfigOffset(ctx, offset); err != nil {
			return err
		}
		times = append(times, time.Since(began))
	}
	p.figure("config.in_force.p50", quantile(times, 0.5), "ms")
	p.figure("config.in_force.p99", quantile(times, 0.99), "ms")
	return nil
}

// awaitConfigOffset waits until every host has applied the configuration up to
// offset.
func (c *cell) awaitConfigOffset(ctx context.Context, offset uint64) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range c.Settings {
		for c.ConfigOffset(i) < offset {
			if !sleep(ctx, time.Millisecond) {
				return errors.Errorf("host %s has not applied configuration offset %d", c.Settings[i].Host, offset)
			}
		}
	}
	return nil
}

// measureLeavingWorkers measures how long workers still get new tasks after the
// host list marks them as leaving.
func measureLeavingWorkers(ctx context.Context, p printer, seed uint64) error {
	c, err := newCell(ctx, 2, 2, 2)
	if err != nil {
		return err
	}
	defer c.close()
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()})
	if err != nil {
		return err
	}
	defer client.Close()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan []demo.Result, 1)
	go func() { results <- sendUntil(ctx, loadCtx, client, seed) }()
	markedAt := make(map[*standin.Worker]time.Time)
	for i, w := range c.platform.Workers {
		if i%4 != 0 {
			continue
		}
		sleep(ctx, 200*time.Millisecond)
		markedAt[w] = time.Now()
		c.platform.HostList.MarkLeaving(w.Info().Name)
	}
	sleep(ctx, 3*time.Second)
	stop()
	<-results
	var lastStarts []time.Duration
	for w, at := range markedAt {
		last := time.Duration(0)
		for _, e := range w.Journal().Events() {
			if e.Kind == standin.EventStart {
				last = max(last, e.Time.Sub(at))
			}
		}
		lastStarts = append(lastStarts, last)
	}
	p.figure("leaving.stop.p99", quantile(lastStarts, 0.99), "ms")
	return nil
}
