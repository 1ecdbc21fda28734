// Package dev runs a small cell on loopback ports: stand-ins for the platform's
// services and, if needed, entry hosts in the same process.
package dev

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/settings"
	"github.com/laburnumpass/laburnumpass/internal/standin"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// anyLoopbackPort is the address for a loopback port that the system chooses.
const anyLoopbackPort = "127.0.0.1:0"

// operatorToken authorizes operators of development cells.
const operatorToken = "development-token"

// Platform is a set of stand-ins served over HTTP: a log, a host list and
// workers.
type Platform struct {
	Log      *standin.Log
	HostList *standin.HostList
	// Workers are in the order in which they were passed to StartPlatform.
	Workers []*standin.Worker

	LogAddress      string
	HostListAddress string

	logServer, hostListServer *restartableServer
	servers                   []*standin.Server
	networks                  []*Network
}

// StartPlatform serves stand-ins for the log, the host list and the given
// workers on loopback ports that the system chooses. It sets the address of each
// worker.
func StartPlatform(workers []worker.Info, options standin.WorkerOptions) (*Platform, error) {
	return StartPlatformAt(anyLoopbackPort, anyLoopbackPort, workers, options)
}

// StartPlatformAt serves the log and the host list at the given addresses, and
// the workers on loopback ports that the system chooses. It returns an error if
// it can't listen on one of them.
func StartPlatformAt(logAddress, hostListAddress string, workers []worker.Info, options standin.WorkerOptions) (*Platform, error) {
	p := &Platform{
		Log:      standin.NewLog(standin.LogOptions{}),
		HostList: standin.NewHostList(standin.HostListOptions{}),
	}
	p.logServer = &restartableServer{name: "log", serve: func(a string) (*standin.Server, error) { return standin.ServeLog(p.Log, a) }}
	p.hostListServer = &restartableServer{name: "host list", serve: func(a string) (*standin.Server, error) { return standin.ServeHostList(p.HostList, a) }}
	var err error
	if p.LogAddress, err = p.logServer.start(logAddress); err != nil {
		return nil, err
	}
	if p.HostListAddress, err = p.hostListServer.start(hostListAddress); err != nil {
		p.Close()
		return nil, err
	}
	for _, info := range workers {
		if err := p.addWorker(info, options); err != nil {
			p.Close()
			return nil, err
		}
	}
	return p, nil
}

// ToggleLog simulates the start or the end of a log outage: it stops serving the
// log, or serves it again at the same address with the same records. It reports
// whether the log is served now.
func (p *Platform) ToggleLog() (bool, error) { return p.logServer.toggle() }

// ToggleHostList does the same as ToggleLog for the host list.
func (p *Platform) ToggleHostList() (bool, error) { return p.hostListServer.toggle() }

func (p *Platform) addWorker(info worker.Info, options standin.WorkerOptions) error {
	w := standin.NewWorker(info, options)
	server, err := standin.ServeWorker(w, anyLoopbackPort)
	if err != nil {
		return errors.Wrapf(err, "serve worker %s", info.Name)
	}
	p.servers = append(p.servers, server)
	p.Workers = append(p.Workers, w)
	p.HostList.Set(w.Info())
	return nil
}

// Publish appends the records of the configuration set to the log.
func (p *Platform) Publish(set contract.ObjectSet) error {
	records, err := contract.Diff(contract.EmptyConfiguration(), set)
	if err != nil {
		return errors.Wrap(err, "compute configuration records")
	}
	for i, r := range records {
		r.PublishID = fmt.Sprintf("sample-%d", i)
		r.Author = "dev"
		data, err := r.Encode()
		if err != nil {
			return errors.Wrap(err, "encode configuration record")
		}
		if _, err := p.Log.Append(context.Background(), data); err != nil {
			return errors.Wrap(err, "append configuration record to the log")
		}
	}
	return nil
}

// Journals returns the journals of all workers.
func (p *Platform) Journals() []*standin.Journal {
	journals := make([]*standin.Journal, len(p.Workers))
	for i, w := range p.Workers {
		journals[i] = w.Journal()
	}
	return journals
}

// Close stops all servers and releases the entry hosts' networks.
func (p *Platform) Close() {
	p.logServer.stop()
	p.hostListServer.stop()
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, n := range p.networks {
		n.Release()
	}
}

// WorkerLayout describes the workers of one deployment: how many there are of
// each kind, the size of the plain ones and the workers per rack.
type WorkerLayout struct {
	// Plain is the number of workers without accelerators, Accelerated the number
	// of workers with eight.
	Plain, Accelerated               int
	PlainCores, PlainMemoryGiB       int64
	PlainPerRack, AcceleratedPerRack int
}

// OrderDesk is the worker layout of the order desk's deployment: 35 workers with
// 32 cores and 64 GiB, five per rack, and 13 with 64 cores, 128 GiB and 8
// accelerators, three per rack.
var OrderDesk = WorkerLayout{Plain: 35, Accelerated: 13, PlainCores: 32, PlainMemoryGiB: 64, PlainPerRack: 5, AcceleratedPerRack: 3}

// SparesDesk is the worker layout of the spares desk's deployment. Its plain
// workers have 64 cores and 128 GiB.
var SparesDesk = WorkerLayout{Plain: 35, Accelerated: 13, PlainCores: 64, PlainMemoryGiB: 128, PlainPerRack: 5, AcceleratedPerRack: 3}

const (
	slotsPerWorker       = 8
	connectionsPerWorker = 64
	mebibytesPerGibibyte = 1024
)

// Workers returns the workers of the layout. The racks are assigned to the
// failure domains in turn.
func (l WorkerLayout) Workers(domains []FailureDomain) []worker.Info {
	var out []worker.Info
	add := func(kind string, count, perRack int, size worker.Resources) {
		for i := range count {
			rack := i / perRack
			d := domains[rack%len(domains)]
			out = append(out, worker.Info{
				Name:          fmt.Sprintf("%s-%02d", kind, i+1),
				Region:        d.Region,
				FailureDomain: d.Name,
				Rack:          fmt.Sprintf("%s-rack-%d", kind, rack+1),
				Capacity:      worker.Capacity{Resources: size, Slots: slotsPerWorker, Connections: connectionsPerWorker},
			})
		}
	}
	add("plain", l.Plain, l.PlainPerRack, worker.Resources{
		MilliCPU: l.PlainCores * 1000, MemoryMiB: l.PlainMemoryGiB * mebibytesPerGibibyte,
	})
	add("accelerated", l.Accelerated, l.AcceleratedPerRack, worker.Resources{
		MilliCPU: 64_000, MemoryMiB: 128 * mebibytesPerGibibyte, Accelerators: 8,
	})
	return out
}

// FailureDomain is a failure domain of a development cell.
type FailureDomain struct {
	Name   string
	Region string
	// EntryHosts is the number of entry hosts in the domain.
	EntryHosts int
}

// NewFailureDomains returns failure domains with the given numbers of entry
// hosts, two domains per region. Both sample deployments, the order desk's and the
// spares desk's, have three domains in two regions.
func NewFailureDomains(entryHosts ...int) []FailureDomain {
	out := make([]FailureDomain, len(entryHosts))
	for i, n := range entryHosts {
		out[i] = FailureDomain{
			Name: "fd-" + string(rune('a'+i)), Region: "region-" + string(rune('1'+i/2)), EntryHosts: n,
		}
	}
	return out
}

// FailureDomainsOf returns the failure domains of the given entry hosts, in the
// order of their first occurrence.
func FailureDomainsOf(hosts []settings.EntryHost) []FailureDomain {
	var out []FailureDomain
	for _, h := range hosts {
		i := slices.IndexFunc(out, func(d FailureDomain) bool { return d.Name == h.FailureDomain })
		if i < 0 {
			i = len(out)
			out = append(out, FailureDomain{Name: h.FailureDomain, Region: h.Region})
		}
		out[i].EntryHosts++
	}
	return out
}

// Settings returns the settings of each entry host of a cell. The hosts get
// loopback addresses that no other cell on this machine uses until Close. It
// returns an error if there are more than maxHosts entry hosts or no network is
// free.
func (p *Platform) Settings(domains []FailureDomain) ([]settings.Settings, error) {
	network, err := ClaimNetwork()
	if err != nil {
		return nil, err
	}
	p.networks = append(p.networks, network)
	var hosts []settings.EntryHost
	for _, d := range domains {
		for i := range d.EntryHosts {
			hosts = append(hosts, settings.EntryHost{
				Name: fmt.Sprintf("%s-%d", d.Name, i+1), Region: d.Region, FailureDomain: d.Name,
				PeerAddress: network.Address(len(hosts), peersPort),
			})
		}
	}
	if len(hosts) > maxHosts {
		return nil, errors.Errorf("a development cell has %d entry hosts, at most %d are supported", len(hosts), maxHosts)
	}
	hostSettings := make([]settings.Settings, len(hosts))
	for i, h := range hosts {
		s := settings.Default()
		s.Host = h.Name
		s.EntryHosts = hosts
		s.Listen.Peers = h.PeerAddress
		s.Listen.Callers = network.Address(i, callersPort)
		s.Listen.Operators = network.Address(i, operatorsPort)
		s.Platform.Log = p.LogAddress
		s.Platform.LogRegion = domains[0].Region
		s.Platform.HostList = p.HostListAddress
		s.OperatorToken = operatorToken
		hostSettings[i] = s
	}
	return hostSettings, nil
}
