package jobhost

import (
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Settings configure an entry host on the platform. The deploy template renders
// them from fields of the platform, which may add new ones, so unknown keys are
// ignored.
type Settings struct {
	Host          string `json:"host"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// IP is the host's address for calls from other entry hosts.
	IP string `json:"ip"`
	// CallerAddress is the IP address and port on which callers are served.
	CallerAddress string `json:"callers"`
	// ReadinessAddress is the IP address and port for the load balancer's checks, for
	// metrics and for operators.
	ReadinessAddress string `json:"readiness"`
	// PeerPorts are the ports available for calls between entry hosts. Only the first
	// one is used.
	PeerPorts []int `json:"peer_ports"`
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string `json:"store"`
	// StoreRecordBytes is the store's limit for a record, and StoreRequestBytes that for
	// the records of one call, in bytes; 0 means 262,144 and 2,097,152.
	StoreRecordBytes  int `json:"store_record_bytes"`
	StoreRequestBytes int `json:"store_request_bytes"`
	// PolicyServiceAddress is the IP address and port of the policy service, which
	// approves workers. It is empty if no queue needs approvals.
	PolicyServiceAddress string `json:"policy_service"`
	// MaxLeaseMS is the longest lease that workers grant, in milliseconds.
	MaxLeaseMS int `json:"max_lease_ms"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_seconds"`
	// RetentionSeconds is how long an ended job can still be queried.
	RetentionSeconds float64 `json:"retention_seconds"`
	// MemoryMiB is the memory use above which the process is killed; 0 means no
	// limit.
	MemoryMiB int `json:"memory_mib"`
	// ProcessorShare is the number of processor cores that the host may use, possibly
	// fractional; 0 means one core.
	ProcessorShare float64 `json:"processor_share"`
	// WorkersPerShard is how many workers of a service one scheduler should have; a
	// service with one and a half times as many is split. 0 means 230. It counts when a
	// service is seen for the first time.
	WorkersPerShard int `json:"workers_per_shard"`
	// StrictRevoke makes the host refuse requests with API keys while its last successful
	// read of the configuration is older than RevokeMS, since the keys may have been
	// revoked meanwhile.
	StrictRevoke bool `json:"strict_revoke"`
	// RevokeMS is that age in milliseconds; 0 means 5,000.
	RevokeMS int `json:"revoke_ms"`
	// RemoteFactor is how many times as long a task runs outside its preferred rack, at
	// least 1; 0 means unknown, and no task waits for a rack.
	RemoteFactor float64 `json:"remote_factor"`
	// SpeculativeCopies lets the scheduler start copies of slow runs in steps that allow
	// them.
	SpeculativeCopies bool `json:"speculative_copies"`
	// LogLevel is 0 for decisions and 1 for details.
	LogLevel int `json:"log_level"`
}

// ReadSettings reads and validates a settings file.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	var s Settings
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, errors.Wrapf(err, "decode settings file %s", path)
	}
	if err := s.validate(); err != nil {
		return nil, errors.Wrapf(err, "invalid settings file %s", path)
	}
	return &s, nil
}

func (s *Settings) validate() error {
	if s.Host == "" {
		return errors.New("host is empty")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		return errors.Wrap(err, "ip")
	}
	required := map[string]string{"callers": s.CallerAddress, "readiness": s.ReadinessAddress, "store": s.StoreAddress}
	if s.PolicyServiceAddress != "" {
		required["policy_service"] = s.PolicyServiceAddress
	}
	for key, address := range required {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrap(err, key)
		}
	}
	if len(s.PeerPorts) == 0 || s.PeerPorts[0] < 1 || s.PeerPorts[0] > 65535 {
		return errors.New("peer_ports must begin with a port from 1 to 65535")
	}
	if s.MaxLeaseMS < 1000 {
		return errors.Errorf("max_lease_ms is %d, want at least 1000", s.MaxLeaseMS)
	}
	if s.ProcessorShare < 0 {
		return errors.Errorf("processor_share is %g, want 0 or more", s.ProcessorShare)
	}
	if s.WorkersPerShard < 0 {
		return errors.Errorf("workers_per_shard is %d, want 0 or more", s.WorkersPerShard)
	}
	if s.StoreRecordBytes != 0 && s.StoreRecordBytes < minStoreBytes {
		return errors.Errorf("store_record_bytes is %d, want 0 or at least %d", s.StoreRecordBytes, minStoreBytes)
	}
	if s.StoreRequestBytes != 0 && s.StoreRequestBytes < minStoreBytes {
		return errors.Errorf("store_request_bytes is %d, want 0 or at least %d", s.StoreRequestBytes, minStoreBytes)
	}
	if s.RevokeMS < 0 {
		return errors.Errorf("revoke_ms is %d, want 0 or more", s.RevokeMS)
	}
	// The age counts from the beginning of the last read until the end of the next one.
	if shortest := 2 * (configReadWait + configReadTimeout); s.StrictRevoke && s.revokeAfter() <= shortest {
		return errors.Errorf("revoke_ms is %d, want more than %d with strict_revoke", s.RevokeMS, shortest.Milliseconds())
	}
	if s.RemoteFactor != 0 && s.RemoteFactor < 1 {
		return errors.Errorf("remote_factor is %g, want 0 or at least 1", s.RemoteFactor)
	}
	if s.GraceSeconds <= 0 || s.RetentionSeconds <= 0 {
		return errors.New("grace_seconds and retention_seconds must be positive")
	}
	return nil
}

// minStoreBytes is the smallest limit of the store with which records of tasks, which have
// IDs of workers, are stored in any case.
const minStoreBytes = 16 << 10

// shareOrDefault returns ProcessorShare, with 0 replaced by one core.
func (s *Settings) shareOrDefault() float64 {
	if s.ProcessorShare == 0 {
		return 1
	}
	return s.ProcessorShare
}

// defaultWorkersPerShard bounds the work of one scheduler: 230 workers start some 450
// tasks a second, which takes a fifth of a core. Smaller shards leave too few approved
// workers for the widest gangs.
const defaultWorkersPerShard = 230

// workersPerShardOrDefault returns WorkersPerShard, with 0 replaced by the default.
func (s *Settings) workersPerShardOrDefault() int {
	if s.WorkersPerShard == 0 {
		return defaultWorkersPerShard
	}
	return s.WorkersPerShard
}

// defaultRevokeAfter equals revoke-ms of the deployments that have it.
const defaultRevokeAfter = 5 * time.Second

// revokeAfter returns RevokeMS, with 0 replaced by the default.
func (s *Settings) revokeAfter() time.Duration {
	if s.RevokeMS == 0 {
		return defaultRevokeAfter
	}
	return time.Duration(s.RevokeMS) * time.Millisecond
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
