// Package session tracks the sessions of entry VMs: which incarnation of a VM has
// an open session, which request sequence numbers each session may use, and how
// each session ended. It does no I/O; the times passed in are those of the
// replicated state machine.
package session

import (
	"cmp"
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

const (
	// SeqBlockSize is the number of sequence numbers that a session reserves at a
	// time. The first block is reserved when the session opens.
	SeqBlockSize = 4096
	// maxReservation limits how many sequence numbers one command can reserve, so
	// that a corrupt number cannot reserve all of them.
	maxReservation = 64 * SeqBlockSize
	// maxVMBytes is the maximum length of a VM name, a region name and an address.
	maxVMBytes = 255
	// minEndedSessions is the number of ended sessions kept regardless of their
	// age, so that a wrong clock alone cannot remove evidence for the audit.
	minEndedSessions = 10_000
	// maxRetiredPerCommand limits how many ended sessions one command removes.
	maxRetiredPerCommand = 16
)

// End is the way in which a session ended.
type End uint8

// Ways in which a session ends.
const (
	// Open: the session has not ended.
	Open End = iota
	// Expired: the session's lease expired.
	Expired
	// Replaced: the VM opened a newer session.
	Replaced
	// Closed: the VM closed the session after a drain.
	Closed
)

// Info describes one session.
type Info struct {
	Session ids.SessionID `cbor:"1,keyasint" json:"session"`
	Region  ids.Region    `cbor:"2,keyasint,omitempty" json:"region"`
	// UpTo is the last sequence number reserved for the session.
	UpTo uint64 `cbor:"3,keyasint" json:"up_to"`
	// LastSeq is the last sequence number that the session reported as used. It is
	// known only for closed sessions.
	LastSeq uint64 `cbor:"4,keyasint,omitempty" json:"last_seq,omitempty"`
	// Callers is the address of the VM's HTTP listener for other entry VMs.
	Callers      string `cbor:"8,keyasint,omitempty" json:"callers,omitempty"`
	OpenedUnixMS int64  `cbor:"5,keyasint" json:"opened_unix_ms"`
	EndedUnixMS  int64  `cbor:"6,keyasint,omitempty" json:"ended_unix_ms,omitempty"`
	End          End    `cbor:"7,keyasint,omitempty" json:"end"`
}

// Table holds the open sessions and those ended sessions that are still kept. It
// is not safe for concurrent use.
type Table struct {
	open map[ids.VMID]*Info
	// newest is the newest incarnation ever opened for each VM. It ensures that
	// an ended session is never opened again.
	newest map[ids.VMID]ids.Incarnation
	// ended is ordered by end time.
	ended []Info
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{open: map[ids.VMID]*Info{}, newest: map[ids.VMID]ids.Incarnation{}}
}

// Open opens a session. If the VM has an older open session, that session ends
// and is returned, so that the caller can settle its claims. Opening an open
// session again changes nothing. An incarnation must be newer than all previous
// ones; otherwise, the result's Owner holds the newest one, so that a VM whose
// clock went back can choose a greater number.
func (t *Table) Open(c *command.OpenSession, nowUnixMS int64) (replaced *ids.SessionID, r command.Result) {
	vm := c.Session.VM
	if vm == "" || len(vm) > maxVMBytes || len(c.Region) > maxVMBytes || len(c.Callers) > maxVMBytes {
		return nil, command.Result{Code: command.Malformed, Detail: "the VM or region name or the address is empty or too long; correct the VM's settings"}
	}
	if s, ok := t.open[vm]; ok && s.Session == c.Session {
		return nil, command.Result{UpTo: s.UpTo}
	}
	if newest, ok := t.newest[vm]; ok && c.Session.Incarnation <= newest {
		r := sessionEndedResult(c.Session)
		r.Owner.Session = ids.SessionID{VM: vm, Incarnation: newest}
		return nil, r
	}
	if s, ok := t.open[vm]; ok {
		old := s.Session
		replaced = &old
		t.endSession(s, Replaced, nowUnixMS)
	}
	t.newest[vm] = c.Session.Incarnation
	t.open[vm] = &Info{Session: c.Session, Region: c.Region, Callers: c.Callers, UpTo: SeqBlockSize, OpenedUnixMS: nowUnixMS}
	return replaced, command.Result{UpTo: SeqBlockSize}
}

// Expire ends an open session. If it is not open, nothing changes and the result
// is SessionEnded.
func (t *Table) Expire(id ids.SessionID, nowUnixMS int64) command.Result {
	s := t.findOpen(id)
	if s == nil {
		return sessionEndedResult(id)
	}
	t.endSession(s, Expired, nowUnixMS)
	return command.Result{}
}

// Close ends an open session after a drain. Repeating it with the same
// last sequence number succeeds.
func (t *Table) Close(c *command.CloseSession, nowUnixMS int64) command.Result {
	s := t.findOpen(c.Session)
	if s == nil {
		if old, ok := t.Find(c.Session); ok && old.End == Closed && old.LastSeq == c.LastSeq {
			return command.Result{}
		}
		return sessionEndedResult(c.Session)
	}
	if c.LastSeq > s.UpTo {
		return command.Result{Code: command.Malformed, Detail: "the last sequence number was not reserved", UpTo: s.UpTo}
	}
	s.LastSeq = c.LastSeq
	t.endSession(s, Closed, nowUnixMS)
	return command.Result{}
}

// Reserve raises the last sequence number that the session may use, rounded up to
// a whole block. A request for a lower number changes nothing.
func (t *Table) Reserve(c *command.Reserve) command.Result {
	s := t.findOpen(c.Session)
	if s == nil {
		return sessionEndedResult(c.Session)
	}
	if c.UpTo <= s.UpTo {
		return command.Result{UpTo: s.UpTo}
	}
	if c.UpTo-s.UpTo > maxReservation {
		return command.Result{Code: command.Malformed, Detail: "the reservation is too far ahead; reserve at most 64 blocks at a time", UpTo: s.UpTo}
	}
	blocks := (c.UpTo - s.UpTo + SeqBlockSize - 1) / SeqBlockSize
	s.UpTo += blocks * SeqBlockSize
	return command.Result{UpTo: s.UpTo}
}

// IsOpen reports whether the session is open.
func (t *Table) IsOpen(id ids.SessionID) bool { return t.findOpen(id) != nil }

// CheckRequest returns an OK result if the request is possible: its session is
// open and its sequence number is reserved.
func (t *Table) CheckRequest(r ids.RequestID) command.Result {
	s := t.findOpen(r.Session)
	if s == nil {
		return sessionEndedResult(r.Session)
	}
	if r.Seq == 0 || r.Seq > s.UpTo {
		return command.Result{Code: command.Malformed, Detail: "the sequence number is not reserved; reserve the next block first", UpTo: s.UpTo}
	}
	return command.Result{}
}

// OpenSessions returns all open sessions, sorted by VM.
func (t *Table) OpenSessions() []Info {
	all := make([]Info, 0, len(t.open))
	for _, s := range t.open {
		all = append(all, *s)
	}
	slices.SortFunc(all, compareVM)
	return all
}

// Ended returns the ended sessions that are still kept, sorted by end time.
func (t *Table) Ended() []Info { return slices.Clone(t.ended) }

// Find returns an open or ended session, or false if it is unknown.
func (t *Table) Find(id ids.SessionID) (Info, bool) {
	if s := t.findOpen(id); s != nil {
		return *s, true
	}
	for i := len(t.ended) - 1; i >= 0; i-- {
		if t.ended[i].Session == id {
			return t.ended[i], true
		}
	}
	return Info{}, false
}

// Retire removes sessions that ended before the given time, at most
// maxRetiredPerCommand at a time. The newest minEndedSessions ended sessions are
// always kept.
func (t *Table) Retire(beforeUnixMS int64) {
	removable := 0
	for removable < maxRetiredPerCommand && len(t.ended)-removable > minEndedSessions && t.ended[removable].EndedUnixMS < beforeUnixMS {
		removable++
	}
	t.ended = t.ended[removable:]
}

func (t *Table) findOpen(id ids.SessionID) *Info {
	s, ok := t.open[id.VM]
	if !ok || s.Session != id {
		return nil
	}
	return s
}

func (t *Table) endSession(s *Info, reason End, nowUnixMS int64) {
	s.End = reason
	s.EndedUnixMS = nowUnixMS
	delete(t.open, s.Session.VM)
	t.ended = append(t.ended, *s)
}

func sessionEndedResult(id ids.SessionID) command.Result {
	return command.Result{Code: command.SessionEnded, Detail: "session " + id.String() + " is not open; open one with a new incarnation"}
}

func compareVM(a, b Info) int { return cmp.Compare(a.Session.VM, b.Session.VM) }
