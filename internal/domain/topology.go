// Package domain models failure domains: their entry hosts, which of these are
// live, which host is the record keeper of a request, and which host holds the
// lease of a worker.
package domain

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Host is an entry host as listed in the settings.
type Host struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// PeerAddress is the IP address and port on which the host serves its peers.
	PeerAddress string `json:"peer_address"`
}

// Topology is the static list of all entry hosts. It is the same on every host
// except for Self.
type Topology struct {
	// Self is the name of the host that this process runs on.
	Self  string `json:"self"`
	Hosts []Host `json:"hosts"`
}

// Validate returns an error if the name, failure domain or region of a host is
// empty, if a host is listed twice, if Self is not listed, or if a failure domain
// has hosts in two regions.
func (t Topology) Validate() error {
	names := make(map[string]bool, len(t.Hosts))
	regions := make(map[string]string)
	for _, h := range t.Hosts {
		if h.Name == "" || h.FailureDomain == "" || h.Region == "" {
			return errors.Errorf("entry host %q must have a name, a failure domain and a region", h.Name)
		}
		if names[h.Name] {
			return errors.Errorf("entry host %s is listed twice", h.Name)
		}
		names[h.Name] = true
		if r, ok := regions[h.FailureDomain]; ok && r != h.Region {
			return errors.Errorf("failure domain %s is listed in regions %s and %s", h.FailureDomain, r, h.Region)
		}
		regions[h.FailureDomain] = h.Region
	}
	if !names[t.Self] {
		return errors.Errorf("this entry host, %q, is not in the list of entry hosts", t.Self)
	}
	return nil
}

// Host returns the entry host with that name, and false if it is not listed.
func (t Topology) Host(name string) (Host, bool) {
	for _, h := range t.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// SelfHost returns the host that this process runs on.
func (t Topology) SelfHost() Host {
	h, _ := t.Host(t.Self)
	return h
}

// HostsIn returns the names of the entry hosts of a failure domain, sorted.
func (t Topology) HostsIn(failureDomain string) []string {
	var names []string
	for _, h := range t.Hosts {
		if h.FailureDomain == failureDomain {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}

// FailureDomains returns all failure domains, sorted.
func (t Topology) FailureDomains() []string {
	var names []string
	for _, h := range t.Hosts {
		names = append(names, h.FailureDomain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RegionOf returns the region of a failure domain, empty if it is unknown.
func (t Topology) RegionOf(failureDomain string) string {
	for _, h := range t.Hosts {
		if h.FailureDomain == failureDomain {
			return h.Region
		}
	}
	return ""
}

// HomeDomain returns the home failure domain of a request ID. It is the part of the
// ID before the first slash if that names a failure domain, and otherwise the first
// of all failure domains in the settings in rendezvous order. It does not depend on
// which hosts are live, so the home of an ID never changes.
func HomeDomain(t Topology, id string) string {
	domains := t.FailureDomains()
	if prefix, _, ok := strings.Cut(id, "/"); ok && slices.Contains(domains, prefix) {
		return prefix
	}
	return RendezvousFirst(id, domains)
}
