package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	schedulebench "github.com/laburnumpass/laburnumpass/internal/schedule/bench"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

func awaitReady(ctx context.Context, address string) error {
	return dev.AwaitReady(ctx, []string{address})
}

// decisions measures placement, waiting, packing and fairness.
func decisions(_ context.Context, p printer, seed uint64) error {
	return schedulebench.Run(p.w, seed)
}

// measureFor is the time over which control cost is measured.
const measureFor = 5 * time.Second

// controlSizes are the entry hosts of each failure domain: today's, three in
// each of 12 failure domains, and seven in each of 15.
var controlSizes = [][]int{
	{3, 2, 2},
	{3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3},
	{7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7},
}

// control measures the cost of idle entry hosts at three sizes. All hosts
// share this process with the stand-ins, whose work is part of the processor
// time, so that the share is an upper bound.
func control(ctx context.Context, p printer, _ uint64) error {
	for _, size := range controlSizes {
		hosts := 0
		for _, n := range size {
			hosts += n
		}
		c, err := newCell(ctx, size...)
		if err != nil {
			return err
		}
		if err := c.awaitHeld(ctx, ""); err != nil {
			return err
		}
		bytes, cpu := c.MeanControlBytes(), processorTime()
		pause(ctx, measureFor)
		bytes, cpu = c.MeanControlBytes()-bytes, processorTime()-cpu
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		c.close()
		p.figure(fmt.Sprintf("control.bytes_per_s.node.%d", hosts), bytes/measureFor.Seconds(), "B/s")
		p.figure(fmt.Sprintf("control.cpu.%d", hosts), 100*float64(cpu)/float64(measureFor)/float64(hosts), "%core")
		p.figure(fmt.Sprintf("control.heap.%d", hosts), float64(memory.HeapAlloc)/float64(hosts)/(1<<20), "MiB")
	}
	return nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// callersAtOnce is the number of callers that send in the same second after a
// power cut, several times what the cell runs at one time.
const callersAtOnce = 3000

// wake measures the requests of all callers in the same second.
func wake(ctx context.Context, p printer, seed uint64) error {
	c, err := newCell(ctx, 3, 2, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.awaitHeld(ctx, ""); err != nil {
		return err
	}
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses(), RetryNotRun: true})
	if err != nil {
		return err
	}
	defer client.Close()
	kinds := []demo.Workload{{
		Name: "price", Service: "order-desk", Team: "sales", Requests: callersAtOnce, RequestsPerSecond: callersAtOnce, RunMS: 40,
		Deadline: 20 * time.Second, AnswerBytes: 100,
	}}
	sent, err := demo.Run(ctx, client, kinds, seed)
	if err != nil {
		return err
	}
	lost := 0
	var waits []time.Duration
	for i := range sent {
		if sent[i].Check(standin.ExpectedAnswer) != nil {
			lost++
			continue
		}
		waits = append(waits, max(0, sent[i].Latency-sent[i].RunTime))
	}
	doubled := 0
	for _, v := range standin.CheckJournals(c.platform.Journals()...) {
		if v.Kind == standin.ViolationRanTwice {
			doubled++
		}
	}
	p.figure("herd.lost", float64(lost), "requests")
	p.figure("herd.doubled", float64(doubled), "requests")
	p.figure("herd.wait.p99", quantile(waits, 0.99), "ms")
	return nil
}
