package jobs

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/platform"
)

// oddEntries returns registry entries as other writers may leave them. Each names the
// service, so that no host may drop it for that reason.
func oddEntries() map[string]string {
	entry := func(changes string) string {
		return fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:1","state":"ready","capacity":{"cpu":4000,"mem-mb":4096,"gpu":0},"labels":["kind","rack-0"],"born":1,%s}`, service, changes)
	}
	const depth = 100_000
	return map[string]string{
		"nested_value":     entry(`"extra":` + strings.Repeat(`{"a":`, depth) + `1` + strings.Repeat(`}`, depth)),
		"nested_labels":    entry(`"labels":` + strings.Repeat(`[`, depth) + strings.Repeat(`]`, depth)),
		"never_closed":     strings.Repeat(`[`, depth),
		"number_of_digits": entry(`"born":` + strings.Repeat("9", 400)),
		"exponent":         entry(`"capacity":{"cpu":1e400,"mem-mb":1,"gpu":0}`),
		"largest_capacity": entry(`"capacity":{"cpu":9223372036854775807,"mem-mb":9223372036854775807,"gpu":9223372036854775807}`),
		"negative":         entry(`"capacity":{"cpu":-9223372036854775808,"mem-mb":-1,"gpu":-1}`),
		"largest_born":     entry(`"born":9223372036854775807`),
		"port_too_large":   entry(`"address":"127.0.0.1:99999"`),
		"port_negative":    entry(`"address":"127.0.0.1:-1"`),
		"port_missing":     entry(`"address":"127.0.0.1"`),
		"address_is_text":  entry(`"address":"a b\r\nc:1"`),
	}
}

// Guards against hosts that end, or stop following the registry, because of one odd entry.
func TestOddRegistryEntries(t *testing.T) {
	for name, value := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeploymentWithoutHosts(t, 2)
			odd := store.Record{Key: "odd", Value: []byte(value)}
			d.appendRecord(platform.TopicWorkers, odd)
			d.startHosts(2, func(int) string { return d.storeAddress })
			started := []*process{d.process(0), d.process(1)}
			d.submit(jobID(1), twoSteps)
			d.awaitState(jobID(1), "completed")
			d.appendRecord(platform.TopicWorkers, odd)
			d.addWorker("later")
			d.submit(jobID(2), `{"spec":"p","steps":[{"count":2,"cpu":1000,"mem-mb":100,"requires":"rack-2"}]}`)
			d.awaitState(jobID(2), "completed")
			for _, p := range started {
				select {
				case <-p.exited:
					require.Fail(t, "a host has ended")
				default:
				}
			}
			require.Empty(t, d.recorder.Violations())
		})
	}
}
