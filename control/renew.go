package control

import (
	"context"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// tellTimeout bounds the wait for a report to the leader within a Renew.
const tellTimeout = 500 * time.Millisecond

// renew extends an entry VM's settings lease and session.
func (s *Server) renew(ctx context.Context, from transport.Peer, r *wire.Renew) (*wire.RenewReply, error) {
	if from.Role == transport.RoleEntry && from.VM != r.Session.VM {
		return nil, fmt.Errorf("control: VM %q renews a session of VM %q; correct the VM's name in its settings", from.VM, r.Session.VM)
	}
	s.count.renewals.Inc()
	s.mu.Lock()
	mustTell, fresh := s.hub.note(time.Now(), r)
	s.mu.Unlock()
	switch {
	case mustTell:
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		s.relay.now(ctx)
		cancel()
	case fresh:
		s.relay.wake()
	}
	s.mu.Lock()
	reply := s.hub.renewReply(time.Now(), s.replica.published.Load(), r)
	s.mu.Unlock()
	if reply.OK {
		// The tree is read after the proof, so it covers the proof's version.
		tree := s.replica.published.Load().settings
		if tree.Version() >= r.InForce {
			return reply, fill(reply, tree, r.InForce)
		}
		// The entry VM has seen a newer version; another control VM has it.
		reply.OK = false
	}
	s.count.renewalsRefused.Inc()
	return reply, nil
}

// fill adds the changes since version, or the whole tree if the history does
// not reach back.
func fill(reply *wire.RenewReply, tree SettingsView, version uint64) error {
	reply.Version = tree.Version()
	if version == reply.Version {
		return nil
	}
	changes, ok := tree.Since(version)
	if ok {
		reply.Changes = changes
		return nil
	}
	whole, err := tree.Encode()
	reply.Snapshot = whole
	return err
}
