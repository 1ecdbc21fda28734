package dev

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/laburnumpass/laburnumpass/internal/standin"
)

// service is a stand-in that can be taken out of service and served again at
// the same address, with what it holds.
type service struct {
	name  string
	serve func(address string) (*standin.Server, error)

	mu      sync.Mutex
	address string
	server  *standin.Server
}

// start serves at address and returns the address with the port that the
// system chose, if it was to choose one.
func (s *service) start(address string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, err := s.serve(address)
	if err != nil {
		return "", errors.Wrapf(err, "serve the %s", s.name)
	}
	s.server, s.address = server, server.Address()
	return s.address, nil
}

func (s *service) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// toggle stops a service that is served and serves one that is stopped. It
// reports whether the service is served now.
func (s *service) toggle() (bool, error) {
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
