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

// links contains the relays between failure domains and to the platform's services.
type links struct {
	t *testing.T
	// relays are the relays by the source and the target failure domain. The target
	// of the platform's log is "", that of its host list is hostList.
	relays map[[2]string][]*standin.LinkRelay
}

// hostList is the key of the platform's host list in links.relays.
const hostList = "host-list"

// newLinks returns links without relays; insertRelays adds them.
func newLinks(t *testing.T) *links {
	return &links{t: t, relays: make(map[[2]string][]*standin.LinkRelay)}
}

// insertRelays starts a relay for every link that leaves a failure domain and
// changes the settings of all hosts to use it.
func (l *links) insertRelays(hostSettings []settings.Settings) {
	for i := range hostSettings {
		s := &hostSettings[i]
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

// relay starts a relay to target and returns its address.
func (l *links) relay(from, to, target string) string {
	r, err := standin.NewLinkRelay(target)
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = r.Close() })
	l.relays[[2]string{from, to}] = append(l.relays[[2]string{from, to}], r)
	return r.Address()
}

// isolate cuts the links between a failure domain, all others and the platform's
// services. The domain's own workers stay reachable.
func (l *links) isolate(domain string) {
	l.forEachRelay(domain, (*standin.LinkRelay).Cut)
}

func (l *links) heal(domain string) {
	l.forEachRelay(domain, (*standin.LinkRelay).Heal)
}

// forEachRelay calls do with every relay from or to a failure domain.
func (l *links) forEachRelay(domain string, do func(*standin.LinkRelay)) {
	for pair, relays := range l.relays {
		if pair[0] != domain && pair[1] != domain {
			continue
		}
		for _, r := range relays {
			do(r)
		}
	}
}

// delayHostList delays the link from a failure domain to the host list by d in
// each direction.
func (l *links) delayHostList(domain string, d time.Duration) {
	for _, r := range l.relays[[2]string{domain, hostList}] {
		r.SetDelay(d)
	}
}

// callOperatorAPI calls the operator API of one host and requires success.
func (c *cluster) callOperatorAPI(s settings.Settings, method, path string, body, into any) {
	c.t.Helper()
	require.NoError(c.t, c.tryOperatorAPI(s, method, path, body, into))
}

func (c *cluster) tryOperatorAPI(s settings.Settings, method, path string, body, into any) error {
	return callJSON(s.Listen.Operators, s.OperatorToken, method, path, body, into)
}

// configOffset returns the configuration offset that a host has applied, 0 if the
// host does not report one.
func (c *cluster) configOffset(s settings.Settings) uint64 {
	var hosts []operator.HostStatus
	if c.tryOperatorAPI(s, http.MethodGet, "/v1/hosts", nil, &hosts) != nil {
		return 0
	}
	for _, h := range hosts {
		if h.Name == s.Host {
			return h.ConfigOffset
		}
	}
	return 0
}

// awaitConfigOffset waits until a host has applied an offset.
func (c *cluster) awaitConfigOffset(s settings.Settings, offset uint64, limit time.Duration) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.configOffset(s) >= offset }, limit, 10*time.Millisecond,
		"host %s has not applied offset %d", s.Host, offset)
}

// publishSalesQuota changes the weight of the quota of the team "sales" through one
// host and returns the report.
func (c *cluster) publishSalesQuota(s settings.Settings, id string, basedOn uint64, weight int) operator.PublishReport {
	c.t.Helper()
	value, err := json.Marshal(map[string]int{"slots": 300, "weight": weight})
	require.NoError(c.t, err)
	var report operator.PublishReport
	c.callOperatorAPI(s, http.MethodPost, "/v1/publish", map[string]any{
		"publish_id": id, "kind": "quota", "name": "sales", "based_on": basedOn, "value": json.RawMessage(value), "author": "test",
	}, &report)
	return report
}
