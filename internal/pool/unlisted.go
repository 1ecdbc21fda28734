package pool

// A run of a predecessor may be on a worker whose entry has left the registry. The
// worker may be cut off from the registry only, so the run is kept for as long as a
// predecessor may have renewed the lease. The address that was stored with the run
// settles it earlier: the worker replies with its list, or another one rejects the call.

// hadEntry reports whether this scheduler has had a registry entry of the worker.
func (n *node) hadEntry() bool { return n.client != nil && !n.addressFromRecord }

// storedPlace is where a run of a predecessor is. The address is empty if an earlier
// version stored it.
type storedPlace struct {
	incarnation int64
	address     string
}

// commonAddress returns the address to which all start requests for the runs were sent,
// empty if that is not certain: if another worker has the address, all runs are over. A
// run without a stored address counts if one of the same incarnation has it.
func commonAddress(places []storedPlace) string {
	address := ""
	known := make(map[int64]bool)
	for _, p := range places {
		if p.address == "" {
			continue
		}
		if address != "" && p.address != address {
			return ""
		}
		address, known[p.incarnation] = p.address, true
	}
	for _, p := range places {
		if !known[p.incarnation] {
			return ""
		}
	}
	return address
}

// connectUnlisted connects to the workers without an entry whose address is stored. The
// caller must hold p.mu.
func (p *Pool) connectUnlisted() {
	for _, n := range p.nodes {
		address := commonAddress(n.storedPlaces)
		n.storedPlaces = nil
		if address == "" {
			continue
		}
		p.log.Info("worker without an entry", "worker", n.entry.ID, "address", address, "runs", len(n.runs))
		n.entry.Address, n.addressFromRecord = address, true
		p.connect(n)
	}
}
