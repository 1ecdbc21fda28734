// Package operator holds the types of the operators' HTTP API and a client
// for it.
package operator

import (
	"github.com/laburnumpass/laburnumpass/internal/configuration"
	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/timeline"
)

// HostStatus describes an entry host as another one sees it.
type HostStatus struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// ConfigOffset is the applied offset; only known for the asked host.
	ConfigOffset uint64 `json:"config_offset,omitempty"`
}

// WorkerStatus describes a worker as the asked host sees it.
type WorkerStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Holder        string `json:"holder"`
	Held          bool   `json:"held"`
	Leaving       bool   `json:"leaving"`
	Epoch         uint64 `json:"epoch,omitempty"`
	Tasks         int    `json:"tasks"`
}

// ConfigListing lists the configuration in force.
type ConfigListing struct {
	Offset  uint64            `json:"offset"`
	Objects []contract.Object `json:"objects"`
}

// PublishReport is the outcome of a publish for operators.
type PublishReport struct {
	Status    configuration.Status `json:"status"`
	PublishID string               `json:"publish_id"`
	// Offset is the new version of the object if the publish was accepted.
	Offset uint64 `json:"offset,omitempty"`
	// WinnerOffset and WinnerAuthor name the version that won a lost race.
	WinnerOffset uint64                `json:"winner_offset,omitempty"`
	WinnerAuthor string                `json:"winner_author,omitempty"`
	Fields       []contract.FieldError `json:"fields,omitempty"`
	Message      string                `json:"message,omitempty"`
}

// Timeline is the merged time line of all entry hosts.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing names the hosts that could not be asked.
	Missing []string `json:"missing,omitempty"`
	// Dropped counts events that a full ring dropped, by host.
	Dropped map[string]uint64 `json:"dropped,omitempty"`
}
