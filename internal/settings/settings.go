// Package settings reads and checks the JSON settings of an entry host.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// WorkerMode says how workers protect themselves against a holder whose lease
// has ended.
type WorkerMode string

const (
	// WorkerModeEpoch is for workers that reject starts with a stale epoch.
	WorkerModeEpoch WorkerMode = "epoch"
	// WorkerModeLeaseOnly is for workers that only honour the expiry of a task
	// lease.
	WorkerModeLeaseOnly WorkerMode = "lease_only"
)

// EntryHost is one entry host of the deployment.
type EntryHost struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// PeerAddress is the IP address and port on which other entry hosts reach
	// this one.
	PeerAddress string `json:"peer_address"`
}

// Listen holds the addresses on which an entry host listens, each an IP
// address and port.
type Listen struct {
	// Callers serves the callers' API and the balancer's health checks.
	Callers string `json:"callers"`
	// Peers serves the other entry hosts.
	Peers string `json:"peers"`
	// Operators serves publishing, listings, metrics and the time line.
	Operators string `json:"operators"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the IP address and port of the log service.
	Log string `json:"log"`
	// LogRegion is the region in which the log service stands.
	LogRegion string `json:"log_region"`
	// LogRetentionSeconds is how long the log service keeps a record.
	LogRetentionSeconds int `json:"log_retention_seconds"`
	// HostList is the IP address and port of the host list.
	HostList string `json:"host_list"`
	// WorkerMode is "epoch" (default) or "lease_only".
	WorkerMode WorkerMode `json:"worker_mode"`
}

// Limits bounds what an entry host accepts and keeps.
type Limits struct {
	// CallerConnections bounds open connections on the callers' listener.
	CallerConnections int `json:"caller_connections"`
	// RequestsInProgress bounds the requests that are queued or running.
	RequestsInProgress int `json:"requests_in_progress"`
	// AnswerCacheMiB bounds the kept answers, in mebibytes.
	AnswerCacheMiB int `json:"answer_cache_mib"`
	// RecordRetentionSeconds is how long the record of a request is kept.
	RecordRetentionSeconds int `json:"record_retention_seconds"`
	// DrainSeconds bounds a planned stop.
	DrainSeconds int `json:"drain_seconds"`
	// TimelineEvents is the size of the ring of events.
	TimelineEvents int `json:"timeline_events"`
}

// Settings are the settings of one entry host.
type Settings struct {
	// Host is the name of this entry host; it must be one of EntryHosts.
	Host       string      `json:"host"`
	EntryHosts []EntryHost `json:"entry_hosts"`
	Listen     Listen      `json:"listen"`
	Platform   Platform    `json:"platform"`
	Limits     Limits      `json:"limits"`
	// OperatorToken authorizes calls on the operators' listener; 16
	// characters at least.
	OperatorToken string `json:"operator_token"`
	// LogLevel is the verbosity of the log: 0 (events) to 2 (each request).
	LogLevel int `json:"log_level"`
}

// minRetentionSeconds is the least retention of records with which an entry
// host starts: a request may be repeated for 10 minutes, and callers' clocks may
// be 2 s off. A shorter one would let a request run again after its record
// expired.
const minRetentionSeconds = 602

// Default returns settings in which every optional key has its default.
func Default() Settings {
	return Settings{
		Platform: Platform{LogRetentionSeconds: 86400, WorkerMode: WorkerModeEpoch},
		Limits: Limits{
			CallerConnections:      10000,
			RequestsInProgress:     50000,
			AnswerCacheMiB:         64,
			RecordRetentionSeconds: 900,
			DrainSeconds:           60,
			TimelineEvents:         20000,
		},
	}
}

// FieldError is one error of the settings.
type FieldError struct {
	// Path is the field's JSON path.
	Path string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Problem }

// FieldErrors are all errors of one settings file.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// ReadFile reads settings from a file. It returns FieldErrors if the settings
// were read but are not valid.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads settings from JSON. Unknown keys are errors.
func Parse(data []byte) (Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parse settings")
	}
	if _, err := dec.Token(); err != io.EOF {
		return Settings{}, errors.New("parse settings: text after the end of the object")
	}
	if errs := s.Check(); len(errs) > 0 {
		return Settings{}, errs
	}
	return s, nil
}

// Self returns the entry host that these settings are for.
func (s *Settings) Self() (EntryHost, bool) {
	for _, h := range s.EntryHosts {
		if h.Name == s.Host {
			return h, true
		}
	}
	return EntryHost{}, false
}

// Check returns all errors of s.
func (s *Settings) Check() FieldErrors {
	c := checker{}
	c.entryHosts(s)
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("platform.log", s.Platform.Log)
	c.address("platform.host_list", s.Platform.HostList)
	if s.Platform.LogRegion == "" {
		c.add("platform.log_region", "is missing; name the region of the log service")
	}
	c.between("platform.log_retention_seconds", s.Platform.LogRetentionSeconds, 60, 31536000)
	if m := s.Platform.WorkerMode; m != WorkerModeEpoch && m != WorkerModeLeaseOnly {
		c.add("platform.worker_mode", fmt.Sprintf("is %q; allowed are %q and %q", m, WorkerModeEpoch, WorkerModeLeaseOnly))
	}
	c.between("limits.caller_connections", s.Limits.CallerConnections, 1, 100000)
	c.between("limits.requests_in_progress", s.Limits.RequestsInProgress, 1, 1000000)
	c.between("limits.answer_cache_mib", s.Limits.AnswerCacheMiB, 1, 128)
	c.between("limits.record_retention_seconds", s.Limits.RecordRetentionSeconds, minRetentionSeconds, 86400)
	c.between("limits.drain_seconds", s.Limits.DrainSeconds, 1, 3600)
	c.between("limits.timeline_events", s.Limits.TimelineEvents, 100, 1000000)
	c.between("log_level", s.LogLevel, 0, 2)
	if n := len(s.OperatorToken); n < 16 || n > 256 {
		c.add("operator_token", fmt.Sprintf("has %d characters; allowed are 16 to 256", n))
	}
	return c.errs
}

type checker struct{ errs FieldErrors }

func (c *checker) add(path, problem string) {
	c.errs = append(c.errs, FieldError{Path: path, Problem: problem})
}

func (c *checker) between(path string, value, low, high int) {
	if value < low || value > high {
		c.add(path, fmt.Sprintf("is %d; allowed are %d to %d", value, low, high))
	}
}

func (c *checker) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.add(path, fmt.Sprintf("is %q; give an IP address and port", address))
	}
}

func (c *checker) entryHosts(s *Settings) {
	if len(s.EntryHosts) == 0 {
		c.add("entry_hosts", "is empty; name every entry host of the deployment")
	}
	seen := make(map[string]bool, len(s.EntryHosts))
	for i, h := range s.EntryHosts {
		path := fmt.Sprintf("entry_hosts[%d]", i)
		switch {
		case h.Name == "":
			c.add(path+".name", "is missing")
		case seen[h.Name]:
			c.add(path+".name", fmt.Sprintf("is %q, which is used twice", h.Name))
		}
		seen[h.Name] = true
		if h.Region == "" {
			c.add(path+".region", "is missing")
		}
		if h.FailureDomain == "" || strings.Contains(h.FailureDomain, "/") {
			c.add(path+".failure_domain", "must be a name without '/'")
		}
		c.address(path+".peer_address", h.PeerAddress)
	}
	if !seen[s.Host] {
		c.add("host", fmt.Sprintf("is %q, which is not in entry_hosts", s.Host))
	}
}
