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

// capacity measures the slopes from which the capacity page is worked out: the
// cost of a held worker, of a request and of a configuration object, at three
// sizes each.
func capacity(ctx context.Context, p printer, seed uint64) error {
	for _, part := range []func(context.Context, printer, uint64) error{
		heldWorkers, requestCost, configurationSize, eventSize,
	} {
		if err := part(ctx, p, seed); err != nil {
			return err
		}
	}
	return nil
}

// workersOf returns a shape with about n workers in today's proportions.
func workersOf(n int) dev.WorkerLayout {
	s := dev.OrderDesk
	s.Accelerated = n * s.Accelerated / (s.Plain + s.Accelerated)
	s.Plain = n - s.Accelerated
	return s
}

// heldWorkers measures what an idle worker costs its holder. The stand-ins run
// in the same process, so that the processor time is an upper bound.
func heldWorkers(ctx context.Context, p printer, _ uint64) error {
	for _, n := range []int{48, 240, 960} {
		c, err := newCellOf(ctx, workersOf(n), 1, 1, 1)
		if err != nil {
			return err
		}
		if err := c.awaitHeld(ctx, ""); err != nil {
			return err
		}
		relay, err := c.watchWorker(ctx)
		if err != nil {
			return err
		}
		to, from := relay.Bytes()
		cpu := processorTime()
		pause(ctx, measureFor)
		cpu = processorTime() - cpu
		to2, from2 := relay.Bytes()
		p.figure(fmt.Sprintf("capacity.worker.cpu.%d", n), float64(cpu.Microseconds())/measureFor.Seconds()/float64(n), "us/s")
		p.figure(fmt.Sprintf("capacity.worker.bytes.%d", n), float64(to2-to+from2-from)/measureFor.Seconds(), "B/s")
		p.figure(fmt.Sprintf("capacity.worker.heap.%d", n), float64(heap())/float64(n), "B")
		_ = relay.Close()
		c.close()
	}
	return nil
}

// watchWorker restarts the first worker behind a relay that counts its bytes
// and waits until it is held again.
func (c *cell) watchWorker(ctx context.Context) (*standin.LinkRelay, error) {
	w := c.platform.Workers[0]
	relay, err := standin.NewLinkRelay(w.Info().Address)
	if err != nil {
		return nil, err
	}
	w.Restart()
	info := w.Info()
	info.Address = relay.Address()
	c.platform.HostList.Set(info)
	pause(ctx, time.Second)
	return relay, c.awaitHeld(ctx, "")
}

// requestCost measures the processor time of a request through all processes:
// caller, entry hosts and worker.
func requestCost(ctx context.Context, p printer, seed uint64) error {
	for _, rate := range []int{300, 900, 1800} {
		c, err := newCell(ctx, 3, 2, 2)
		if err != nil {
			return err
		}
		if err := c.awaitHeld(ctx, ""); err != nil {
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
		cpu, peers := processorTime(), c.TotalPeerBytes()
		sent, err := demo.Run(ctx, client, kinds, seed)
		if err != nil {
			return err
		}
		cpu, peers = processorTime()-cpu, c.TotalPeerBytes()-peers
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

// configurationSize measures the state and the snapshot of a configuration.
func configurationSize(_ context.Context, p printer, _ uint64) error {
	for _, teams := range []int{190, 570, 1710} {
		// Cells of earlier parts that are still ending would disturb the count.
		pause(context.Background(), time.Second)
		before := heap()
		c, err := configurationOf(teams)
		if err != nil {
			return err
		}
		p.figure(fmt.Sprintf("capacity.config.heap.%d", teams), float64(heap()-before), "B")
		data, err := json.Marshal(c.Snapshot())
		if err != nil {
			return err
		}
		p.figure(fmt.Sprintf("capacity.config.snapshot.%d", teams), float64(len(data)), "B")
	}
	return nil
}

func configurationOf(teams int) (*contract.Configuration, error) {
	set := contract.Sample()
	for i := range teams {
		set.Quotas[fmt.Sprintf("team-%d", i)] = contract.Quota{Slots: 20, Weight: 10}
	}
	records, err := contract.Diff(contract.Empty(), set)
	if err != nil {
		return nil, err
	}
	c := contract.Empty()
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

// eventSize measures the memory of the time line.
func eventSize(_ context.Context, p printer, _ uint64) error {
	const events = 20_000
	before := heap()
	ring := timeline.NewRing(events, timeline.NewClock(time.Now))
	for i := range events {
		ring.Add(timeline.Event{
			Host: "fd-a-1", FailureDomain: "fd-a", Kind: "dispatched",
			Request: fmt.Sprintf("fd-a/01a23f9e-624e-708d-a435-%012d", i), Task: fmt.Sprintf("fd-a/01a23f9e-624e-708d-a435-%012d#0.8", i),
			Worker: "plain-01",
		})
	}
	p.figure("capacity.event.heap", float64(heap()-before)/events, "B")
	first, _ := ring.Since(0, 1, timeline.Filter{})
	if len(first) != 1 {
		return errors.Errorf("the ring holds %d events", len(first))
	}
	return nil
}
