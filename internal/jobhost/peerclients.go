package jobhost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/laburnumpass/laburnumpass/internal/jobsrpc"
)

const (
	// peerDialTimeout limits the time to connect to another entry host; the latency
	// between regions is 16 ms.
	peerDialTimeout = 300 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to another entry host is kept.
	peerIdleTimeout = time.Minute
	// maxIdlePeerConnections limits the idle connections to each other entry host.
	maxIdlePeerConnections = 8
)

// peerClientCache creates and caches the clients of the other entry hosts.
type peerClientCache struct {
	// onConnect is called before each new connection.
	onConnect func()
	mu        sync.Mutex
	byAddress map[string]*peerClient
}

// peerClient calls one other entry host over connections of its own.
type peerClient struct {
	jobsrpc.Jobs
	transport *http.Transport
}

func newPeerClients(onConnect func()) *peerClientCache {
	return &peerClientCache{onConnect: onConnect, byAddress: make(map[string]*peerClient)}
}

// client returns the client of the entry host at address.
func (p *peerClientCache) client(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.byAddress[address]
	if c == nil {
		dialer := &net.Dialer{Timeout: peerDialTimeout}
		c = &peerClient{transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				p.onConnect()
				return dialer.DialContext(ctx, network, address)
			},
			MaxIdleConnsPerHost: maxIdlePeerConnections, IdleConnTimeout: peerIdleTimeout,
			WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
		}}
		c.Jobs = jobsrpc.NewJobsProtobufClient("http://"+address, &http.Client{Transport: c.transport})
		p.byAddress[address] = c
	}
	return c
}

// closeIdle closes the idle connections to a host after a call without a reply: they may
// be broken too. Those to other hosts stay, since with many hosts it is opening them
// again that costs.
func (p *peerClientCache) closeIdle(address string) {
	p.client(address).transport.CloseIdleConnections()
}
