package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell/celltest"
	"github.com/laburnumpass/laburnumpass/internal/knownred"
	"github.com/laburnumpass/laburnumpass/internal/lead"
)

// Guards against runs that wait for the longest lease since nothing that is stored shows that they have no such one.
func TestRunsWithoutEvidenceOfAUsualLease(t *testing.T) {
	for name, play := range map[string]func(tc *testCluster, hosts *testHosts) (died time.Time){
		"the reply to the start is lost": func(tc *testCluster, _ *testHosts) time.Time {
			for n := range 10 {
				tc.worker(fmt.Sprintf("w%02d", n)).SetFault(func(call, _ string) celltest.Fault {
					if call == "start" {
						return celltest.DropReply
					}
					return celltest.NoFault
				})
			}
			tc.submit("a", longRunning(1))
			return tc.endWorkerOnceAllRun(1, 0)
		},
		"scheduler and worker end as the run begins": func(tc *testCluster, hosts *testHosts) time.Time {
			tc.submit("a", longRunning(1))
			died := tc.endWorkerOnceAllRun(1, 0)
			hosts.kill(hosts.holder)
			hosts.claim()
			return died
		},
		"the worker has restarted under its ID": func(tc *testCluster, hosts *testHosts) time.Time {
			for n := range 10 {
				tc.worker(fmt.Sprintf("w%02d", n)).Restart()
				tc.publish(fmt.Sprintf("w%02d", n))
			}
			time.Sleep(time.Second)
			tc.submit("a", longRunning(1))
			died := tc.endWorkerOnceAllRun(1, time.Second)
			hosts.kill(hosts.holder)
			hosts.claim()
			return died
		},
		"a host that the record does not name takes over": func(tc *testCluster, hosts *testHosts) time.Time {
			tc.submit("a", longRunning(1))
			hosts.mu.Lock()
			hosts.record.Witnesses = nil
			hosts.mu.Unlock()
			died := tc.endWorkerOnceAllRun(1, 100*time.Millisecond)
			hosts.restartDelay = func() time.Duration { return -1 }
			hosts.kill(hosts.holder)
			hosts.mu.Lock()
			hosts.record.Witnesses = []string{lead.WitnessName("host-9", "host-9")}
			hosts.mu.Unlock()
			hosts.claim()
			return died
		},
	} {
		t.Run(name, func(t *testing.T) {
			knownred.Skip(t, "../../KNOWN-RED.txt", "internal/pool")
			inSimulationWithLease(t, 10, platformMaxLease, func(t *testing.T, tc *testCluster) {
				hosts := newTestHosts(tc, rand.New(rand.NewPCG(1, 1)), t.Logf)
				hosts.mu.Lock()
				hosts.undisturbed = true
				hosts.mu.Unlock()
				hosts.restartDelay = func() time.Duration { return restartDelay }
				tc.waitFor("the scheduler has loaded its state", tc.loaded)
				time.Sleep(time.Second)
				died := play(tc, hosts)
				tc.waitFor("the task runs again", func() bool { return len(tc.running("a")) == 1 })
				require.Less(t, time.Since(died), lostAfter)
			})
		})
	}
}

// endWorkerOnceAllRun ends a worker of job a once all of its tasks have run for age.
func (tc *testCluster) endWorkerOnceAllRun(tasks int, age time.Duration) (died time.Time) {
	for len(tc.running("a")) < tasks {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(age)
	tc.dieSilently(tc.workersOf("a")[0])
	return time.Now()
}
