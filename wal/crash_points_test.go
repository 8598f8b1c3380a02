package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/raft"
)

// logContent is what a log must give back when it is opened: the snapshot's
// index, 0 if there is none, and the entries that follow it.
type logContent struct {
	snapshotIndex uint64
	entries       []raft.Entry
}

func (c *logContent) String() string { return fmt.Sprint(c.snapshotIndex, c.entries) }

func (c *logContent) lastIndex() uint64 { return c.snapshotIndex + uint64(len(c.entries)) }

// append returns the content after entries replace all from the first one's
// index on.
func (c *logContent) append(entries []raft.Entry) *logContent {
	kept := c.entries[:entries[0].Index-c.snapshotIndex-1]
	return &logContent{c.snapshotIndex, slices.Concat(kept, entries)}
}

// crashHistory applies random operations to a log whose process ends at any step
// of them.
type crashHistory struct {
	r  *rand.Rand
	fs *memFS
	// fills is true if the disk is full now and then.
	fills bool
	// possible holds what the log may give back. There are two possibilities
	// after an operation that was not acknowledged.
	possible []*logContent
}

// TestCrashPoints guards against a log that cannot be opened, or gives back less
// than was acknowledged, after the process ended between any two steps of an
// operation or of the recovery from an earlier end.
func TestCrashPoints(t *testing.T) { checkCrashHistories(t, false) }

// TestCrashPointsOnFullDisks guards against the same where space runs out at any
// write and comes back later, and against a log that is unusable until it is
// opened again.
func TestCrashPointsOnFullDisks(t *testing.T) { checkCrashHistories(t, true) }

func checkCrashHistories(t *testing.T, fills bool) {
	rapid.Check(t, func(t *rapid.T) {
		h := &crashHistory{
			r:        rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)),
			fs:       newMemFS(),
			fills:    fills,
			possible: []*logContent{{}},
		}
		for range 5 {
			h.fs.stepsLeft = h.r.IntN(60)
			if err := h.runProcess(); err != nil {
				t.Fatal(err)
			}
			if h.r.IntN(2) == 0 {
				h.fs = h.fs.kill()
			} else {
				h.fs = h.fs.crash(h.r)
			}
		}
	})
}

// runProcess opens the log, checks its content and changes it until the process
// ends.
func (h *crashHistory) runProcess() error {
	var l *Log
	var s *State
	err := h.untilSpace(func() (err error) {
		l, s, err = Open(h.fs, "d", identity)
		return err
	})
	if err != nil {
		return h.unlessEnded(err)
	}
	l.segmentBytes = 300
	got := &logContent{entries: s.Entries}
	if s.Snapshot != nil {
		got.snapshotIndex = s.Snapshot.Index
	}
	matches := func(c *logContent) bool { return c.String() == got.String() }
	if !slices.ContainsFunc(h.possible, matches) {
		return fmt.Errorf("read %v, possible are %v", got, h.possible)
	}
	for range 1 + h.r.IntN(12) {
		before := got
		got, err = h.change(l, before)
		if err != nil {
			h.possible = []*logContent{before, got}
			return h.unlessEnded(err)
		}
	}
	h.possible = []*logContent{got}
	return nil
}

// unlessEnded returns err unless the process has ended, which explains it.
func (h *crashHistory) unlessEnded(err error) error {
	if h.fs.ended() {
		return nil
	}
	return err
}

// change applies one operation and returns the content that it leads to.
func (h *crashHistory) change(l *Log, c *logContent) (*logContent, error) {
	switch h.r.IntN(6) {
	case 0:
		return h.saveOwnSnapshot(l, c)
	case 1:
		return h.takeSnapshot(l, c)
	}
	first := c.lastIndex() + 1
	if h.r.IntN(4) == 0 { // a leader replaces the end of the log
		first -= uint64(h.r.IntN(len(c.entries) + 1))
	}
	entries := makeEntries(first, first+uint64(h.r.IntN(4)), 1000+uint64(h.r.IntN(5)))
	after := c.append(entries)
	save := func() error {
		return l.Save(Batch{Entries: entries, HardState: &raft.HardState{Term: 5}})
	}
	h.limitSpace()
	err := save()
	if isFullError(err) && h.r.IntN(2) == 0 {
		return c, nil // a replica may replace the entries before there is space
	}
	if isFullError(err) {
		err = h.untilSpace(save)
	}
	return after, err
}

// limitSpace leaves few bytes free, if the disk fills at times.
func (h *crashHistory) limitSpace() {
	h.fs.freeBytes = 1 << 30
	if h.fills && h.r.IntN(2) == 0 {
		h.fs.freeBytes = h.r.IntN(300)
	}
}

// untilSpace repeats an operation while the disk is full.
func (h *crashHistory) untilSpace(operate func() error) error {
	for {
		h.limitSpace()
		if err := operate(); !isFullError(err) {
			return err
		}
	}
}

// saveOwnSnapshot stores a snapshot at one of the log's entries.
func (h *crashHistory) saveOwnSnapshot(l *Log, c *logContent) (*logContent, error) {
	if len(c.entries) == 0 {
		return c, nil
	}
	n := h.r.IntN(len(c.entries))
	at := c.entries[n]
	after := &logContent{at.Index, c.entries[n+1:]}
	s := raft.Snapshot{Index: at.Index, Term: at.Term, Data: []byte{1}}
	if err := h.untilSpace(func() error { return l.SaveSnapshot(s) }); err != nil {
		return after, err
	}
	return after, l.Compact(at.Index)
}

// takeSnapshot replaces the log by a snapshot of another term, as the leader
// sends it.
func (h *crashHistory) takeSnapshot(l *Log, c *logContent) (*logContent, error) {
	index := c.snapshotIndex + uint64(1+h.r.IntN(len(c.entries)+5))
	s := raft.Snapshot{Index: index, Term: 100 + index, Data: []byte{2}}
	after := &logContent{snapshotIndex: index}
	if err := h.untilSpace(func() error { return l.SaveSnapshot(s) }); err != nil {
		return after, err
	}
	if err := h.untilSpace(func() error { return l.Save(Batch{Reset: &s}) }); err != nil {
		return after, err
	}
	return after, l.Compact(index)
}
