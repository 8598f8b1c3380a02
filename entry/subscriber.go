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

// subscriber owns the control state of an entry VM: its session, its settings
// lease and its settings tree. Its run method is the only writer.
type subscriber struct {
	vm      ids.VMID
	region  ids.Region
	callers string
	control Control
	log     *log.Logger
	seq     *sequence
	// incarnation is the highest one tried in this process.
	incarnation ids.Incarnation
	published   atomic.Pointer[snapshot]
	draining    atomic.Bool

	// signs gives the own observations of upstreams for the next renewal.
	signs func(now time.Time) []settings.Sign
	// onSigns receives upstream states seen by other entry VMs.
	onSigns func([]settings.Sign)
	// onTree is called after each newly published tree.
	onTree func(*settings.Tree)
}

func newSubscriber(o Options, seq *sequence) *subscriber {
	return &subscriber{
		vm:          o.VM,
		region:      o.Region,
		control:     o.Control,
		log:         o.Logger,
		seq:         seq,
		incarnation: ids.Incarnation(time.Now().UnixMilli()),
		signs:       func(time.Time) []settings.Sign { return nil },
		onSigns:     func([]settings.Sign) {},
		onTree:      func(*settings.Tree) {},
	}
}

// snapshot gives the published state; it may be nil before the first renewal.
func (s *subscriber) snapshot() *snapshot { return s.published.Load() }

// run opens a session and renews it until ctx ends.
func (s *subscriber) run(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := s.step(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("entry: renewal failed")
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// runReserver keeps sequence numbers reserved until ctx ends. It runs beside
// the renewals, so that a slow proposal doesn't cost the lease.
func (s *subscriber) runReserver(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := s.reserve(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Msg("entry: reservation failed")
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.seq.low:
		}
	}
}

// step does one renewal and what follows from it.
func (s *subscriber) step(ctx context.Context) error {
	if s.snapshot() == nil {
		if err := s.open(ctx); err != nil {
			return err
		}
	}
	err := s.renew(ctx)
	if !errors.Is(err, errSessionEnded) {
		return err
	}
	if err := s.open(ctx); err != nil {
		return err
	}
	return s.renew(ctx)
}

// errSessionEnded asks for a new session.
var errSessionEnded = errors.New("the session has ended")

// open registers a new session. The incarnation starts at the wall time and is
// raised above the highest known one, so that a clock that went back can't
// make this life look like an earlier one.
func (s *subscriber) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	s.incarnation++
	session := ids.SessionID{VM: s.vm, Incarnation: s.incarnation}
	open := &command.OpenSession{Session: session, Region: s.region, Callers: s.callers}
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
	s.seq.open(session)
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
	req := wire.Renew{Session: old.session, Region: s.region, InForce: version(old.tree), Signs: s.signs(time.Now()), Draining: s.draining.Load() || old.drain}
	sent := time.Now()
	reply, err := s.control.Renew(ctx, req)
	if err != nil {
		return fmt.Errorf("renew: %w", err)
	}
	if reply.SessionEnded {
		return errSessionEnded
	}
	if !reply.OK {
		return errors.New("renew: the control VM can't prove that it is current")
	}
	return s.apply(old, sent, &reply)
}

// apply publishes the state after a renewal. The lease is extended only
// together with the newest tree: a VM that can't apply a change must not go on
// with the old one.
func (s *subscriber) apply(old *snapshot, sent time.Time, reply *wire.RenewReply) error {
	tree, err := advance(old.tree, reply)
	if err != nil {
		return err
	}
	age := time.Duration(reply.AgeMS) * time.Millisecond
	term := time.Duration(reply.TermMS) * time.Millisecond
	next := &snapshot{tree: tree, session: old.session, lease: old.lease.extended(sent, age, term), drain: reply.Drain}
	s.published.Store(next)
	if tree != old.tree {
		s.onTree(tree)
		s.log.Info().Uint64("version", tree.Version()).Msg("entry: settings in effect")
	}
	if len(reply.Signs) > 0 {
		s.onSigns(reply.Signs)
	}
	return nil
}

// advance gives the tree after a reply. It never goes back to a lower version.
func advance(tree *settings.Tree, reply *wire.RenewReply) (*settings.Tree, error) {
	if reply.Version < version(tree) {
		return nil, fmt.Errorf("control VM is at version %d, behind %d", reply.Version, version(tree))
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

func version(t *settings.Tree) uint64 {
	if t == nil {
		return 0
	}
	return t.Version()
}

// reserve asks for another block of sequence numbers if few are left.
func (s *subscriber) reserve(ctx context.Context) error {
	session, upTo, low := s.seq.wanted()
	if !low || session == (ids.SessionID{}) {
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

// closeSession ends the session after a drain.
func (s *subscriber) closeSession(ctx context.Context) error {
	session, last := s.seq.used()
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
