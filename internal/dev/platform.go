// Package dev runs a small cell on loopback ports: stand-ins of the platform's
// services and, for the dev command, entry hosts in the same process.
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

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// token is the operator token of development cells.
const token = "development-token"

// Platform is a set of served stand-ins.
type Platform struct {
	Log      *standin.Log
	HostList *standin.HostList
	// Workers are in the order of their names.
	Workers []*standin.Worker

	LogAddress      string
	HostListAddress string

	log, hostList *service
	servers       []*standin.Server
	networks      []*Network
}

// StartPlatform serves stand-ins of the log, the host list and the given
// workers on loopback ports that the system chooses. Each worker's address is
// filled in.
func StartPlatform(workers []worker.Info, options standin.WorkerOptions) (*Platform, error) {
	return StartPlatformAt(loopback, loopback, workers, options)
}

// StartPlatformAt serves the log and the host list at the given addresses, and
// the workers on loopback ports that the system chooses. It returns an error if
// a port can't be opened.
func StartPlatformAt(logAddress, hostListAddress string, workers []worker.Info, options standin.WorkerOptions) (*Platform, error) {
	p := &Platform{
		Log:      standin.NewLog(standin.LogOptions{}),
		HostList: standin.NewHostList(standin.HostListOptions{}),
	}
	p.log = &service{name: "log", serve: func(a string) (*standin.Server, error) { return standin.ServeLog(p.Log, a) }}
	p.hostList = &service{name: "host list", serve: func(a string) (*standin.Server, error) { return standin.ServeHostList(p.HostList, a) }}
	var err error
	if p.LogAddress, err = p.log.start(logAddress); err != nil {
		return nil, err
	}
	if p.HostListAddress, err = p.hostList.start(hostListAddress); err != nil {
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

// ToggleLog closes the log's port, or opens it again at the same address with
// the records that it had. It reports whether the log is served now.
func (p *Platform) ToggleLog() (bool, error) { return p.log.toggle() }

// ToggleHostList does the same for the host list.
func (p *Platform) ToggleHostList() (bool, error) { return p.hostList.toggle() }

func (p *Platform) addWorker(info worker.Info, options standin.WorkerOptions) error {
	w := standin.NewWorker(info, options)
	server, err := standin.ServeWorker(w, loopback)
	if err != nil {
		return errors.Wrapf(err, "serve worker %s", info.Name)
	}
	p.servers = append(p.servers, server)
	p.Workers = append(p.Workers, w)
	p.HostList.Set(w.Info())
	return nil
}

// Publish appends the sample configuration to the log.
func (p *Platform) Publish(set contract.Set) error {
	records, err := contract.Diff(contract.Empty(), set)
	if err != nil {
		return errors.Wrap(err, "compare configuration")
	}
	for i, r := range records {
		r.PublishID = fmt.Sprintf("sample-%d", i)
		r.Author = "dev"
		data, err := r.Encode()
		if err != nil {
			return errors.Wrap(err, "encode record")
		}
		if _, err := p.Log.Append(context.Background(), data); err != nil {
			return errors.Wrap(err, "append record")
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

// Close stops all servers and gives the entry hosts' addresses back.
func (p *Platform) Close() {
	p.log.stop()
	p.hostList.stop()
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, n := range p.networks {
		n.Release()
	}
}

// WorkerLayout describes the workers of one deployment.
type WorkerLayout struct {
	// Plain workers have no accelerators, Accelerated ones have eight.
	Plain, Accelerated               int
	PlainCores, PlainMemoryGiB       int64
	PlainPerRack, AcceleratedPerRack int
}

// OrderDesk is the co-operative's shape: 35 runners of 32 cores and 64 GB, five
// a rack, and 13 of 64 cores, 128 GB and 8 accelerators, three a rack.
var OrderDesk = WorkerLayout{Plain: 35, Accelerated: 13, PlainCores: 32, PlainMemoryGiB: 64, PlainPerRack: 5, AcceleratedPerRack: 3}

// SparesDesk is the régie's shape.
var SparesDesk = WorkerLayout{Plain: 35, Accelerated: 13, PlainCores: 64, PlainMemoryGiB: 128, PlainPerRack: 5, AcceleratedPerRack: 3}

const (
	slotsPerWorker       = 8
	connectionsPerWorker = 64
	mebibytesPerGibibyte = 1024
)

// Workers returns the workers of a shape, rack by rack over the failure
// domains.
func (s WorkerLayout) Workers(domains []FailureDomain) []worker.Info {
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
	add("plain", s.Plain, s.PlainPerRack, worker.Resources{
		MilliCPU: s.PlainCores * 1000, MemoryMiB: s.PlainMemoryGiB * mebibytesPerGibibyte,
	})
	add("accelerated", s.Accelerated, s.AcceleratedPerRack, worker.Resources{
		MilliCPU: 64_000, MemoryMiB: 128 * mebibytesPerGibibyte, Accelerators: 8,
	})
	return out
}

// FailureDomain is a failure domain of a development cell.
type FailureDomain struct {
	Name   string
	Region string
	// EntryHosts is the number of entry hosts.
	EntryHosts int
}

// NewFailureDomains are failure domains with the given numbers of entry hosts, two in
// each region. Three of them in two regions are what both users have.
func NewFailureDomains(entryHosts ...int) []FailureDomain {
	out := make([]FailureDomain, len(entryHosts))
	for i, n := range entryHosts {
		out[i] = FailureDomain{
			Name: "fd-" + string(rune('a'+i)), Region: "region-" + string(rune('1'+i/2)), EntryHosts: n,
		}
	}
	return out
}

// FailureDomainsOf returns the failure domains of the given entry hosts, in the order
// in which they are first named.
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

// Settings returns the settings of each entry host of a cell on loopback
// addresses that no other cell of this machine has until Close. It returns an
// error if there are too many entry hosts or no network is free.
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
		return nil, errors.Errorf("%d entry hosts, at most %d have an address", len(hosts), maxHosts)
	}
	all := make([]settings.Settings, len(hosts))
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
		s.OperatorToken = token
		all[i] = s
	}
	return all, nil
}
