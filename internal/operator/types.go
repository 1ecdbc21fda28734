// Package operator defines the types of the operators' HTTP API and a client for
// it.
package operator

import (
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// HostStatus describes an entry host as seen by the host that replies.
type HostStatus struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// State is the membership state of the host that replies, such as "joining"
	// or "leaving". Other hosts are "live" or "not live" if they are in the
	// replying host's failure domain, and otherwise "reachable" or "not heard
	// from".
	State string `json:"state"`
	// ConfigOffset is the offset up to which the host has applied the
	// configuration log. It is known only for the host that replies.
	ConfigOffset uint64 `json:"config_offset,omitempty"`
}

// WorkerStatus describes a worker as seen by the host that replies.
type WorkerStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	// Holder is the entry host that should hold the worker.
	Holder string `json:"holder"`
	// Held is set if the host that replies holds the worker. Epoch and Tasks are
	// known only then.
	Held    bool   `json:"held"`
	Leaving bool   `json:"leaving"`
	Epoch   uint64 `json:"epoch,omitempty"`
	Tasks   int    `json:"tasks"`
}

// ConfigListing lists the configuration in force.
type ConfigListing struct {
	Offset  uint64            `json:"offset"`
	Objects []contract.Object `json:"objects"`
}

// PublishReport is the outcome of a publish as reported to operators.
type PublishReport struct {
	Status    configuration.Status `json:"status"`
	PublishID string               `json:"publish_id"`
	// Offset is the offset of the record in the log and, if the publish was
	// accepted, the new version of the object; 0 if the record is not known to be
	// in the log.
	Offset uint64 `json:"offset,omitempty"`
	// WinnerOffset and WinnerAuthor identify the version that was accepted
	// instead if the publish lost against a concurrent one.
	WinnerOffset uint64                `json:"winner_offset,omitempty"`
	WinnerAuthor string                `json:"winner_author,omitempty"`
	Fields       []contract.FieldError `json:"fields,omitempty"`
	Message      string                `json:"message,omitempty"`
}

// Timeline is the merged timeline of all entry hosts.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the hosts whose events could not be read.
	Missing []string `json:"missing,omitempty"`
	// Dropped is the number of events that a full ring buffer dropped, by host.
	Dropped map[string]uint64 `json:"dropped,omitempty"`
}
