package controlvm

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/admin"
	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/control"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
	"golang.org/x/sync/errgroup"
)

// backend implements the admin API's backend on a control VM.
type backend struct{ vm *VM }

// Propose replicates a command in the settings group and returns its result.
func (b *backend) Propose(ctx context.Context, c command.Command) (command.Result, error) {
	return b.vm.server.Propose(ctx, ids.SettingsGroup, c)
}

// confirmPollInterval is the time between two checks whether a leader has
// confirmed the settings, confirmTimeout the longest wait for a confirmation.
const (
	confirmPollInterval = 20 * time.Millisecond
	confirmTimeout      = 2 * time.Second
)

// Tree returns the newest settings and their age. It waits for a confirmation
// that the leader started after the call. An operator therefore never reads a
// version older than one already reported as accepted, even from a VM that was
// suspended or partitioned and has not noticed yet.
func (b *backend) Tree(ctx context.Context) (*settings.Tree, time.Duration, error) {
	start := time.Now()
	for {
		view, age, err := b.vm.server.Settings()
		if err != nil {
			return nil, 0, err
		}
		tree, ok := view.(*settings.Tree)
		if ok && age < time.Since(start) {
			return tree, age, nil
		}
		if time.Since(start) > confirmTimeout {
			return nil, 0, problem.New(problem.ControlUnavailable, problem.NotRun, "no leader has confirmed the settings within %v", confirmTimeout).WithRetryAfter(time.Second)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(confirmPollInterval):
		}
	}
}

// WaitInEffect waits until version is in effect at every entry VM.
func (b *backend) WaitInEffect(ctx context.Context, version uint64) (uint64, error) {
	return b.vm.server.WaitInEffect(ctx, version)
}

// Drain requests that an entry VM drains.
func (b *backend) Drain(ctx context.Context, vm ids.VMID) error {
	return b.vm.server.Drain(ctx, vm)
}

// Status returns the state of the control VMs and the entry VMs.
func (b *backend) Status(ctx context.Context) (admin.Status, error) {
	st, err := b.vm.server.LeaderStatus(ctx)
	if err != nil {
		return admin.Status{}, err
	}
	var stats ledger.Stats
	if err := b.vm.replica.Do(ctx, func() { stats = b.vm.machine.LedgerStats() }); err != nil {
		return admin.Status{}, err
	}
	out := admin.Status{
		VM: st.VM, Leader: st.Leader, Term: st.Term, AppliedIndex: st.Applied, Version: st.Version, InEffect: st.InEffect,
		LedgerEntries: stats.Entries, LedgerClaimed: stats.Claimed, LedgerTombstones: stats.Tombstones,
	}
	for i := range st.Members {
		out.Control = append(out.Control, b.controlStatus(&st.Members[i]))
	}
	for i := range st.Entries {
		out.Entries = append(out.Entries, entryStatus(&st.Entries[i]))
	}
	return out, nil
}

func (b *backend) controlStatus(m *control.MemberState) admin.ControlStatus {
	out := admin.ControlStatus{VM: m.Replica.VM, Role: m.Role, MatchIndex: m.Match, SinceLastMessageMS: int64(m.SilentMS)}
	for _, p := range b.vm.opts.Peers {
		if p.VM == m.Replica.VM {
			out.Region = p.Region
		}
	}
	return out
}

func entryStatus(e *control.EntryState) admin.EntryStatus {
	left := settingsLeaseTerm - time.Duration(e.AgeMS)*time.Millisecond
	return admin.EntryStatus{
		VM: e.Session.VM, Region: e.Region, Incarnation: e.Session.Incarnation, SettingsVersion: e.InForce,
		LeaseMS: max(0, left.Milliseconds()), Draining: e.Draining,
	}
}

// Audit returns the matching records of all control VMs, up to the query's limit.
func (b *backend) Audit(ctx context.Context, q admin.AuditQuery) (admin.AuditReply, error) {
	entries, missing, err := b.readEntries(ctx, &q)
	if err != nil {
		return admin.AuditReply{}, err
	}
	reply := admin.AuditReply{Complete: len(missing) == 0, Missing: b.vmsAt(missing)}
	requests := requestsOfWorkspace(entries, q.Workspace)
	for i := range entries {
		if len(reply.Records) >= q.Limit {
			break
		}
		if requests != nil && !requests[entries[i].Record.Request] || !inTimeRange(&q, &entries[i].Record) {
			continue
		}
		raw, err := json.Marshal(entries[i])
		if err != nil {
			return admin.AuditReply{}, fmt.Errorf("controlvm: audit record: %w", err)
		}
		reply.Records = append(reply.Records, raw)
	}
	return reply, nil
}

// readEntries reads the records that may match the query: those of one request,
// or those of the sessions of one or all VMs in order of time. It also returns
// the addresses of control VMs that did not answer.
func (b *backend) readEntries(ctx context.Context, q *admin.AuditQuery) ([]audit.Entry, []string, error) {
	reader := b.vm.auditReader()
	if q.Request != "" {
		id, err := ids.ParseRequestID(q.Request)
		if err != nil {
			return nil, nil, err
		}
		entries, missing := reader.Query(ctx, id)
		return entries, missing, nil
	}
	sessions, err := b.vm.sessions(ctx)
	if err != nil {
		return nil, nil, err
	}
	sessions = slices.DeleteFunc(sessions, func(i session.Info) bool { return q.VM != "" && i.Session.VM != q.VM })
	var all []audit.Entry
	var missing []string
	for _, r := range b.readSessions(ctx, sessions) {
		all = append(all, r.entries...)
		missing = append(missing, r.missing...)
	}
	slices.SortStableFunc(all, func(x, y audit.Entry) int {
		return int(x.Record.AtUnixMS - y.Record.AtUnixMS)
	})
	return all, missing, nil
}

// sessionRecords holds the records of one session and the addresses of control
// VMs that did not answer.
type sessionRecords struct {
	entries []audit.Entry
	missing []string
}

// maxSessionReads is the number of sessions that are read concurrently. While a
// control VM is down, each read waits for its timeout, and sequential reads would
// take minutes.
const maxSessionReads = 16

// readSessions returns the records of the sessions, in the order of the sessions.
func (b *backend) readSessions(ctx context.Context, sessions []session.Info) []sessionRecords {
	out := make([]sessionRecords, len(sessions))
	reader := b.vm.auditReader()
	var group errgroup.Group
	group.SetLimit(maxSessionReads)
	for i := range sessions {
		group.Go(func() error {
			out[i].entries, out[i].missing = reader.Session(ctx, sessions[i].Session)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// requestsOfWorkspace returns the set of requests of a workspace, nil if name is
// empty. Only the begin record of a request contains its workspace.
func requestsOfWorkspace(entries []audit.Entry, name string) map[ids.RequestID]bool {
	if name == "" {
		return nil
	}
	requests := make(map[ids.RequestID]bool)
	for i := range entries {
		if r := &entries[i].Record; r.Kind == audit.Begin && r.Workspace == name {
			requests[r.Request] = true
		}
	}
	return requests
}

// inTimeRange reports whether the record is in the query's time range, from From
// up to but not including To.
func inTimeRange(q *admin.AuditQuery, r *audit.Record) bool {
	at := time.UnixMilli(r.AtUnixMS)
	switch {
	case !q.From.IsZero() && at.Before(q.From):
		return false
	case !q.To.IsZero() && !at.Before(q.To):
		return false
	default:
		return true
	}
}

// vmsAt returns the control VMs at the addresses, without duplicates.
func (b *backend) vmsAt(addrs []string) []ids.VMID {
	var out []ids.VMID
	for _, p := range b.vm.opts.Peers {
		if slices.Contains(addrs, p.Addr) {
			out = append(out, p.VM)
		}
	}
	return out
}
