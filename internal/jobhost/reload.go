package jobhost

import (
	"context"
	"os"
	"time"

	"github.com/laburnumpass/laburnumpass/platform"
)

// reloadInterval is the time between checks of the settings file, which may change
// without a signal. Changes are rare and not urgent.
const reloadInterval = 2 * time.Second

// WatchSettings reloads the settings when the file at path changes or a signal
// arrives, until ctx ends. If the file is unreadable or invalid, the settings do
// not change.
func (h *Host) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	modified := modTime(path)
	for {
		reason := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-signals:
			reason = "signal"
		case <-time.After(reloadInterval):
			if m := modTime(path); m.Equal(modified) {
				continue
			}
		}
		modified = modTime(path)
		s, err := ReadSettings(path)
		if err != nil {
			h.log.Error(err, "settings not reloaded", "reason", reason)
			continue
		}
		h.applySettings(s, reason)
	}
}

// modTime returns the modification time of a file, zero if it is not known.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // the next read reports it
	}
	return info.ModTime()
}

// applySettings puts new settings in force. Only a new address of the policy
// service and the bounds on the age of API keys take effect without a restart.
func (h *Host) applySettings(s *Settings, reason string) {
	old := h.currentSettings.Swap(s)
	if s.PolicyServiceAddress != old.PolicyServiceAddress {
		h.setPolicyClient(s.PolicyServiceAddress)
	}
	needRestart := s.CallerAddress != h.settings.CallerAddress || s.ReadinessAddress != h.settings.ReadinessAddress || s.StoreAddress != h.settings.StoreAddress || s.IP != h.settings.IP
	h.log.Info("settings reloaded", "reason", reason, "policy_service", s.PolicyServiceAddress, "addresses_need_restart", needRestart)
}

// setPolicyClient uses the policy service at address, none if it is empty.
func (h *Host) setPolicyClient(address string) {
	if address == "" {
		h.policyClient.Store(nil)
		return
	}
	h.policyClient.Store(platform.NewPolicyClient(address))
}
