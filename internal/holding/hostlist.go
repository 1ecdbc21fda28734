package holding

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// RecordListRead tells that a read of the host list that began at the given time has
// ended, with a list that SetHosts has taken in or with an error. Once it has
// been called, no worker lease is taken unless a read that began within
// ListReadMaxAge has ended: a host that was paused would otherwise take its
// workers again and start tasks on those that were listed as leaving meanwhile.
// A list that cannot be read holds nothing up beyond its timeout.
func (m *Manager) RecordListRead(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.After(m.listRead) {
		m.listRead = began
	}
}

// listUnread reports whether the list may show a leaving worker that this host
// has not learned of within ListReadMaxAge.
func (m *Manager) listUnread() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listRead.IsZero() && m.opts.Now().Sub(m.listRead) > m.opts.ListReadMaxAge
}

// SetHosts takes in a host list. A list that is older than ListMaxAge, or
// older than one taken in before, only marks workers as leaving. A worker stays
// marked until a newer list has it live with another incarnation.
func (m *Manager) SetHosts(list platform.HostListReply) {
	now := m.opts.Now()
	m.mu.Lock()
	current := now.Sub(list.AsOf) <= m.opts.ListMaxAge && !list.AsOf.Before(m.listAsOf)
	if current {
		m.listAsOf = list.AsOf
		if platform.SameHosts(list.Hosts, m.lastHosts) {
			// Nothing to take in; a list of the design size costs milliseconds.
			m.mu.Unlock()
			return
		}
		m.lastHosts = list.Hosts
	}
	var leaving []string
	listed := make(map[string]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[h.Name] = true
		w := m.workers[h.Name]
		if w == nil {
			if !current {
				continue
			}
			w = &machine{
				name: h.Name, info: h.Info, client: m.opts.Dial(h.Info), listed: list.AsOf,
				tasks: make(map[worker.TaskID]*task), kick: make(chan struct{}, 1),
			}
			m.workers[h.Name] = w
		}
		if m.updateHost(w, h, list, current) {
			leaving = append(leaving, h.Name)
		}
	}
	if current {
		m.removeUnlisted(listed)
		m.largest = largestOf(list.Hosts)
	}
	m.mu.Unlock()
	for _, name := range leaving {
		m.opts.OnEvent(name, "worker_leaving", 0, "")
		m.opts.Sink.Leaving(name)
	}
	if current {
		m.Rescan()
	}
}

// LargestCapacity returns the largest capacity of any listed worker in each dimension.
// The scheduler asks for it with each request, so that it must not depend on the
// number of workers.
func (m *Manager) LargestCapacity() worker.Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largest
}

func largestOf(hosts []platform.Host) worker.Capacity {
	var c worker.Capacity
	for _, h := range hosts {
		c.Resources = c.Resources.Max(h.Capacity.Resources)
		c.Slots = max(c.Slots, h.Capacity.Slots)
	}
	return c
}

// updateHost takes in one entry of a list and reports whether it makes the
// worker leaving.
func (m *Manager) updateHost(w *machine, h platform.Host, list platform.HostListReply, current bool) bool {
	restarted := h.Incarnation != w.info.Incarnation
	if restarted && list.AsOf.Before(w.listed) {
		// The entry is about an incarnation that has ended.
		return false
	}
	if current {
		w.removed = false
		if restarted {
			w.listed = list.AsOf
			if h.State == platform.HostLive {
				w.leaving = false
			}
		}
		if h.Address != w.info.Address {
			closeClient(w.client)
			w.client = m.opts.Dial(h.Info)
		}
		w.info = h.Info
	}
	if h.State != platform.HostLeaving || w.leaving {
		return false
	}
	w.leaving = true
	return true
}

// removeUnlisted forgets workers that the list no longer has. One that is held
// is marked first and forgotten when its goroutine has ended.
func (m *Manager) removeUnlisted(listed map[string]bool) {
	for name, w := range m.workers {
		if listed[name] {
			continue
		}
		w.removed = true
		if w.active {
			w.wake()
			continue
		}
		m.forget(w)
	}
}

func (m *Manager) forget(w *machine) {
	closeClient(w.client)
	delete(m.workers, w.name)
}
