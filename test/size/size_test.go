// Package size measures a whole cell of the size to design for: one process for
// each entry host, and stand-ins of the workers in processes of their own.
//
//	go test -run '^$' -bench DesignSize -benchtime 1x -timeout 10m ./test/size
package size

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/api"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/demo"
	"github.com/laburnumpass/laburnumpass/internal/dev"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// The size to design for, of docs/CAPACITY.md.
const (
	plainWorkers       = 4200
	acceleratedWorkers = 900 // with 8 accelerators each
	failureDomains     = 15
	regions            = 7
	hostsPerDomain     = 3
	teams              = 570
	startsPerSecond    = 3100

	// workersPerProcess keeps a process of stand-ins below 20,000 open files.
	workersPerProcess = 850
	idleTime          = 10 * time.Second
	loadTime          = 15 * time.Second
	changes           = 40
	poll              = 10 * time.Millisecond
	startTimeout      = 3 * time.Minute
)

// workersVariable makes the test binary serve stand-ins of workers.
const workersVariable = "LABURNUMPASS_SIZE_WORKERS"

func TestMain(m *testing.M) {
	if os.Getenv(workersVariable) != "" {
		if err := serveWorkers(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// serveWorkers serves the workers that in lists until in ends and writes them
// with their addresses to out.
func serveWorkers(in io.Reader, out io.Writer) error {
	var infos []worker.Info
	decoder := json.NewDecoder(in)
	if err := decoder.Decode(&infos); err != nil {
		return errors.Wrap(err, "read the workers")
	}
	for i := range infos {
		w := standin.NewWorker(infos[i], standin.WorkerOptions{})
		if _, err := standin.ServeWorker(w, "127.0.0.1:0"); err != nil {
			return err
		}
		infos[i] = w.Info()
	}
	if err := json.NewEncoder(out).Encode(infos); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// BenchmarkDesignSize prints figures of an idle cell, of configuration changes,
// of 3,100 starts a second and of the death of an entry host.
func BenchmarkDesignSize(b *testing.B) {
	for range b.N {
		c := start(b)
		c.idle()
		c.configuration()
		c.takeover()
		c.load()
	}
}

func figure(name string, value float64, unit string) {
	fmt.Printf("figure size.%s %.4g %s\n", name, value, unit)
}

func domains() []dev.FailureDomain {
	out := make([]dev.FailureDomain, failureDomains)
	for i := range out {
		out[i] = dev.FailureDomain{
			Name: fmt.Sprintf("fd-%02d", i+1), Region: fmt.Sprintf("region-%d", min(i/2, regions-1)+1), EntryHosts: hostsPerDomain,
		}
	}
	return out
}

func team(i int) string { return fmt.Sprintf("team-%03d", i) }

// sample is the sample configuration with a quota for each team, which
// together allow eight times the slots that the load takes.
func sample() contract.Set {
	set := contract.Sample()
	for i := range teams {
		set.Quotas[team(i)] = contract.Quota{Slots: 60, Weight: 10}
	}
	return set
}

// idle measures what entry hosts cost that hold workers without tasks.
func (c *cell) idle() {
	before, bytes := c.usage(), c.sum("laburnumpass_control_sent_bytes_total")+c.sum("laburnumpass_control_received_bytes_total")
	time.Sleep(idleTime)
	after := c.usage()
	bytes = c.sum("laburnumpass_control_sent_bytes_total") + c.sum("laburnumpass_control_received_bytes_total") - bytes
	figure("idle.cpu.mean", 100*mean(after.cpu, before.cpu).Seconds()/idleTime.Seconds(), "%core")
	figure("idle.cpu.max", 100*most(after.cpu, before.cpu).Seconds()/idleTime.Seconds(), "%core")
	figure("idle.memory.max", float64(slices.Max(after.memory))/(1<<20), "MiB")
	figure("idle.heartbeat.bytes_per_s", bytes/float64(len(c.settings))/idleTime.Seconds(), "B/s")
}

// configuration measures the time until a change is in force on all hosts.
func (c *cell) configuration() {
	var times []time.Duration
	for i := range changes {
		record := contract.Record{
			PublishID: fmt.Sprintf("size-%d", i), Kind: contract.KindQuota, Name: fmt.Sprintf("new-team-%d", i),
			Value: []byte(`{"slots":10,"weight":1}`), Author: "bench",
		}
		data, err := record.Encode()
		require.NoError(c.b, err)
		offset, err := c.platform.Log.Append(c.b.Context(), data)
		require.NoError(c.b, err)
		began := time.Now()
		c.await("change in force", func() bool {
			return slices.Min(c.gauges("laburnumpass_configuration_offset")) >= float64(offset)
		})
		times = append(times, time.Since(began))
	}
	figure("config.in_force.p50", quantile(times, 0.5), "ms")
	figure("config.in_force.p99", quantile(times, 0.99), "ms")
}

// load measures urgent requests of all teams.
func (c *cell) load() {
	client, err := api.NewClient(api.ClientOptions{Addresses: c.callers()})
	require.NoError(c.b, err)
	defer client.Close()
	rate := float64(startsPerSecond) / teams
	kinds := make([]demo.Workload, teams)
	for i := range kinds {
		kinds[i] = demo.Workload{
			Name: team(i), Service: "order-desk", Team: team(i), Requests: int(rate * loadTime.Seconds()), RequestsPerSecond: rate,
			RunMS: 50, Deadline: 5 * time.Second, AnswerBytes: 200,
		}
	}
	before, began := c.usage(), time.Now()
	sent, err := demo.Run(c.b.Context(), client, kinds, 1)
	require.NoError(c.b, err)
	took, after := time.Since(began), c.usage()
	wrong := 0
	var waits []time.Duration
	for i := range sent {
		if sent[i].Check(standin.ExpectedAnswer) != nil {
			wrong++
			continue
		}
		waits = append(waits, max(0, sent[i].Latency-sent[i].RunTime))
	}
	fmt.Println("outcomes:", demo.CountOutcomes(sent))
	figure("load.rate", float64(len(sent))/took.Seconds(), "starts/s")
	figure("load.wrong", float64(wrong), "requests")
	figure("load.wait.p50", quantile(waits, 0.5), "ms")
	figure("load.wait.p99", quantile(waits, 0.99), "ms")
	figure("load.cpu.mean", 100*mean(after.cpu, before.cpu).Seconds()/took.Seconds(), "%core")
	figure("load.memory.max", float64(slices.Max(after.memory))/(1<<20), "MiB")
}

// takeover measures the time until all workers of a killed host are held again.
func (c *cell) takeover() {
	held := c.gauges("laburnumpass_workers_held")[0]
	began := time.Now()
	c.kill(0)
	c.await("workers held again", func() bool { return c.sum("laburnumpass_workers_held") == plainWorkers+acceleratedWorkers })
	figure("takeover.workers", held, "workers")
	figure("takeover.all", float64(time.Since(began).Milliseconds()), "ms")
}

func (c *cell) await(what string, done func() bool) {
	c.b.Helper()
	ctx, cancel := context.WithTimeout(c.b.Context(), startTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			require.Fail(c.b, "timeout: "+what)
		case <-time.After(poll):
		}
	}
}

func mean(after, before []time.Duration) time.Duration {
	total := time.Duration(0)
	for i := range after {
		total += after[i] - before[i]
	}
	return total / time.Duration(len(after))
}

func most(after, before []time.Duration) time.Duration {
	out := time.Duration(0)
	for i := range after {
		out = max(out, after[i]-before[i])
	}
	return out
}

// quantile returns a quantile in milliseconds.
func quantile(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return float64(list[min(len(list)-1, int(q*float64(len(list))))]) / float64(time.Millisecond)
}
