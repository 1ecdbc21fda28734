package jobhost

import (
	"context"
	"os"
	"time"

	"github.com/laburnumpass/laburnumpass/platform"
)

// reloadInterval is the time between looks at the settings file, which may
// change without a signal. Changes are rare and not urgent.
const reloadInterval = 2 * time.Second

// WatchSettings reads the settings again when the file changes or again
// receives a value, until ctx ends. A file that cannot be read leaves the
// settings as they are.
func (h *Host) WatchSettings(ctx context.Context, path string, again <-chan os.Signal) {
	modified := modifiedAt(path)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-again:
			reason = "signal"
		case <-time.After(reloadInterval):
			if m := modifiedAt(path); m.Equal(modified) {
				continue
			}
		}
		modified = modifiedAt(path)
		s, err := ReadSettings(path)
		if err != nil {
			h.log.Error(err, "settings not reloaded", "reason", reason)
			continue
		}
		h.apply(s, reason)
	}
}

// modifiedAt returns when the file was last changed, zero if that is not known.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // the next read reports it
	}
	return info.ModTime()
}

// apply puts new settings in force as far as a running process can.
func (h *Host) apply(s *Settings, reason string) {
	old := h.current.Swap(s)
	if s.PolicyServiceAddress != old.PolicyServiceAddress {
		h.setAdvisor(s.PolicyServiceAddress)
	}
	needRestart := s.CallerAddress != h.settings.CallerAddress || s.ReadinessAddress != h.settings.ReadinessAddress || s.StoreAddress != h.settings.StoreAddress || s.IP != h.settings.IP
	h.log.Info("settings reloaded", "reason", reason, "policy_service", s.PolicyServiceAddress, "addresses_need_restart", needRestart)
}

func (h *Host) setAdvisor(address string) {
	if address == "" {
		h.advisor.Store(nil)
		return
	}
	h.advisor.Store(platform.NewPolicyClient(address))
}
