package entry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/wire"
	"github.com/phuslu/log"
)

// subscriber owns the control state of an entry VM: its session, settings lease
// and settings tree. Only its run method publishes snapshots.
type subscriber struct {
	vm             ids.VMID
	region         ids.Region
	advertisedAddr string
	control        Control
	log            *log.Logger
	seq            *sequence
	// incarnation is the highest incarnation tried in this process.
	incarnation ids.Incarnation
	published   atomic.Pointer[snapshot]
	draining    atomic.Bool

	// observations returns this VM's observations of upstreams for the next renewal.
	observations func(now time.Time) []settings.Observation
	// onObservations is called with upstream states observed by other entry VMs.
	onObservations func([]settings.Observation)
	// onSettings is called after a new settings tree is published.
	onSettings func(*settings.Tree)
}

func newSubscriber(o Options, seq *sequence) *subscriber {
	return &subscriber{
		vm:             o.VM,
		region:         o.Region,
		control:        o.Control,
		log:            o.Logger,
		seq:            seq,
		incarnation:    ids.Incarnation(time.Now().UnixMilli()),
		observations:   func(time.Time) []settings.Observation { return nil },
		onObservations: func([]settings.Observation) {},
		onSettings:     func(*settings.Tree) {},
	}
}

// snapshot returns the published state. It is nil until the first session opens.
func (s *subscriber) snapshot() *snapshot { return s.published.Load() }

// run opens a session and renews it until ctx ends.
func (s *subscriber) run(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := s.renewSession(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("entry: lease renewal failed")
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// runReservations keeps sequence numbers reserved until ctx ends. It runs
// separately from the renewals, so that a slow proposal does not delay a renewal
// until the lease expires.
func (s *subscriber) runReservations(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := s.reserve(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("entry: sequence number reservation failed")
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.seq.refill:
		}
	}
}

// renewSession renews the session once, and opens a new one first if there is
// none or it has ended.
func (s *subscriber) renewSession(ctx context.Context) error {
	if s.snapshot() == nil {
		if err := s.openSession(ctx); err != nil {
			return err
		}
	}
	err := s.renew(ctx)
	if !errors.Is(err, errSessionEnded) {
		return err
	}
	if err := s.openSession(ctx); err != nil {
		return err
	}
	return s.renew(ctx)
}

// errSessionEnded means that a new session must be opened.
var errSessionEnded = errors.New("the session has ended")

// openSession opens a new session. The incarnation starts at the wall clock time
// and is raised above the highest known one, so that a clock set back cannot
// make this process look like an earlier one.
func (s *subscriber) openSession(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s.incarnation++
	session := ids.SessionID{VM: s.vm, Incarnation: s.incarnation}
	open := &command.OpenSession{Session: session, Region: s.region, Callers: s.advertisedAddr}
	res, err := s.control.Propose(ctx, ids.SettingsGroup, command.Command{OpenSession: open})
	if err != nil {
		return fmt.Errorf("open session: %w", err)
	}
	if res.Code != command.OK {
		if known := res.Owner.Session.Incarnation; known > s.incarnation {
			s.incarnation = known
		}
		return fmt.Errorf("open session %s: %s", session, res.Detail)
	}
	s.seq.reset(session)
	s.seq.extend(session, res.UpTo)
	next := &snapshot{session: session}
	if old := s.snapshot(); old != nil {
		next.tree = old.tree
		next.drain = old.drain
	}
	s.published.Store(next)
	s.log.Info().Stringer("session", session).Msg("entry: session opened")
	return nil
}

// renew extends the lease and applies settings changes.
func (s *subscriber) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	old := s.snapshot()
	req := wire.Renew{Session: old.session, Region: s.region, SettingsVersion: treeVersion(old.tree), Observations: s.observations(time.Now()), Draining: s.draining.Load() || old.drain}
	sent := time.Now()
	reply, err := s.control.Renew(ctx, req)
	if err != nil {
		return fmt.Errorf("renew: %w", err)
	}
	if reply.SessionEnded {
		return errSessionEnded
	}
	if !reply.OK {
		return errors.New("renew: the control VM cannot prove that its state is current")
	}
	return s.applyReply(old, sent, &reply)
}

// applyReply publishes the state after a renewal. The lease is extended only
// together with the newest tree: a VM that can't apply a change must not keep
// serving with the old settings.
func (s *subscriber) applyReply(old *snapshot, sent time.Time, reply *wire.RenewReply) error {
	tree, err := nextTree(old.tree, reply)
	if err != nil {
		return err
	}
	age := time.Duration(reply.AgeMS) * time.Millisecond
	term := time.Duration(reply.TermMS) * time.Millisecond
	next := &snapshot{tree: tree, session: old.session, lease: old.lease.renewed(sent, age, term), drain: reply.Drain}
	s.published.Store(next)
	if tree != old.tree {
		s.onSettings(tree)
		s.log.Info().Uint64("version", tree.Version()).Msg("entry: settings in effect")
	}
	if len(reply.Observations) > 0 {
		s.onObservations(reply.Observations)
	}
	return nil
}

// nextTree returns the settings tree after a reply. It returns an error rather
// than go back to a lower version.
func nextTree(tree *settings.Tree, reply *wire.RenewReply) (*settings.Tree, error) {
	if reply.Version < treeVersion(tree) {
		return nil, fmt.Errorf("control VM is at settings version %d, behind this VM's version %d", reply.Version, treeVersion(tree))
	}
	if len(reply.Snapshot) > 0 {
		fresh, err := settings.DecodeTree(reply.Snapshot)
		if err != nil {
			return nil, fmt.Errorf("settings snapshot: %w", err)
		}
		tree = fresh
	}
	if tree == nil {
		tree = settings.NewTree()
	}
	tree, err := tree.Replay(reply.Changes)
	if err != nil {
		return nil, fmt.Errorf("settings changes: %w", err)
	}
	if tree.Version() != reply.Version {
		return nil, fmt.Errorf("settings end at version %d, want %d", tree.Version(), reply.Version)
	}
	return tree, nil
}

// treeVersion returns the version of t, 0 if t is nil.
func treeVersion(t *settings.Tree) uint64 {
	if t == nil {
		return 0
	}
	return t.Version()
}

// reserve reserves another block of sequence numbers if few are left.
func (s *subscriber) reserve(ctx context.Context) error {
	session, upTo, needed := s.seq.nextReservation()
	if !needed || session == (ids.SessionID{}) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	cmd := command.Command{Reserve: &command.Reserve{Session: session, UpTo: upTo}}
	res, err := s.control.Propose(ctx, ids.SettingsGroup, cmd)
	if err != nil {
		return fmt.Errorf("reserve sequence numbers: %w", err)
	}
	if res.Code != command.OK {
		return fmt.Errorf("reserve sequence numbers: %s", res.Detail)
	}
	s.seq.extend(session, upTo)
	return nil
}

// closeSession closes the session after a drain.
func (s *subscriber) closeSession(ctx context.Context) error {
	session, last := s.seq.lastUsed()
	cmd := command.Command{CloseSession: &command.CloseSession{Session: session, LastSeq: last}}
	res, err := s.control.Propose(ctx, ids.SettingsGroup, cmd)
	if err != nil {
		return fmt.Errorf("close session: %w", err)
	}
	if res.Code != command.OK {
		return fmt.Errorf("close session: %s", res.Detail)
	}
	return nil
}
