package e2e

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/sockowner"
	"damaskbridge.example/damaskbridge/relay"
)

// links carries the calls between the system's processes over relays. Each
// control VM has one relay address, which all others and the VM itself use:
// control VMs tell each other and the entry VMs the addresses that they know,
// so an address for one caller only would soon be used by others. The caller
// of a flow is the process that owns the flow's socket. A link is a direction
// of the network between two names of VMs.
type links struct {
	network *relay.Network

	mu   sync.Mutex
	pids map[string]int
}

func newLinks() *links {
	return &links{network: relay.NewNetwork(0, 0), pids: map[string]int{}}
}

// add opens the relay of one VM and gives its address. It has the IP address
// of the VM, because the VM's certificate names it.
func (l *links) add(v *vm) (string, error) {
	host, _, err := net.SplitHostPort(v.listen)
	if err != nil {
		return "", fmt.Errorf("e2e: %w", err)
	}
	r, err := l.network.ListenUDPFrom(net.JoinHostPort(host, "0"), v.listen, l.callerOf, ids.Region(v.name))
	if err != nil {
		return "", err
	}
	return r.Addr(), nil
}

// started notes the process of a VM.
func (l *links) started(name string, pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pids[name] = pid
}

// callerOf finds the VM whose process owns the socket at an address.
func (l *links) callerOf(caller netip.AddrPort) (ids.Region, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inodes := sockowner.UDPSocketInodes(caller.Port())
	for name, pid := range l.pids {
		if sockowner.OwnsSocket(pid, inodes) {
			return ids.Region(name), true
		}
	}
	return "", false
}

// Cut silently loses all packets from one VM to another, by their names; those
// in the other direction arrive. It needs Options.Links, as Heal, Freeze,
// Isolate and CutBoth do.
func (s *System) Cut(from, to string) {
	s.links.network.Direction(ids.Region(from), ids.Region(to)).Cut()
}

// CutBoth silently loses all packets between two VMs.
func (s *System) CutBoth(a, b string) {
	s.links.network.Cut(ids.Region(a), ids.Region(b))
}

// Isolate silently loses all packets between a VM and all other VMs.
func (s *System) Isolate(vm string) {
	for _, v := range s.all() {
		if v.name != vm {
			s.CutBoth(vm, v.name)
		}
	}
}

// Heal ends all cuts. Frozen flows stay frozen.
func (s *System) Heal() {
	all := s.all()
	for i, a := range all {
		for _, b := range all[:i] {
			s.links.network.Restore(ids.Region(a.name), ids.Region(b.name))
		}
	}
}

// Freeze stops the present flows between two VMs for good, while new ones
// work. It gives the number of flows.
func (s *System) Freeze(a, b string) int {
	return s.links.network.Freeze(ids.Region(a), ids.Region(b))
}
