package e2e

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/operator"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// links are the relays between failure domains and to the platform, by the
// failure domains that they connect. The platform's log is the domain "".
type links struct {
	t      *testing.T
	relays map[[2]string][]*standin.LinkRelay
}

// hostList stands for the domain of the platform's host list.
const hostList = "host-list"

// newLinks puts a relay into every link that leaves a failure domain.
func newLinks(t *testing.T) *links {
	return &links{t: t, relays: make(map[[2]string][]*standin.LinkRelay)}
}

// adjust changes the settings of all hosts to go through relays.
func (l *links) adjust(all []settings.Settings) {
	for i := range all {
		s := &all[i]
		self, _ := s.Self()
		hosts := make([]settings.EntryHost, len(s.EntryHosts))
		copy(hosts, s.EntryHosts)
		for j, h := range hosts {
			if h.FailureDomain != self.FailureDomain {
				hosts[j].PeerAddress = l.relay(self.FailureDomain, h.FailureDomain, h.PeerAddress)
			}
		}
		s.EntryHosts = hosts
		s.Platform.Log = l.relay(self.FailureDomain, "", s.Platform.Log)
		s.Platform.HostList = l.relay(self.FailureDomain, hostList, s.Platform.HostList)
	}
}

func (l *links) relay(from, to, target string) string {
	r, err := standin.NewLinkRelay(target)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = r.Close() })
	l.relays[[2]string{from, to}] = append(l.relays[[2]string{from, to}], r)
	return r.Address()
}

// cut separates a failure domain from all others and from the platform's
// services; its own workers stay reachable.
func (l *links) cut(domain string) {
	l.each(domain, (*standin.LinkRelay).Cut)
}

func (l *links) heal(domain string) {
	l.each(domain, (*standin.LinkRelay).Heal)
}

func (l *links) each(domain string, do func(*standin.LinkRelay)) {
	for pair, relays := range l.relays {
		if pair[0] != domain && pair[1] != domain {
			continue
		}
		for _, r := range relays {
			do(r)
		}
	}
}

// delayHostList delays the link from a failure domain to the host list, one
// way.
func (l *links) delayHostList(domain string, d time.Duration) {
	for _, r := range l.relays[[2]string{domain, hostList}] {
		r.SetDelay(d)
	}
}

// operator calls the operators' API of one host.
func (c *cluster) operator(s settings.Settings, method, path string, body, into any) {
	c.t.Helper()
	require.NoError(c.t, c.tryOperator(s, method, path, body, into))
}

func (c *cluster) tryOperator(s settings.Settings, method, path string, body, into any) error {
	return call(s.Listen.Operators, s.OperatorToken, method, path, body, into)
}

// offset returns the configuration offset that a host has applied.
func (c *cluster) offset(s settings.Settings) uint64 {
	var hosts []operator.HostStatus
	if c.tryOperator(s, http.MethodGet, "/v1/hosts", nil, &hosts) != nil {
		return 0
	}
	for _, h := range hosts {
		if h.Name == s.Host {
			return h.ConfigOffset
		}
	}
	return 0
}

// awaitOffset waits until a host has applied an offset.
func (c *cluster) awaitOffset(s settings.Settings, offset uint64, limit time.Duration) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.offset(s) >= offset }, limit, 10*time.Millisecond,
		"host %s has not applied offset %d", s.Host, offset)
}

// publish changes the weight of a quota and returns the report.
func (c *cluster) publish(s settings.Settings, id string, basedOn uint64, weight int) operator.PublishReport {
	c.t.Helper()
	value, err := json.Marshal(map[string]int{"slots": 300, "weight": weight})
	require.NoError(c.t, err)
	var report operator.PublishReport
	c.operator(s, http.MethodPost, "/v1/publish", map[string]any{
		"publish_id": id, "kind": "quota", "name": "sales", "based_on": basedOn, "value": json.RawMessage(value), "author": "test",
	}, &report)
	return report
}
