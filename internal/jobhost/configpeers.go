package jobhost

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
	"github.com/laburnumpass/laburnumpass/internal/store"
	"github.com/laburnumpass/laburnumpass/platform"
)

const (
	// maxConfigurationPeers bounds the hosts that are asked for one version. Each may
	// take configFetchTimeout, so that a host learns a version within 2.9 s: up to 0.9 s
	// until its next Join call with 45 hosts, 0.4 s for that call, and three hosts.
	maxConfigurationPeers = 3
	configFetchTimeout    = 500 * time.Millisecond
)

// catchUp brings the configuration to a version that another host uses. address is that
// of the other host, empty if it is not known. If the store does not answer this host,
// other hosts are asked in the background.
func (h *Host) catchUp(ctx context.Context, version int64, address string) {
	if h.config.catchUp(ctx, version) != nil {
		go h.fetchConfiguration(version, address)
	}
}

// fetchConfiguration asks other hosts for a version of the configuration, first the one
// at address.
func (h *Host) fetchConfiguration(version int64, address string) {
	if !h.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer h.fetchingConfig.Store(false)
	addresses := slices.DeleteFunc(h.knownHosts.addresses(), func(a string) bool { return a == address || a == h.self.Address })
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	if address != "" {
		addresses = slices.Insert(addresses, 0, address)
	}
	for _, a := range addresses[:min(len(addresses), maxConfigurationPeers)] {
		if h.config.version() >= version {
			return
		}
		if err := h.fetchConfigurationFrom(a); err != nil {
			h.log.Info("host did not pass the configuration on", "address", a, "error", err.Error())
		}
	}
}

func (h *Host) fetchConfigurationFrom(address string) error {
	ctx, cancel := context.WithTimeout(h.callerCalls, configFetchTimeout)
	defer cancel()
	reply, err := h.peerClients.client(address).Configuration(ctx, &jobsrpc.ConfigurationRequest{NewerThan: h.config.version()})
	if err != nil {
		return errors.Wrap(err, "request the configuration")
	}
	if len(reply.Record) > 0 && h.config.learn(reply.Record) {
		h.log.Info("configuration learned from another host", "version", h.config.version(), "address", address)
	}
	return nil
}

// Configuration implements jobsrpc.Jobs. It reads from the store, since the record
// contains API keys, which no host keeps.
func (s peerServer) Configuration(ctx context.Context, r *jobsrpc.ConfigurationRequest) (*jobsrpc.ConfigurationReply, error) {
	record, err := s.host.config.readNewest(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if s.host.config.version() <= r.NewerThan {
		return &jobsrpc.ConfigurationReply{}, nil
	}
	return &jobsrpc.ConfigurationReply{Record: record}, nil
}

// readNewest reads the newest configuration from the store, puts it in force, and
// returns the value of its record. Calls at the same time share one read, so that many
// hosts that ask at once cost the store no more than one.
func (c *configFollower) readNewest(ctx context.Context) ([]byte, error) {
	value, err, _ := c.newestReads.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), configFetchTimeout)
		defer cancel()
		records, _, err := store.ReadAllCompacted(ctx, c.store, platform.TopicOperator)
		if err != nil {
			return []byte(nil), err
		}
		for _, r := range records {
			if r.Key == platform.KeyConfiguration {
				c.learn(r.Value)
				return r.Value, nil
			}
		}
		return []byte(nil), nil
	})
	return value.([]byte), err
}

// learn puts the value of a configuration's record in force unless it is invalid or not
// newer, and reports whether it did. It does not count as a read of the store.
func (c *configFollower) learn(value []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.current
	c.apply(store.Record{Key: platform.KeyConfiguration, Value: value})
	return c.current != before
}
