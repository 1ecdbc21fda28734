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

// measureDecisions measures placement, waiting times, packing and fairness of
// the scheduler alone.
func measureDecisions(_ context.Context, p printer, seed uint64) error {
	return schedulebench.Run(p.w, seed)
}

// measurementPeriod is the time over which the cost of an idle cell is measured.
const measurementPeriod = 5 * time.Second

// cellSizes lists the measured cells by their numbers of entry hosts in
// each failure domain: the size in use today, three in each of 12 failure
// domains, and seven in each of 15.
var cellSizes = [][]int{
	{3, 2, 2},
	{3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3},
	{7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7},
}

// measureControlCost measures the cost of idle entry hosts at three sizes. All
// hosts share this process with the stand-ins, whose work is part of the
// measured CPU time, so the CPU share of a host is an upper bound.
func measureControlCost(ctx context.Context, p printer, _ uint64) error {
	for _, size := range cellSizes {
		hosts := 0
		for _, n := range size {
			hosts += n
		}
		c, err := newCell(ctx, size...)
		if err != nil {
			return err
		}
		if err := c.awaitAllHeld(ctx, ""); err != nil {
			return err
		}
		bytes, cpu := c.MeanControlBytes(), processCPUTime()
		sleep(ctx, measurementPeriod)
		bytes, cpu = c.MeanControlBytes()-bytes, processCPUTime()-cpu
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		c.close()
		p.figure(fmt.Sprintf("control.bytes_per_s.node.%d", hosts), bytes/measurementPeriod.Seconds(), "B/s")
		p.figure(fmt.Sprintf("control.cpu.%d", hosts), 100*float64(cpu)/float64(measurementPeriod)/float64(hosts), "%core")
		p.figure(fmt.Sprintf("control.heap.%d", hosts), float64(memory.HeapAlloc)/float64(hosts)/(1<<20), "MiB")
	}
	return nil
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// simultaneousCallers is the number of callers that send within the same second
// after a power cut. It is several times the number of tasks that the cell can
// run at once.
const simultaneousCallers = 3000

// measureSimultaneousCallers measures the lost and repeated requests and the
// waits when all callers send within the same second.
func measureSimultaneousCallers(ctx context.Context, p printer, seed uint64) error {
	c, err := newCell(ctx, 3, 2, 2)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.awaitAllHeld(ctx, ""); err != nil {
		return err
	}
	client, err := api.NewClient(api.ClientOptions{Addresses: c.CallerAddresses(), RetryNotRun: true})
	if err != nil {
		return err
	}
	defer client.Close()
	kinds := []demo.Workload{{
		Name: "price", Service: "order-desk", Team: "sales", Requests: simultaneousCallers, RequestsPerSecond: simultaneousCallers, RunMS: 40,
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
