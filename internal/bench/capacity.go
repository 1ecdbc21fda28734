package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// measureCapacity measures the unit costs from which the capacity page is
// calculated: of a held worker, a request and a configuration object at three
// sizes each, and of a timeline event.
func measureCapacity(ctx context.Context, p printer, seed uint64) error {
	for _, part := range []func(context.Context, printer, uint64) error{
		measureHeldWorkers, measureRequestCost, measureConfigurationSize, measureEventSize,
	} {
		if err := part(ctx, p, seed); err != nil {
			return err
		}
	}
	return nil
}

// scaledLayout returns a layout of about n workers in the proportions of the
// order desk's.
func scaledLayout(n int) dev.WorkerLayout {
	s := dev.OrderDesk
	s.Accelerated = n * s.Accelerated / (s.Plain + s.Accelerated)
	s.Plain = n - s.Accelerated
	return s
}

// measureHeldWorkers measures what an idle worker costs its holder. The
// stand-ins run in the same process, so the CPU time is an upper bound.
func measureHeldWorkers(ctx context.Context, p printer, _ uint64) error {
	for _, n := range []int{48, 240, 960} {
		c, err := newCellWithLayout(ctx, scaledLayout(n), 1, 1, 1)
		if err != nil {
			return err
		}
		if err := c.awaitAllHeld(ctx, ""); err != nil {
			return err
		}
		relay, err := c.relayFirstWorker(ctx)
		if err != nil {
			return err
		}
		to, from := relay.Bytes()
		cpu := processCPUTime()
		sleep(ctx, measurementPeriod)
		cpu = processCPUTime() - cpu
		to2, from2 := relay.Bytes()
		p.figure(fmt.Sprintf("capacity.worker.cpu.%d", n), float64(cpu.Microseconds())/measurementPeriod.Seconds()/float64(n), "us/s")
		p.figure(fmt.Sprintf("capacity.worker.bytes.%d", n), float64(to2-to+from2-from)/measurementPeriod.Seconds(), "B/s")
		p.figure(fmt.Sprintf("capacity.worker.heap.%d", n), float64(liveHeapBytes())/float64(n), "B")
		_ = relay.Close()
		c.close()
	}
	return nil
}

// relayFirstWorker restarts the first worker behind a relay that counts its
// bytes, and waits until the worker is held again.
func (c *cell) relayFirstWorker(ctx context.Context) (*standin.LinkRelay, error) {
	w := c.platform.Workers[0]
	relay, err := standin.NewLinkRelay(w.Info().Address)
	if err != nil {
		return nil, err
	}
	w.Restart()
	info := w.Info()
	info.Address = relay.Address()
	c.platform.HostList.Set(info)
	sleep(ctx, time.Second)
	return relay, c.awaitAllHeld(ctx, "")
}

// measureRequestCost measures the CPU time of a request across caller, entry
// hosts and worker, the bytes between entry hosts, and the number of requests
// without a correct answer.
func measureRequestCost(ctx context.Context, p printer, seed uint64) error {
	for _, rate := range []int{300, 900, 1800} {
		c, err := newCell(ctx, 3, 2, 2)
		if err != nil {
			return err
		}
		if err := c.awaitAllHeld(ctx, ""); err != nil {
			return err
		}
		client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses()})
		if err != nil {
			return err
		}
		kinds := []demo.Workload{{
			Name: "price", Service: "order-desk", Team: "sales", Requests: 5 * rate, RequestsPerSecond: float64(rate), RunMS: 20,
			Deadline: 5 * time.Second, AnswerBytes: 200,
		}}
		cpu, peers := processCPUTime(), c.TotalPeerBytes()
		sent, err := demo.Run(ctx, client, kinds, seed)
		if err != nil {
			return err
		}
		cpu, peers = processCPUTime()-cpu, c.TotalPeerBytes()-peers
		wrong := 0
		for i := range sent {
			if sent[i].Check(standin.ExpectedAnswer) != nil {
				wrong++
			}
		}
		client.Close()
		c.close()
		p.figure(fmt.Sprintf("capacity.request.cpu.%d", rate), float64(cpu.Microseconds())/float64(len(sent)), "us")
		p.figure(fmt.Sprintf("capacity.request.peer_bytes.%d", rate), peers/float64(len(sent)), "B")
		p.figure(fmt.Sprintf("capacity.request.wrong.%d", rate), float64(wrong), "requests")
	}
	return nil
}

// measureConfigurationSize measures the heap size and the snapshot size of a
// configuration.
func measureConfigurationSize(_ context.Context, p printer, _ uint64) error {
	for _, teams := range []int{190, 570, 1710} {
		// Cells of earlier parts that are still ending would disturb the count.
		sleep(context.Background(), time.Second)
		before := liveHeapBytes()
		c, err := configurationWithTeams(teams)
		if err != nil {
			return err
		}
		p.figure(fmt.Sprintf("capacity.config.heap.%d", teams), float64(liveHeapBytes()-before), "B")
		data, err := json.Marshal(c.Snapshot())
		if err != nil {
			return err
		}
		p.figure(fmt.Sprintf("capacity.config.snapshot.%d", teams), float64(len(data)), "B")
	}
	return nil
}

// configurationWithTeams returns the sample configuration with quotas for that
// many more teams.
func configurationWithTeams(teams int) (*contract.Configuration, error) {
	set := contract.Sample()
	for i := range teams {
		set.Quotas[fmt.Sprintf("team-%d", i)] = contract.Quota{Slots: 20, Weight: 10}
	}
	records, err := contract.Diff(contract.EmptyConfiguration(), set)
	if err != nil {
		return nil, err
	}
	c := contract.EmptyConfiguration()
	for i, r := range records {
		r.PublishID, r.Author = fmt.Sprintf("capacity-%d", i), "bench"
		data, err := r.Encode()
		if err != nil {
			return nil, err
		}
		c, _ = c.Apply(uint64(i+1), data)
	}
	return c, nil
}

// measureEventSize measures the heap size of a timeline event.
func measureEventSize(_ context.Context, p printer, _ uint64) error {
	const events = 20_000
	before := liveHeapBytes()
	ring := timeline.NewRing(events, timeline.NewClock(time.Now))
	for i := range events {
		ring.Add(timeline.Event{
			Host: "fd-a-1", FailureDomain: "fd-a", Kind: "dispatched",
			Request: fmt.Sprintf("fd-a/01a23f9e-624e-708d-a435-%012d", i), Task: fmt.Sprintf("fd-a/01a23f9e-624e-708d-a435-%012d#0.8", i),
			Worker: "plain-01",
		})
	}
	p.figure("capacity.event.heap", float64(liveHeapBytes()-before)/events, "B")
	first, _ := ring.Since(0, 1, timeline.Filter{})
	if len(first) != 1 {
		return errors.Errorf("the ring holds %d events", len(first))
	}
	return nil
}
