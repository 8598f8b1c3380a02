package control

import (
	"context"
	"fmt"
	"io"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// Status describes the system as seen by one control VM. Members and Entries
// are complete on the leader; another VM lists only what it knows itself.
type Status struct {
	VM        ids.VMID      `cbor:"1,keyasint"`
	Role      string        `cbor:"2,keyasint"`
	Leader    ids.VMID      `cbor:"3,keyasint"`
	Term      uint64        `cbor:"4,keyasint"`
	Commit    uint64        `cbor:"5,keyasint"`
	Applied   uint64        `cbor:"6,keyasint"`
	Snapshot  uint64        `cbor:"7,keyasint"`
	Version   uint64        `cbor:"8,keyasint"`
	InEffect  uint64        `cbor:"9,keyasint"`
	Confirmed bool          `cbor:"10,keyasint"`
	AgeMS     uint32        `cbor:"11,keyasint"` // age of the newest confirmation
	Members   []MemberState `cbor:"12,keyasint"`
	Entries   []EntryState  `cbor:"13,keyasint"`
}

// MemberState is one replica of the settings group.
type MemberState struct {
	Replica raft.ReplicaID `cbor:"1,keyasint"`
	Addr    string         `cbor:"2,keyasint"`
	// Role is "leader", "follower" or "learner".
	Role string `cbor:"3,keyasint"`
	// Match is the index of the last synced entry. Only the leader knows it.
	Match uint64 `cbor:"4,keyasint"`
	// SilentMS is the time since the VM's last report, in milliseconds. Only
	// the leader knows it.
	SilentMS uint32 `cbor:"5,keyasint"`
}

// EntryState is one entry VM's session.
type EntryState struct {
	Session  ids.SessionID `cbor:"1,keyasint"`
	Region   ids.Region    `cbor:"2,keyasint"`
	InForce  uint64        `cbor:"3,keyasint"`
	AgeMS    uint32        `cbor:"4,keyasint"` // time since the last renewal
	Draining bool          `cbor:"5,keyasint"`
}

// Status returns the system's status as seen by this VM.
func (s *Server) Status(context.Context) (Status, error) {
	v := s.replica.published.Load()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.state.confirmedAt(v)
	st := Status{
		VM: s.opts.Self, Role: s.replica.roleOf(v, s.replica.id), Leader: v.leader.VM, Term: v.term,
		Commit: v.commit, Applied: v.applied, Snapshot: v.snapshot, Version: v.settings.Version(),
		InEffect: s.state.inEffect, Confirmed: !confirmed.IsZero() && now.Sub(confirmed) < s.opts.LeaseTerm, AgeMS: ageMS(now, confirmed),
	}
	var g *registry
	if !v.confirmedAt.IsZero() {
		g = s.state.currentRegistry(v)
	}
	for _, id := range v.members.All() {
		m := MemberState{Replica: id, Addr: s.replica.addresses.addr(id.VM), Role: s.replica.roleOf(v, id), Match: v.match[id]}
		if g != nil && g.controlVMs[id.VM] != nil {
			m.SilentMS = ageMS(now, g.controlVMs[id.VM].lastConfirmed)
		}
		st.Members = append(st.Members, m)
	}
	st.Entries = s.entryStates(now, g)
	return st, nil
}

func (r *Replica) roleOf(v *view, id raft.ReplicaID) string {
	switch {
	case id == v.leader:
		return "leader"
	case v.members.IsVoter(id):
		return "follower"
	}
	return "learner"
}

func (s *Server) entryStates(now time.Time, g *registry) []EntryState {
	var list []EntryState
	if g != nil {
		for id, e := range g.sessions {
			list = append(list, EntryState{Session: id, Region: e.report.Region, InForce: e.report.InForce, AgeMS: ageMS(now, e.renewed), Draining: e.report.Draining})
		}
		return list
	}
	for id, e := range s.state.subscribers.bySession {
		list = append(list, EntryState{Session: id, Region: e.region, InForce: e.inForce, AgeMS: ageMS(now, e.renewed), Draining: e.draining})
	}
	return list
}

// LeaderStatus returns the leader's status, or this VM's own if the leader does
// not answer.
func (s *Server) LeaderStatus(ctx context.Context) (Status, error) {
	own, err := s.Status(ctx)
	if err != nil || own.Leader == "" || own.Leader == s.opts.Self {
		return own, err
	}
	body, err := wire.Encode(&statusRequest{Group: s.replica.Group()})
	if err != nil {
		return own, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	b, err := s.opts.Caller.Call(ctx, s.replica.addresses.addr(own.Leader), transport.MethodStatus, body)
	if err != nil {
		return own, nil
	}
	st := Status{}
	return st, wire.Decode(b, &st)
}

// Propose replicates a command, forwarding it to the leader if needed, and
// returns its result. It retries until ctx ends; every command is idempotent.
func (s *Server) Propose(ctx context.Context, group ids.GroupID, c command.Command) (command.Result, error) {
	for {
		reply, err := s.propose(ctx, &wire.Propose{Group: group, Command: c})
		if err != nil {
			return command.Result{}, err
		}
		if reply.Done {
			return reply.Result, nil
		}
		if !timer.Sleep(ctx, retryDelay) {
			return command.Result{}, problem.New(problem.ControlUnavailable, problem.Unknown, "the command was not confirmed in time")
		}
	}
}

// Settings returns this VM's newest settings and the time since the leader's
// confirmation that no newer version had been accepted.
func (s *Server) Settings() (SettingsView, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.state.confirmedAt(s.replica.published.Load())
	if confirmed.IsZero() {
		return nil, 0, problem.New(problem.ControlUnavailable, problem.NotRun, "no leader has confirmed this VM's settings yet")
	}
	// The tree is read after the confirmation and therefore includes the
	// confirmed version.
	return s.replica.published.Load().settings, max(0, time.Since(confirmed)), nil
}

// WaitInEffect waits until version is in effect on every entry VM or ctx ends.
// It returns the newest version in effect.
func (s *Server) WaitInEffect(ctx context.Context, version uint64) (uint64, error) {
	for {
		s.mu.Lock()
		current := s.state.inEffect
		s.mu.Unlock()
		if current >= version {
			return current, nil
		}
		if !timer.Sleep(ctx, retryDelay) {
			return current, nil
		}
	}
}

// Drain asks an entry VM to drain. The request reaches it through the control
// VM at which it renews.
func (s *Server) Drain(ctx context.Context, vm ids.VMID) error {
	id, ok, err := s.openSessionOf(ctx, vm)
	if err != nil {
		return err
	}
	if !ok {
		return problem.New(problem.NotFound, problem.NotRun, "no session of VM %q is open", vm)
	}
	s.mu.Lock()
	s.state.drains.add(time.Now(), []ids.SessionID{id})
	s.mu.Unlock()
	s.reporter.trigger()
	return nil
}

// openSessionOf returns the open session of an entry VM. It asks the leader if
// the state here, which may lag behind, does not have one.
func (s *Server) openSessionOf(ctx context.Context, vm ids.VMID) (ids.SessionID, bool, error) {
	open, err := s.openSessions(ctx, nil)
	if err != nil {
		return ids.SessionID{}, false, err
	}
	for id := range open {
		if id.VM == vm {
			return id, true, nil
		}
	}
	st, err := s.LeaderStatus(ctx)
	for i := range st.Entries {
		if st.Entries[i].Session.VM == vm {
			return st.Entries[i].Session, true, err
		}
	}
	return ids.SessionID{}, false, err
}

// Ready returns an error if this VM cannot grant leases to entry VMs.
func (s *Server) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.state.confirmedAt(s.replica.published.Load())
	if confirmed.IsZero() || time.Since(confirmed) > s.opts.LeaseTerm/2 {
		return fmt.Errorf("control: no leader has confirmed this VM within the last %v; check the links to the other control VMs", s.opts.LeaseTerm/2)
	}
	return nil
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	v := s.replica.published.Load()
	s.mu.Lock()
	subscribers, inEffect := len(s.state.subscribers.bySession), s.state.inEffect
	s.mu.Unlock()
	for _, r := range s.replicas {
		r.counters.metricSet.WritePrometheus(w)
	}
	fmt.Fprintf(w, "damask_control_is_leader %d\n", boolGauge(v.isLeader()))
	fmt.Fprintf(w, "damask_control_commit_index %d\n", v.commit)
	fmt.Fprintf(w, "damask_control_applied_index %d\n", v.applied)
	fmt.Fprintf(w, "damask_control_settings_version %d\n", v.settings.Version())
	fmt.Fprintf(w, "damask_control_settings_in_effect %d\n", inEffect)
	fmt.Fprintf(w, "damask_control_subscribers %d\n", subscribers)
}

func boolGauge(b bool) int {
	if b {
		return 1
	}
	return 0
}
