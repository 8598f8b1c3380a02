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

// backend serves the operators' API from a control VM.
type backend struct{ vm *VM }

// Propose replicates a command.
func (b *backend) Propose(ctx context.Context, c command.Command) (command.Result, error) {
	return b.vm.server.Propose(ctx, ids.SettingsGroup, c)
}

// proofInterval is the time between two looks at the leader's proof, proofLimit
// the longest wait for one.
const (
	proofInterval = 20 * time.Millisecond
	proofLimit    = 2 * time.Second
)

// Tree gives the newest settings. It waits for a proof by the leader that was
// begun after the call, so that an operator never reads a version older than
// one whose acceptance was already reported, not even at a VM that was frozen
// or cut off and does not know it yet.
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
		if time.Since(start) > proofLimit {
			return nil, 0, problem.New(problem.ControlDown, problem.NotRun, "no leader has confirmed the settings within %v", proofLimit).After(time.Second)
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(proofInterval):
		}
	}
}

// WaitInEffect waits until version is in effect at every entry VM.
func (b *backend) WaitInEffect(ctx context.Context, version uint64) (uint64, error) {
	return b.vm.server.WaitInEffect(ctx, version)
}

// Drain asks an entry VM to drain.
func (b *backend) Drain(ctx context.Context, vm ids.VMID) error {
	return b.vm.server.Drain(ctx, vm)
}

// Status describes the control VMs and the entry VMs.
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
		VM: st.VM, Leader: st.Leader, Term: st.Term, Applied: st.Applied, Version: st.Version, InEffect: st.InEffect,
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
	out := admin.ControlStatus{VM: m.Replica.VM, Role: m.Role, Match: m.Match, SilentMS: int64(m.SilentMS)}
	for _, p := range b.vm.opts.Peers {
		if p.VM == m.Replica.VM {
			out.Region = p.Region
		}
	}
	return out
}

func entryStatus(e *control.EntryState) admin.EntryStatus {
	left := leaseTerm - time.Duration(e.AgeMS)*time.Millisecond
	return admin.EntryStatus{
		VM: e.Session.VM, Region: e.Region, Incarnation: e.Session.Incarnation, InForce: e.InForce,
		LeaseMS: max(0, left.Milliseconds()), Draining: e.Draining,
	}
}

// Audit gives the records that match, from all control VMs.
func (b *backend) Audit(ctx context.Context, q admin.AuditQuery) (admin.AuditReply, error) {
	entries, missing, err := b.entries(ctx, &q)
	if err != nil {
		return admin.AuditReply{}, err
	}
	reply := admin.AuditReply{Complete: len(missing) == 0, Missing: b.names(missing)}
	requests := ofWorkspace(entries, q.Workspace)
	for i := range entries {
		if len(reply.Records) >= q.Limit {
			break
		}
		if requests != nil && !requests[entries[i].Record.Request] || !matches(&q, &entries[i].Record) {
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

// entries reads the records that may match: those of one request, or of the
// sessions of one or all VMs.
func (b *backend) entries(ctx context.Context, q *admin.AuditQuery) ([]audit.Entry, []string, error) {
	reader := b.vm.reader()
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

// sessionRecords are the records of one session and the addresses of control
// VMs that did not answer.
type sessionRecords struct {
	entries []audit.Entry
	missing []string
}

// sessionReads is how many sessions are read at once. While a control VM is
// down each read waits for its time limit, so reading them one by one takes
// minutes.
const sessionReads = 16

// readSessions reads the records of sessions, in their order.
func (b *backend) readSessions(ctx context.Context, sessions []session.Info) []sessionRecords {
	out := make([]sessionRecords, len(sessions))
	reader := b.vm.reader()
	var group errgroup.Group
	group.SetLimit(sessionReads)
	for i := range sessions {
		group.Go(func() error {
			out[i].entries, out[i].missing = reader.Session(ctx, sessions[i].Session)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// ofWorkspace gives the requests of a workspace, nil for no name. Only the begin
// record of a request names its workspace.
func ofWorkspace(entries []audit.Entry, name string) map[ids.RequestID]bool {
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

func matches(q *admin.AuditQuery, r *audit.Record) bool {
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

// names gives the VMs at the addresses, each once.
func (b *backend) names(addrs []string) []ids.VMID {
	var out []ids.VMID
	for _, p := range b.vm.opts.Peers {
		if slices.Contains(addrs, p.Addr) {
			out = append(out, p.VM)
		}
	}
	return out
}
