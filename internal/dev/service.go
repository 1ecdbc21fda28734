package dev

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// restartableServer serves a stand-in that can be stopped and served again at the
// same address without losing its data.
type restartableServer struct {
	name  string
	serve func(address string) (*standin.Server, error)

	mu      sync.Mutex
	address string
	server  *standin.Server
}

// start serves the stand-in at address and returns the actual address, with the
// port that the system chose if the port was 0.
func (s *restartableServer) start(address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, err := s.serve(address)
	if err != nil {
		return "", errors.Wrapf(err, "serve the %s", s.name)
	}
	s.server, s.address = server, server.Address()
	return s.address, nil
}

func (s *restartableServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// toggle stops the server if it runs, or else starts it again at its last
// address. It reports whether the server runs now.
func (s *restartableServer) toggle() (bool, error) {
	s.mu.Lock()
	served := s.server != nil
	s.mu.Unlock()
	if served {
		s.stop()
		return false, nil
	}
	_, err := s.start(s.address)
	return err == nil, err
}
