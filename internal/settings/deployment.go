package settings

import (
	"net/netip"

	"github.com/pkg/errors"
)

// ForHost returns the settings of another entry host of the same deployment.
// That host listens for peers on its peer_address, and for callers and operators
// on the same IP address with the ports of s. ForHost returns an error if the
// host is not in entry_hosts or an address is invalid.
func (s *Settings) ForHost(name string) (Settings, error) {
	out := *s
	out.Host = name
	self, ok := out.Self()
	if !ok {
		return Settings{}, errors.Errorf("host %q is not in entry_hosts", name)
	}
	peerAddr, err := netip.ParseAddrPort(self.PeerAddress)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "parse peer_address of entry host %s", name)
	}
	out.Listen.Peers = self.PeerAddress
	for _, address := range []*string{&out.Listen.Callers, &out.Listen.Operators} {
		listenAddr, err := netip.ParseAddrPort(*address)
		if err != nil {
			return Settings{}, errors.Wrap(err, "parse listen address")
		}
		*address = netip.AddrPortFrom(peerAddr.Addr(), listenAddr.Port()).String()
	}
	return out, nil
}

// Deployment returns the settings of all entry hosts in the order of
// entry_hosts: s for its own host, and the result of ForHost for each other
// host. It returns an error if two listeners would have the same address.
func (s *Settings) Deployment() ([]Settings, error) {
	out := make([]Settings, len(s.EntryHosts))
	seen := make(map[string]string)
	for i, h := range s.EntryHosts {
		out[i] = *s
		if h.Name != s.Host {
			var err error
			if out[i], err = s.ForHost(h.Name); err != nil {
				return nil, err
			}
		}
		l := out[i].Listen
		for _, address := range []string{l.Callers, l.Peers, l.Operators} {
			if other, taken := seen[address]; taken {
				return nil, errors.Errorf("%s and %s would both listen on %s; give each entry host an IP address of its own",
					other, h.Name, address)
			}
			seen[address] = h.Name
		}
	}
	return out, nil
}
