package controlvm

import (
	"context"
	"path/filepath"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/transport"
)

// registerAudit registers the handlers for audit appends and audit queries.
func (v *VM) registerAudit() {
	copies := audit.NewCopyDir(filepath.Join(v.opts.Data, "audit-copies"))
	v.copies = copies
	v.server.Handle(transport.MethodAuditAppend, transport.HandlerFunc(
		func(ctx context.Context, from transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return v.store.ServeAppend(ctx, from, body, copies)
		}))
	v.server.Handle(transport.MethodAuditQuery, transport.HandlerFunc(
		func(_ context.Context, from transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return v.store.ServeQueryWithCopies(from, body, copies)
		}))
}

// runReplication replicates the audit log to Options.CopyTo until ctx ends.
func (v *VM) runReplication(ctx context.Context) {
	if v.opts.CopyTo == "" {
		return
	}
	target := &audit.RemoteTarget{Caller: v.caller, Addr: v.opts.CopyTo}
	timer.Every(ctx, replicationInterval, func() {
		if err := v.store.Replicate(ctx, v.auditSource, target); err != nil && ctx.Err() == nil {
			v.log.Warn().Err(err).Msg("audit: the second copy is behind")
		}
	})
}

// runRetention periodically deletes segments that are older than the retention,
// until ctx ends.
func (v *VM) runRetention(ctx context.Context) {
	timer.Every(ctx, retentionInterval, func() {
		if n, err := v.store.DeleteExpired(); err != nil {
			v.log.Error().Err(err).Msg("audit: old segments could not be deleted")
		} else if n > 0 {
			v.log.Info().Int("segments", n).Msg("audit: old segments deleted")
		}
		if _, err := v.copies.DeleteExpired(time.Now(), v.opts.Retention); err != nil {
			v.log.Error().Err(err).Msg("audit: old segments of copies could not be deleted")
		}
	})
}

// auditReader returns a reader that queries all control VMs for audit records.
func (v *VM) auditReader() *audit.Reader {
	addrs := make([]string, 0, len(v.opts.Peers))
	for _, p := range v.opts.Peers {
		addrs = append(addrs, p.Addr)
	}
	return &audit.Reader{Caller: v.caller, Addrs: addrs}
}

// sessionState returns the replicated state of a session. For an unknown session
// all fields except the ID are zero.
func (v *VM) sessionState(ctx context.Context, id ids.SessionID) (audit.SessionState, error) {
	var info session.Info
	var ok bool
	err := v.replica.Do(ctx, func() { info, ok = v.machine.Session(id) })
	if err != nil {
		return audit.SessionState{}, err
	}
	if !ok {
		return audit.SessionState{Session: id}, nil
	}
	return sessionStateOf(&info), nil
}

// sessions returns all known sessions, including ended ones.
func (v *VM) sessions(ctx context.Context) ([]session.Info, error) {
	var all []session.Info
	err := v.replica.Do(ctx, func() {
		all = append(all, v.machine.EndedSessions()...)
		all = append(all, v.machine.OpenSessions()...)
	})
	return all, err
}

func sessionStateOf(i *session.Info) audit.SessionState {
	return audit.SessionState{
		Session:      i.Session,
		Ended:        i.End != session.Open,
		Termination:  terminationTexts[i.End],
		ReservedUpTo: i.UpTo,
		Drained:      i.End == session.Closed,
		LastSeq:      i.LastSeq,
	}
}

// terminationTexts tells operators how a session ended.
var terminationTexts = map[session.End]string{
	session.Open:     "open",
	session.Expired:  "the VM was lost: its lease ran out",
	session.Replaced: "the VM restarted without a drain",
	session.Closed:   "the VM was drained",
}
