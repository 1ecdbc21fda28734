package holding

import (
	"time"

	"github.com/laburnumpass/laburnumpass/internal/platform"
	"github.com/laburnumpass/laburnumpass/internal/worker"
)

// RecordListRead records that a read of the host list that began at the given
// time has ended, either with a list that was passed to SetHosts or with an
// error. Once it has been called, the Manager acquires a worker lease only if a
// read that began within the last ListReadMaxAge has ended. Otherwise a host
// that was paused would reacquire its workers and start tasks on those that
// were listed as leaving in the meantime. Failed reads count too, so an
// unreadable list delays leases by the read's timeout at most.
func (m *Manager) RecordListRead(began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if began.After(m.lastListReadBegan) {
		m.lastListReadBegan = began
	}
}

// listReadOverdue reports whether no read that began within the last
// ListReadMaxAge has ended, so that a worker may have been listed as leaving
// without this host knowing it.
func (m *Manager) listReadOverdue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lastListReadBegan.IsZero() && m.opts.Now().Sub(m.lastListReadBegan) > m.opts.ListReadMaxAge
}

// SetHosts applies a host list. A list that is older than ListMaxAge, or older
// than one applied before, only marks workers as leaving. A worker stays marked
// until a newer list shows it live with another incarnation.
func (m *Manager) SetHosts(list platform.HostListReply) {
	now := m.opts.Now()
	m.mu.Lock()
	current := now.Sub(list.AsOf) <= m.opts.ListMaxAge && !list.AsOf.Before(m.listAsOf)
	if current {
		m.listAsOf = list.AsOf
		if platform.SameHosts(list.Hosts, m.currentHosts) {
			// The hosts did not change. Applying a list of the size that the
			// system is designed for takes milliseconds.
			m.mu.Unlock()
			return
		}
		m.currentHosts = list.Hosts
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
			w = &managedWorker{
				name: h.Name, info: h.Info, client: m.opts.Dial(h.Info), incarnationListedAt: list.AsOf,
				tasks: make(map[worker.TaskID]*task), wakeCh: make(chan struct{}, 1),
			}
			m.workers[h.Name] = w
		}
		if m.updateHost(w, h, list, current) {
			leaving = append(leaving, h.Name)
		}
	}
	if current {
		m.removeUnlisted(listed)
		m.largestCapacity = largestCapacityOf(list.Hosts)
	}
	m.mu.Unlock()
	for _, name := range leaving {
		m.opts.OnEvent(name, "worker_leaving", 0, "")
		m.opts.Sink.WorkerLeaving(name)
	}
	if current {
		m.Rescan()
	}
}

// LargestCapacity returns the largest capacity of any listed worker in each
// dimension. The scheduler calls it for each request, so its cost must not
// depend on the number of workers.
func (m *Manager) LargestCapacity() worker.Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largestCapacity
}

func largestCapacityOf(hosts []platform.Host) worker.Capacity {
	var c worker.Capacity
	for _, h := range hosts {
		c.Resources = c.Resources.Max(h.Capacity.Resources)
		c.Slots = max(c.Slots, h.Capacity.Slots)
	}
	return c
}

// updateHost applies one entry of a host list to w and reports whether it newly
// marks the worker as leaving.
func (m *Manager) updateHost(w *managedWorker, h platform.Host, list platform.HostListReply, current bool) bool {
	restarted := h.Incarnation != w.info.Incarnation
	if restarted && list.AsOf.Before(w.incarnationListedAt) {
		// The entry describes an earlier incarnation.
		return false
	}
	if current {
		w.removed = false
		if restarted {
			w.incarnationListedAt = list.AsOf
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

// removeUnlisted removes the workers that the list no longer contains. A worker
// with a running goroutine is only marked and is removed when that goroutine
// ends.
func (m *Manager) removeUnlisted(listed map[string]bool) {
	for name, w := range m.workers {
		if listed[name] {
			continue
		}
		w.removed = true
		if w.loopRunning {
			w.wake()
			continue
		}
		m.removeWorker(w)
	}
}

func (m *Manager) removeWorker(w *managedWorker) {
	closeClient(w.client)
	delete(m.workers, w.name)
}
