package jobs

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// lossSlack is how long after it was sent a request may still be cut off by a
	// planned stop: the host may not have read it yet.
	lossSlack = 200 * time.Millisecond
	// unplannedFaultEffect is how long a fault of a host excuses lost answers.
	unplannedFaultEffect = 3 * time.Second
	// stopGap is the time between two stops of a rolling restart. It is shorter than
	// a stop, so that all hosts may be stopping at once.
	stopGap = 400 * time.Millisecond
)

// noteUnplannedFault records that a host's process is killed, paused or resumed.
func (s *soak) noteUnplannedFault(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unplannedFaults[n] = time.Now()
}

// unplanned returns a fault that is noted as unplanned when it begins and when it ends.
func unplanned(inject func(s *soak, n int) func()) func(s *soak, n int) func() {
	return func(s *soak, n int) func() {
		s.noteUnplannedFault(n)
		heal := inject(s, n)
		return func() {
			s.noteUnplannedFault(n)
			heal()
		}
	}
}

// rollingRestart stops all hosts, one shortly after the other, and starts each again
// when it has stopped.
func rollingRestart(s *soak, first int) func() {
	s.recoveries.Go(func() {
		for n := range soakHosts {
			heal := restartAfterSignal(syscall.SIGTERM)(s, (first+n)%soakHosts)
			s.recoveries.Go(heal)
			time.Sleep(stopGap)
		}
	})
	return nil
}

// restart starts a host again after its process p has exited, unless another fault has
// done so.
func (s *soak) restart(n int, p *process) {
	<-p.exited
	s.restarts.Lock()
	defer s.restarts.Unlock()
	if s.process(n) == p {
		s.startHost(n)
	}
}

// callHost makes a caller's request through one host and checks that a planned stop
// does not cut it off.
func (s *soak) callHost(n int, method, path, body string) (int, string) {
	sent := time.Now()
	status, reply, err := s.tryRequest(method, "http://"+s.hosts[n].CallerAddress+path, queueHost, body)
	var dial *net.OpError
	if err == nil || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &dial) && dial.Op == "dial" || time.Since(sent) < lossSlack {
		return status, reply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unplannedFaults[n].Before(sent.Add(-unplannedFaultEffect)) {
		s.cutOff = append(s.cutOff, method+" "+path+" at "+s.hosts[n].Host+" after "+time.Since(sent).String()+": "+err.Error())
	}
	return status, reply
}
