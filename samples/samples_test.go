package samples

import (
	"encoding/json"
	"io/fs"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/laburnumpass/laburnumpass/internal/contract"
	"github.com/laburnumpass/laburnumpass/internal/settings"
)

// TestSettings guards against sample settings that an entry host rejects, hosts of
// one deployment whose shared settings differ, and addresses outside the loopback
// and documentation ranges, which may belong to someone.
func TestSettings(t *testing.T) {
	documentation := netip.MustParsePrefix("192.0.2.0/24")
	shared := make(map[string]settings.Settings)
	require.NoError(t, fs.WalkDir(files, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := files.ReadFile(path)
		require.NoError(t, err)
		s, err := settings.Parse(data)
		require.NoError(t, err, path)
		self, ok := s.Self()
		require.True(t, ok)
		require.Equal(t, self.PeerAddress, s.Listen.Peers, path)
		for _, a := range []string{s.Listen.Callers, s.Listen.Operators, s.Platform.Log, s.Platform.HostList} {
			ip := netip.MustParseAddrPort(a).Addr()
			require.True(t, ip.IsLoopback() || documentation.Contains(ip), "%s: %s", path, a)
		}
		all, err := s.Deployment()
		require.NoError(t, err, path)
		for _, host := range all {
			require.Empty(t, host.Check(), path)
		}
		if path == "laptop.json" {
			regions, domains := map[string]bool{}, map[string]bool{}
			for _, h := range s.EntryHosts {
				regions[h.Region], domains[h.FailureDomain] = true, true
			}
			require.Len(t, regions, 2)
			require.Len(t, domains, 3)
			return nil
		}
		require.Len(t, s.EntryHosts, 7, path)
		s.Host, s.Listen = "", settings.Listen{}
		first, ok := shared[s.Platform.LogRegion]
		if ok {
			require.Equal(t, first, s, path)
		}
		shared[s.Platform.LogRegion] = s
		return nil
	}))
	require.Len(t, shared, 2)
	for _, name := range Names() {
		data, err := Settings(name)
		require.NoError(t, err)
		require.True(t, json.Valid(data), name)
	}
	_, err := Settings("none")
	require.Error(t, err)
}

// TestConfiguration guards against a sample configuration that differs from the one
// that development cells use.
func TestConfiguration(t *testing.T) {
	got, err := contract.LoadDir("configuration")
	require.NoError(t, err)
	want := contract.Sample()
	for name, p := range got.Profiles {
		// LoadDir fills in this default, which Sample leaves unset.
		p.OverrunPercent = want.Profiles[name].OverrunPercent
		got.Profiles[name] = p
	}
	require.Equal(t, want, got)
}
