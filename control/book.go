package control

import (
	"sync"

	"damaskbridge.example/damaskbridge/ids"
)

// book knows the addresses of the control VMs: those of the settings and those
// that VMs outside of the list have told.
type book struct {
	mu    sync.Mutex
	addrs map[ids.VMID]string
	// namesAreAddrs says that a VM's name is its address.
	namesAreAddrs bool
}

func newBook(peers []Peer, namesAreAddrs bool) *book {
	b := &book{addrs: map[ids.VMID]string{}, namesAreAddrs: namesAreAddrs}
	for _, p := range peers {
		b.addrs[p.VM] = p.Addr
	}
	return b
}

func (b *book) addr(vm ids.VMID) string {
	if b.namesAreAddrs {
		return addressOf(vm)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[vm]
}

func (b *book) learn(vm ids.VMID, addr string) {
	if addr == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[vm] = addr
}
