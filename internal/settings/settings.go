// Package settings reads and validates the JSON settings of an entry host.
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

// WorkerMode defines how workers are protected against starts from a host whose
// worker lease has ended.
type WorkerMode string

const (
	// WorkerModeEpoch is for workers that reject starts with a stale epoch.
	WorkerModeEpoch WorkerMode = "epoch"
	// WorkerModeLeaseOnly is for workers that honour the expiry of task leases
	// but do not check epochs.
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
	// Callers serves the callers' API and the load balancer's health checks.
	Callers string `json:"callers"`
	// Peers serves the other entry hosts.
	Peers string `json:"peers"`
	// Operators serves publishing, listings, metrics and the timeline.
	Operators string `json:"operators"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the IP address and port of the platform's append-only log service,
	// to which configuration changes are published.
	Log string `json:"log"`
	// LogRegion is the region in which that log service runs.
	LogRegion string `json:"log_region"`
	// LogRetentionSeconds is how long that log service keeps a record.
	LogRetentionSeconds int `json:"log_retention_seconds"`
	// HostList is the IP address and port of the host list service.
	HostList string `json:"host_list"`
	// WorkerMode is "epoch" (default) or "lease_only".
	WorkerMode WorkerMode `json:"worker_mode"`
}

// Limits bounds what an entry host accepts and stores.
type Limits struct {
	// CallerConnections is the maximum number of open connections on the
	// callers' listener.
	CallerConnections int `json:"caller_connections"`
	// RequestsInProgress is the maximum number of queued and running requests.
	RequestsInProgress int `json:"requests_in_progress"`
	// AnswerCacheMiB is the maximum size of the stored answers, in mebibytes.
	AnswerCacheMiB int `json:"answer_cache_mib"`
	// RecordRetentionSeconds is how long the record of a request is kept.
	RecordRetentionSeconds int `json:"record_retention_seconds"`
	// DrainSeconds is the maximum duration of a planned stop.
	DrainSeconds int `json:"drain_seconds"`
	// TimelineEvents is the capacity of the ring buffer of timeline events.
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
	// OperatorToken authorizes calls on the operators' listener. It has 16 to
	// 256 bytes.
	OperatorToken string `json:"operator_token"`
	// LogLevel is the verbosity of the process's own log output, from 0 (events)
	// to 2 (each request).
	LogLevel int `json:"log_level"`
}

// minRetentionSeconds is the minimum retention of request records. A request may
// be repeated for 10 minutes, and callers' clocks may be 2 s off. With a shorter
// retention a repeated request could run again after its record has expired.
const minRetentionSeconds = 602

// Default returns settings with the default of every optional key.
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

// FieldError describes one invalid field of the settings.
type FieldError struct {
	// Path is the field's JSON path.
	Path string
	// Problem says what is wrong with the value and what is allowed.
	Problem string
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Problem }

// FieldErrors are the errors of all invalid fields of one settings file.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// ReadFile reads settings from a file. It returns FieldErrors if the file is
// well-formed but the settings are invalid.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads settings from JSON. It returns an error for unknown keys and
// FieldErrors if the settings are invalid.
func Parse(data []byte) (Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, errors.Wrap(err, "parse settings")
	}
	if _, err := dec.Token(); err != io.EOF {
		return Settings{}, errors.New("parse settings: unexpected text after the end of the JSON object")
	}
	if errs := s.Validate(); len(errs) > 0 {
		return Settings{}, errs
	}
	return s, nil
}

// Self returns the entry in EntryHosts of the host that these settings are for,
// or false if there is none.
func (s *Settings) Self() (EntryHost, bool) {
	for _, h := range s.EntryHosts {
		if h.Name == s.Host {
			return h, true
		}
	}
	return EntryHost{}, false
}

// Validate checks all fields of s and returns an error for each invalid one.
func (s *Settings) Validate() FieldErrors {
	c := checker{}
	c.checkEntryHosts(s)
	c.requireAddress("listen.callers", s.Listen.Callers)
	c.requireAddress("listen.peers", s.Listen.Peers)
	c.requireAddress("listen.operators", s.Listen.Operators)
	c.requireAddress("platform.log", s.Platform.Log)
	c.requireAddress("platform.host_list", s.Platform.HostList)
	if s.Platform.LogRegion == "" {
		c.addError("platform.log_region", "is missing; set the region of the log service")
	}
	c.requireRange("platform.log_retention_seconds", s.Platform.LogRetentionSeconds, 60, 31536000)
	if m := s.Platform.WorkerMode; m != WorkerModeEpoch && m != WorkerModeLeaseOnly {
		c.addError("platform.worker_mode", fmt.Sprintf("is %q; allowed are %q and %q", m, WorkerModeEpoch, WorkerModeLeaseOnly))
	}
	c.requireRange("limits.caller_connections", s.Limits.CallerConnections, 1, 100000)
	c.requireRange("limits.requests_in_progress", s.Limits.RequestsInProgress, 1, 1000000)
	c.requireRange("limits.answer_cache_mib", s.Limits.AnswerCacheMiB, 1, 128)
	c.requireRange("limits.record_retention_seconds", s.Limits.RecordRetentionSeconds, minRetentionSeconds, 86400)
	c.requireRange("limits.drain_seconds", s.Limits.DrainSeconds, 1, 3600)
	c.requireRange("limits.timeline_events", s.Limits.TimelineEvents, 100, 1000000)
	c.requireRange("log_level", s.LogLevel, 0, 2)
	if n := len(s.OperatorToken); n < 16 || n > 256 {
		c.addError("operator_token", fmt.Sprintf("has %d characters; allowed are 16 to 256", n))
	}
	return c.errs
}

// checker collects the errors of a validation.
type checker struct{ errs FieldErrors }

func (c *checker) addError(path, problem string) {
	c.errs = append(c.errs, FieldError{Path: path, Problem: problem})
}

func (c *checker) requireRange(path string, value, low, high int) {
	if value < low || value > high {
		c.addError(path, fmt.Sprintf("is %d; allowed are %d to %d", value, low, high))
	}
}

func (c *checker) requireAddress(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.addError(path, fmt.Sprintf("is %q; must be an IP address and port", address))
	}
}

func (c *checker) checkEntryHosts(s *Settings) {
	if len(s.EntryHosts) == 0 {
		c.addError("entry_hosts", "is empty; list every entry host of the deployment")
	}
	seen := make(map[string]bool, len(s.EntryHosts))
	for i, h := range s.EntryHosts {
		path := fmt.Sprintf("entry_hosts[%d]", i)
		switch {
		case h.Name == "":
			c.addError(path+".name", "is missing")
		case seen[h.Name]:
			c.addError(path+".name", fmt.Sprintf("is %q, which another entry host already uses", h.Name))
		}
		seen[h.Name] = true
		if h.Region == "" {
			c.addError(path+".region", "is missing")
		}
		if h.FailureDomain == "" || strings.Contains(h.FailureDomain, "/") {
			c.addError(path+".failure_domain", "must be a non-empty name without '/'")
		}
		c.requireAddress(path+".peer_address", h.PeerAddress)
	}
	if !seen[s.Host] {
		c.addError("host", fmt.Sprintf("is %q, which is not in entry_hosts", s.Host))
	}
}
