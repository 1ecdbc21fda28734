package settings

import (
	"net/netip"

	"github.com/pkg/errors"
)

// ForHost returns the settings of another entry host of the same deployment. It
// listens on the IP address of its peer_address, with the ports of s for
// callers and operators. It returns an error if the host is not in entry_hosts
// or if s is not valid.
func (s *Settings) ForHost(name string) (Settings, error) {
	out := *s
	out.Host = name
	self, ok := out.Self()
	if !ok {
		return Settings{}, errors.Errorf("host %q is not in entry_hosts", name)
	}
	peers, err := netip.ParseAddrPort(self.PeerAddress)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "peer_address of %s", name)
	}
	out.Listen.Peers = self.PeerAddress
	for _, address := range []*string{&out.Listen.Callers, &out.Listen.Operators} {
		own, err := netip.ParseAddrPort(*address)
		if err != nil {
			return Settings{}, errors.Wrap(err, "listen")
		}
		*address = netip.AddrPortFrom(peers.Addr(), own.Port()).String()
	}
	return out, nil
}

// Deployment returns the settings of all entry hosts, in the order of
// entry_hosts: s itself and, for each other host, those of ForHost. It returns
// an error if two listeners would have the same address.
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
