// Package size benchmarks a whole cell of the design size, with one process for each
// entry host and simulated workers in further processes.
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

// The design size of a cell, from docs/CAPACITY.md.
const (
	plainWorkers       = 4200
	acceleratedWorkers = 900 // with 8 accelerators each
	failureDomains     = 15
	regions            = 7
	hostsPerDomain     = 3
	teams              = 570
	startsPerSecond    = 3100

	// workersPerProcess keeps each process of simulated workers below 20,000 open
	// files.
	workersPerProcess    = 850
	idleDuration         = 10 * time.Second
	loadDuration         = 15 * time.Second
	configurationChanges = 40
	pollInterval         = 10 * time.Millisecond
	startTimeout         = 3 * time.Minute
)

// serveWorkersVariable is the environment variable that makes the test binary serve
// simulated workers instead of running tests.
const serveWorkersVariable = "LABURNUMPASS_SIZE_WORKERS"

func TestMain(m *testing.M) {
	if os.Getenv(serveWorkersVariable) != "" {
		if err := serveWorkers(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// serveWorkers simulates the workers that it reads from in as a JSON list. It writes
// them with their addresses to out and serves them until in ends.
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

// BenchmarkDesignSize measures an idle cell, configuration changes, the takeover of a
// killed entry host's workers, and a load of 3,100 starts a second. It prints the
// results.
func BenchmarkDesignSize(b *testing.B) {
	for range b.N {
		c := startCell(b)
		c.measureIdle()
		c.measureConfigurationChanges()
		c.measureTakeover()
		c.measureLoad()
	}
}

func printFigure(name string, value float64, unit string) {
	fmt.Printf("figure size.%s %.4g %s\n", name, value, unit)
}

func designDomains() []dev.FailureDomain {
	out := make([]dev.FailureDomain, failureDomains)
	for i := range out {
		out[i] = dev.FailureDomain{
			Name: fmt.Sprintf("fd-%02d", i+1), Region: fmt.Sprintf("region-%d", min(i/2, regions-1)+1), EntryHosts: hostsPerDomain,
		}
	}
	return out
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// designConfiguration returns the sample configuration with a quota for each team.
// Together the quotas allow 34,200 running tasks, far more than the about 155 of
// the load: 3,100 starts a second with a mean run time of 50 ms.
func designConfiguration() contract.ObjectSet {
	set := contract.Sample()
	for i := range teams {
		set.Quotas[teamName(i)] = contract.Quota{Slots: 60, Weight: 10}
	}
	return set
}

// measureIdle measures the resource usage and the control traffic of entry hosts
// that hold idle workers.
func (c *cell) measureIdle() {
	before, controlBytes := c.readUsage(), c.metricSum("laburnumpass_control_sent_bytes_total")+c.metricSum("laburnumpass_control_received_bytes_total")
	time.Sleep(idleDuration)
	after := c.readUsage()
	controlBytes = c.metricSum("laburnumpass_control_sent_bytes_total") + c.metricSum("laburnumpass_control_received_bytes_total") - controlBytes
	printFigure("idle.cpu.mean", 100*meanIncrease(after.cpu, before.cpu).Seconds()/idleDuration.Seconds(), "%core")
	printFigure("idle.cpu.max", 100*maxIncrease(after.cpu, before.cpu).Seconds()/idleDuration.Seconds(), "%core")
	printFigure("idle.memory.max", float64(slices.Max(after.memory))/(1<<20), "MiB")
	printFigure("idle.heartbeat.bytes_per_s", controlBytes/float64(len(c.settings))/idleDuration.Seconds(), "B/s")
}

// measureConfigurationChanges measures the time until a change is in effect on all
// hosts.
func (c *cell) measureConfigurationChanges() {
	var times []time.Duration
	for i := range configurationChanges {
		record := contract.Record{
			PublishID: fmt.Sprintf("size-%d", i), Kind: contract.KindQuota, Name: fmt.Sprintf("new-team-%d", i),
			Value: []byte(`{"slots":10,"weight":1}`), Author: "bench",
		}
		data, err := record.Encode()
		require.NoError(c.b, err)
		offset, err := c.platform.Log.Append(c.b.Context(), data)
		require.NoError(c.b, err)
		began := time.Now()
		c.await("change in effect", func() bool {
			return slices.Min(c.metricValues("laburnumpass_configuration_offset")) >= float64(offset)
		})
		times = append(times, time.Since(began))
	}
	printFigure("config.in_force.p50", quantile(times, 0.5), "ms")
	printFigure("config.in_force.p99", quantile(times, 0.99), "ms")
}

// measureLoad measures start rate, waiting times and resource usage under urgent
// requests of all teams.
func (c *cell) measureLoad() {
	client, err := api.NewClient(api.ClientOptions{Addresses: c.callerAddresses()})
	require.NoError(c.b, err)
	defer client.Close()
	rate := float64(startsPerSecond) / teams
	workloads := make([]demo.Workload, teams)
	for i := range workloads {
		workloads[i] = demo.Workload{
			Name: teamName(i), Service: "order-desk", Team: teamName(i), Requests: int(rate * loadDuration.Seconds()), RequestsPerSecond: rate,
			RunMS: 50, Deadline: 5 * time.Second, AnswerBytes: 200,
		}
	}
	before, began := c.readUsage(), time.Now()
	results, err := demo.Run(c.b.Context(), client, workloads, 1)
	require.NoError(c.b, err)
	took, after := time.Since(began), c.readUsage()
	wrong := 0
	var waits []time.Duration
	for i := range results {
		if results[i].Check(standin.ExpectedAnswer) != nil {
			wrong++
			continue
		}
		waits = append(waits, max(0, results[i].Latency-results[i].RunTime))
	}
	fmt.Println("outcomes:", demo.CountOutcomes(results))
	printFigure("load.rate", float64(len(results))/took.Seconds(), "starts/s")
	printFigure("load.wrong", float64(wrong), "requests")
	printFigure("load.wait.p50", quantile(waits, 0.5), "ms")
	printFigure("load.wait.p99", quantile(waits, 0.99), "ms")
	printFigure("load.cpu.mean", 100*meanIncrease(after.cpu, before.cpu).Seconds()/took.Seconds(), "%core")
	printFigure("load.memory.max", float64(slices.Max(after.memory))/(1<<20), "MiB")
}

// measureTakeover measures the time until all workers of a killed host have a holder
// again.
func (c *cell) measureTakeover() {
	held := c.metricValues("laburnumpass_workers_held")[0]
	began := time.Now()
	c.killHost(0)
	c.await("workers held again", func() bool { return c.metricSum("laburnumpass_workers_held") == plainWorkers+acceleratedWorkers })
	printFigure("takeover.workers", held, "workers")
	printFigure("takeover.all", float64(time.Since(began).Milliseconds()), "ms")
}

func (c *cell) await(what string, done func() bool) {
	c.b.Helper()
	ctx, cancel := context.WithTimeout(c.b.Context(), startTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			require.Fail(c.b, "timeout: "+what)
		case <-time.After(pollInterval):
		}
	}
}

// meanIncrease returns the mean of the differences between after and before.
func meanIncrease(after, before []time.Duration) time.Duration {
	total := time.Duration(0)
	for i := range after {
		total += after[i] - before[i]
	}
	return total / time.Duration(len(after))
}

// maxIncrease returns the largest difference between after and before.
func maxIncrease(after, before []time.Duration) time.Duration {
	out := time.Duration(0)
	for i := range after {
		out = max(out, after[i]-before[i])
	}
	return out
}

// quantile returns the q-quantile of list in milliseconds, 0 for an empty list. It
// sorts list.
func quantile(list []time.Duration, q float64) float64 {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return float64(list[min(len(list)-1, int(q*float64(len(list))))]) / float64(time.Millisecond)
}
