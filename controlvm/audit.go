package controlvm

import (
	"context"
	"path/filepath"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/transport"
)

// handleAudit answers the audit calls of entry VMs, control VMs and operators.
func (v *VM) handleAudit() {
	copies := audit.NewCopyDir(filepath.Join(v.opts.Data, "audit-copies"))
	v.copies = copies
	v.server.Handle(transport.MethodAuditAppend, transport.HandlerFunc(
		func(ctx context.Context, from transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return v.store.ServeAppend(ctx, from, body, copies)
		}))
	v.server.Handle(transport.MethodAuditQuery, transport.HandlerFunc(
		func(_ context.Context, from transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return v.store.ServeQueryCopies(from, body, copies)
		}))
}

// runCopies keeps a second copy of the audit log until ctx ends.
func (v *VM) runCopies(ctx context.Context) {
	if v.opts.CopyTo == "" {
		return
	}
	target := &audit.RemoteTarget{Caller: v.caller, Addr: v.opts.CopyTo}
	every(ctx, copyInterval, func() {
		if err := v.store.Replicate(ctx, v.source, target); err != nil && ctx.Err() == nil {
			v.log.Warn().Err(err).Msg("audit: the second copy is behind")
		}
	})
}

// runRetire deletes segments that are older than the retention.
func (v *VM) runRetire(ctx context.Context) {
	every(ctx, retireInterval, func() {
		if n, err := v.store.Retire(); err != nil {
			v.log.Error().Err(err).Msg("audit: old segments could not be deleted")
		} else if n > 0 {
			v.log.Info().Int("segments", n).Msg("audit: old segments deleted")
		}
		if _, err := v.copies.Retire(time.Now(), v.opts.Retention); err != nil {
			v.log.Error().Err(err).Msg("audit: old segments of copies could not be deleted")
		}
	})
}

// every calls f once an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// reader asks all control VMs for audit records.
func (v *VM) reader() *audit.Reader {
	addrs := make([]string, 0, len(v.opts.Peers))
	for _, p := range v.opts.Peers {
		addrs = append(addrs, p.Addr)
	}
	return &audit.Reader{Caller: v.caller, Addrs: addrs}
}

// sessionState gives what the replicated state knows of a session.
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
	return stateOf(&info), nil
}

// sessions gives all sessions that are known, ended ones included.
func (v *VM) sessions(ctx context.Context) ([]session.Info, error) {
	var all []session.Info
	err := v.replica.Do(ctx, func() {
		all = append(all, v.machine.EndedSessions()...)
		all = append(all, v.machine.OpenSessions()...)
	})
	return all, err
}

func stateOf(i *session.Info) audit.SessionState {
	return audit.SessionState{
		Session:      i.Session,
		Ended:        i.End != session.Open,
		Termination:  terminations[i.End],
		ReservedUpTo: i.UpTo,
		Drained:      i.End == session.Closed,
		LastSeq:      i.LastSeq,
	}
}

// terminations say for operators how a session ended.
var terminations = map[session.End]string{
	session.Open:     "open",
	session.Expired:  "the VM was lost: its lease ran out",
	session.Replaced: "the VM restarted without a drain",
	session.Closed:   "the VM was drained",
}
