package control

import (
	"context"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// renewReportTimeout bounds the wait for a report to the leader within a Renew.
const renewReportTimeout = 500 * time.Millisecond

// renew extends an entry VM's settings lease and session.
func (s *Server) renew(ctx context.Context, from transport.Peer, r *wire.Renew) (*wire.RenewReply, error) {
	if from.Role == transport.RoleEntry && from.VM != r.Session.VM {
		return nil, fmt.Errorf("control: VM %q renews a session of VM %q; correct the VM's name in its settings", from.VM, r.Session.VM)
	}
	s.counters.renewals.Inc()
	s.mu.Lock()
	mustReport, newObservation := s.state.recordRenewal(time.Now(), r)
	s.mu.Unlock()
	switch {
	case mustReport:
		ctx, cancel := context.WithTimeout(ctx, renewReportTimeout)
		s.reporter.reportNow(ctx)
		cancel()
	case newObservation:
		s.reporter.trigger()
	}
	s.mu.Lock()
	reply := s.state.renewReply(time.Now(), s.replica.published.Load(), r)
	s.mu.Unlock()
	if reply.OK {
		// The tree is read after the confirmation and therefore includes the
		// confirmed version.
		tree := s.replica.published.Load().settings
		if tree.Version() >= r.SettingsVersion {
			return reply, fillChanges(reply, tree, r.SettingsVersion)
		}
		// The entry VM has a newer version, from another control VM.
		reply.OK = false
	}
	s.counters.renewalsRefused.Inc()
	return reply, nil
}

// fillChanges adds the changes since version, or the whole tree if the history
// does not reach back that far.
func fillChanges(reply *wire.RenewReply, tree SettingsView, version uint64) error {
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
