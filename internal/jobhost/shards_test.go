package jobhost

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/testr"
	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/cell"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/internal/store/storetest"
	"github.com/laburnumpass/laburnumpass/platform"
)

// storeWithWorkers returns a store whose registry has workers of a service, and one
// entry of another writer.
func storeWithWorkers(t *testing.T, workers int) *storetest.Memory {
	m := &storetest.Memory{Latency: 4 * time.Millisecond}
	records := []store.Record{{Key: "odd", Value: []byte("{")}}
	for n := range workers {
		value, err := json.Marshal(map[string]any{"service": "desk", "address": "10.0.0.1:1", "state": "ready", "capacity": map[string]int{"cpu": 1}})
		require.NoError(t, err)
		records = append(records, store.Record{Key: fmt.Sprint("w", n), Value: value})
	}
	_, err := m.Append(t.Context(), store.Append{Topic: platform.TopicWorkers, Records: records})
	require.NoError(t, err)
	return m
}

// Guards against hosts that disagree about the number of shards, which would give a
// job two schedulers, and against many hosts that all read the whole registry.
func TestHostsAgreeOnShards(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(begin time.Time) func(call, topic string) storetest.Fault
		lost  bool
	}{
		{"all is well", nil, false},
		{"the store refuses at first", func(begin time.Time) func(string, string) storetest.Fault {
			return func(string, string) storetest.Fault {
				if time.Since(begin) < 2*time.Second {
					return storetest.Refuse
				}
				return storetest.NoFault
			}
		}, false},
		{"replies to appends are lost", func(begin time.Time) func(string, string) storetest.Fault {
			return func(call, _ string) storetest.Fault {
				if call == "append" && time.Since(begin) < 5*time.Second {
					return storetest.DropReply
				}
				return storetest.NoFault
			}
		}, false},
		{"the host that decides is lost", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hosts, workers, perShard, shards = 40, 300, 100, 3
				m := storeWithWorkers(t, workers)
				registryReads := 0
				var mu sync.Mutex
				fault := func(string, string) storetest.Fault { return storetest.NoFault }
				if c.fault != nil {
					fault = c.fault(time.Now())
				}
				m.SetFault(func(call, topic string) storetest.Fault {
					mu.Lock()
					defer mu.Unlock()
					if topic == platform.TopicWorkers {
						registryReads++
					}
					return fault(call, topic)
				})
				if c.lost {
					_, err := m.Append(t.Context(), store.Append{Topic: topicShards, Records: []store.Record{{Key: "desk", Value: []byte(`{"decided_by":"gone"}`)}}})
					require.NoError(t, err)
				}
				var all sync.WaitGroup
				directories := make([]*shardDirectory, hosts)
				for n := range directories {
					directories[n] = newShardDirectory(m, fmt.Sprint("host-", n), perShard, testr.New(t))
					all.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
						defer cancel()
						require.NoError(t, directories[n].learn(ctx, "desk"))
					})
				}
				all.Wait()
				for _, d := range directories {
					require.Len(t, d.all("desk"), shards)
				}
				const pagesPerRead = workers/50 + 1
				require.LessOrEqual(t, registryReads, 2*pagesPerRead*int(1+workerSettleTime/workerCountInterval), "few hosts read the registry")
			})
		})
	}
}

// Guards against shards that stay unknown since the deciding host reads too slowly.
func TestLargeRegistryIsCountedOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeWithWorkers(t, 1000)
		m.Latency = 75 * time.Millisecond // for each of 21 pages
		d := newShardDirectory(m, "host", 100, testr.New(t))
		ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
		defer cancel()
		require.NoError(t, d.learn(ctx, "desk"))
		require.Len(t, d.all("desk"), 10)
	})
}

// A record that cannot be valid must not become the number of shards.
func TestInvalidShardRecord(t *testing.T) {
	m := &storetest.Memory{}
	for _, value := range []string{"garbage", `{"count":-1}`, `{"count":1000}`} {
		_, err := m.Append(t.Context(), store.Append{Topic: topicShards, Records: []store.Record{{Key: "desk", Value: []byte(value)}}})
		require.NoError(t, err)
		_, _, err = newShardDirectory(m, "h", 1, testr.New(t)).read(t.Context(), "desk")
		require.ErrorContains(t, err, "desk", value)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, ok := newShardDirectory(m, "h", 1, testr.New(t)).ofJob(ctx, "desk", "5c0e7a21d94b36f8")
	require.False(t, ok, "the shard of a job is unknown before the number of shards")
}

// Guards against too few shards because a host counts the workers while they register:
// on a deployment of 350 workers it saw 157 of them.
func TestWorkersAreCountedOnceAllHaveRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeWithWorkers(t, 0)
		go func() {
			for n := range 300 {
				value := fmt.Sprintf(`{"service":"desk","address":"10.0.0.1:1","state":"ready","capacity":{"cpu":%d}}`, n)
				_, err := m.Append(context.Background(), store.Append{Topic: platform.TopicWorkers, Records: []store.Record{{Key: fmt.Sprint("w", n), Value: []byte(value)}}})
				require.NoError(t, err)
				time.Sleep(10 * time.Millisecond)
			}
		}()
		d := newShardDirectory(m, "h", 100, testr.New(t))
		require.NoError(t, d.learn(t.Context(), "desk"))
		require.Len(t, d.all("desk"), 3)
	})
}

// Guards against hosts that are not ready for a while after each restart: a number that
// is decided must be known after one read.
func TestDecidedNumberIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := storeWithWorkers(t, 0)
		_, err := m.Append(t.Context(), store.Append{Topic: topicShards, Records: []store.Record{{Key: "desk", Value: []byte(`{"count":3,"decided_by":"gone"}`)}}})
		require.NoError(t, err)
		d := newShardDirectory(m, "h", 100, testr.New(t))
		begin := time.Now()
		require.NoError(t, d.learn(t.Context(), "desk"))
		require.LessOrEqual(t, time.Since(begin), 10*time.Millisecond)
		require.Len(t, d.all("desk"), 3)
	})
}

// Guards against hosts that are not ready for long after the first start: the decisions
// about several services share a topic, and each made the others start anew.
func TestDecisionsAboutSeveralServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 20
		m := storeWithWorkers(t, 300)
		services := []string{"desk", "vision", "scan", "watch"}
		begin := time.Now()
		var all sync.WaitGroup
		for n := range hosts {
			d := newShardDirectory(m, fmt.Sprint("host-", n), 100, testr.New(t))
			for _, service := range services {
				all.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					require.NoError(t, d.learn(ctx, service))
				})
			}
		}
		all.Wait()
		require.Less(t, time.Since(begin), maxWorkerWait+2*time.Second)
	})
}

// Guards against hosts that all become unready when the configuration adds a service,
// whose shards take seconds to be decided.
func TestNewServiceKeepsTheHostReady(t *testing.T) {
	settings := validSettings()
	h := New(&settings, testr.New(t))
	configure := func(version int, services ...string) {
		c := &cell.Configuration{Version: int64(version), Services: make(map[string]cell.Service)}
		for _, name := range services {
			c.Services[name] = cell.Service{Name: name}
		}
		h.config.current = c
	}
	configure(1, "desk")
	require.Contains(t, h.notReadyReason(), "desk")
	h.shards.counts["desk"] = 1
	require.Empty(t, h.notReadyReason())
	configure(2, "desk", "vision")
	require.Empty(t, h.notReadyReason())
}
