package control

import (
	"sync"

	"damaskbridge.example/damaskbridge/ids"
)

// addressBook maps control VMs to their addresses: those listed in the settings
// and those that other VMs have sent in join requests, raft batches and
// reports.
type addressBook struct {
	mu    sync.Mutex
	addrs map[ids.VMID]string
	// namesAreAddrs is true if every VM is named by its address.
	namesAreAddrs bool
}

func newAddressBook(peers []Peer, namesAreAddrs bool) *addressBook {
	b := &addressBook{addrs: map[ids.VMID]string{}, namesAreAddrs: namesAreAddrs}
	for _, p := range peers {
		b.addrs[p.VM] = p.Addr
	}
	return b
}

func (b *addressBook) addr(vm ids.VMID) string {
	if b.namesAreAddrs {
		return addressOf(vm)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addrs[vm]
}

func (b *addressBook) update(vm ids.VMID, addr string) {
	if addr == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs[vm] = addr
}
