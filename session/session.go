// Package session keeps the sessions of entry VMs: which incarnation is open,
// which request sequence numbers each session may have used, and how each
// session ended. It is pure; times are those of the state machine.
package session

import (
	"cmp"
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

const (
	// Block is the number of sequence numbers that a session reserves at a
	// time. The first block comes with the session.
	Block = 4096
	// maxAhead bounds one reservation, so that a damaged number cannot
	// reserve everything.
	maxAhead = 64 * Block
	// maxVMBytes bounds the name of a VM.
	maxVMBytes = 255
	// endedMin is the number of ended sessions that are kept whatever their
	// age, so that a wrong clock alone removes no evidence for the audit.
	endedMin = 10_000
	// dropsPerOpen bounds the work of one command for sessions past their age.
	dropsPerOpen = 16
)

// End says how a session ended.
type End uint8

// Ends of a session.
const (
	// Open is a session that has not ended.
	Open End = iota
	// Expired is a session whose lease ran out.
	Expired
	// Replaced is a session whose VM opened a newer one.
	Replaced
	// Closed is a session that ended after a drain.
	Closed
)

// Info describes one session.
type Info struct {
	Session ids.SessionID `cbor:"1,keyasint" json:"session"`
	Region  ids.Region    `cbor:"2,keyasint,omitempty" json:"region"`
	// UpTo is the last sequence number that the session was allowed to use.
	UpTo uint64 `cbor:"3,keyasint" json:"up_to"`
	// LastSeq is the last number that the session says it used; it is known
	// only of closed sessions.
	LastSeq uint64 `cbor:"4,keyasint,omitempty" json:"last_seq,omitempty"`
	// Callers is the address of the VM's HTTP listener for other entry VMs.
	Callers      string `cbor:"8,keyasint,omitempty" json:"callers,omitempty"`
	OpenedUnixMS int64  `cbor:"5,keyasint" json:"opened_unix_ms"`
	EndedUnixMS  int64  `cbor:"6,keyasint,omitempty" json:"ended_unix_ms,omitempty"`
	End          End    `cbor:"7,keyasint,omitempty" json:"end"`
}

// Table holds all sessions. It is not safe for concurrent use.
type Table struct {
	open map[ids.VMID]*Info
	// newest is the newest incarnation of each VM that was ever opened; an
	// ended session is never opened again.
	newest map[ids.VMID]ids.Incarnation
	// ended is ordered by time of end.
	ended []Info
}

// NewTable gives an empty table.
func NewTable() *Table {
	return &Table{open: map[ids.VMID]*Info{}, newest: map[ids.VMID]ids.Incarnation{}}
}

// Open opens a session. An older session of the same VM ends; it is given
// back, so that its claims can be settled. Opening an open session again
// changes nothing. An incarnation that is not newer than all before is
// refused; the result's owner then has the newest one, so that a VM whose
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
		r := ended(c.Session)
		r.Owner.Session = ids.SessionID{VM: vm, Incarnation: newest}
		return nil, r
	}
	if s, ok := t.open[vm]; ok {
		old := s.Session
		replaced = &old
		t.end(s, Replaced, nowUnixMS)
	}
	t.newest[vm] = c.Session.Incarnation
	t.open[vm] = &Info{Session: c.Session, Region: c.Region, Callers: c.Callers, UpTo: Block, OpenedUnixMS: nowUnixMS}
	return replaced, command.Result{UpTo: Block}
}

// Expire ends an open session. For one that is not open it does nothing.
func (t *Table) Expire(id ids.SessionID, nowUnixMS int64) command.Result {
	s := t.get(id)
	if s == nil {
		return ended(id)
	}
	t.end(s, Expired, nowUnixMS)
	return command.Result{}
}

// Close ends an open session after a drain. Closing it again is OK.
func (t *Table) Close(c *command.CloseSession, nowUnixMS int64) command.Result {
	s := t.get(c.Session)
	if s == nil {
		if old, ok := t.Find(c.Session); ok && old.End == Closed && old.LastSeq == c.LastSeq {
			return command.Result{}
		}
		return ended(c.Session)
	}
	if c.LastSeq > s.UpTo {
		return command.Result{Code: command.Malformed, Detail: "the last sequence number was not reserved", UpTo: s.UpTo}
	}
	s.LastSeq = c.LastSeq
	t.end(s, Closed, nowUnixMS)
	return command.Result{}
}

// Reserve raises the last sequence number that the session may use, rounded
// up to a whole block. It is never lowered.
func (t *Table) Reserve(c *command.Reserve) command.Result {
	s := t.get(c.Session)
	if s == nil {
		return ended(c.Session)
	}
	if c.UpTo <= s.UpTo {
		return command.Result{UpTo: s.UpTo}
	}
	if c.UpTo-s.UpTo > maxAhead {
		return command.Result{Code: command.Malformed, Detail: "the reservation is too far ahead; reserve at most 64 blocks at a time", UpTo: s.UpTo}
	}
	blocks := (c.UpTo - s.UpTo + Block - 1) / Block
	s.UpTo += blocks * Block
	return command.Result{UpTo: s.UpTo}
}

// IsOpen says whether the session is open.
func (t *Table) IsOpen(id ids.SessionID) bool { return t.get(id) != nil }

// Check says whether the request may exist: its session is open and its
// sequence number reserved.
func (t *Table) Check(r ids.RequestID) command.Result {
	s := t.get(r.Session)
	if s == nil {
		return ended(r.Session)
	}
	if r.Seq == 0 || r.Seq > s.UpTo {
		return command.Result{Code: command.Malformed, Detail: "the sequence number is not reserved; reserve the next block first", UpTo: s.UpTo}
	}
	return command.Result{}
}

// OpenSessions gives all open sessions, by VM.
func (t *Table) OpenSessions() []Info {
	all := make([]Info, 0, len(t.open))
	for _, s := range t.open {
		all = append(all, *s)
	}
	slices.SortFunc(all, byVM)
	return all
}

// Ended gives the ended sessions that are still kept, oldest end first.
func (t *Table) Ended() []Info { return slices.Clone(t.ended) }

// Find gives an open or ended session.
func (t *Table) Find(id ids.SessionID) (Info, bool) {
	if s := t.get(id); s != nil {
		return *s, true
	}
	for i := len(t.ended) - 1; i >= 0; i-- {
		if t.ended[i].Session == id {
			return t.ended[i], true
		}
	}
	return Info{}, false
}

// Retire removes sessions that ended before the given time. The newest
// endedMin ended sessions stay in any case.
func (t *Table) Retire(beforeUnixMS int64) {
	n := 0
	for n < dropsPerOpen && len(t.ended)-n > endedMin && t.ended[n].EndedUnixMS < beforeUnixMS {
		n++
	}
	t.ended = t.ended[n:]
}

func (t *Table) get(id ids.SessionID) *Info {
	s, ok := t.open[id.VM]
	if !ok || s.Session != id {
		return nil
	}
	return s
}

func (t *Table) end(s *Info, how End, nowUnixMS int64) {
	s.End = how
	s.EndedUnixMS = nowUnixMS
	delete(t.open, s.Session.VM)
	t.ended = append(t.ended, *s)
}

func ended(id ids.SessionID) command.Result {
	return command.Result{Code: command.SessionEnded, Detail: "session " + id.String() + " is not open; open one with a new incarnation"}
}

func byVM(a, b Info) int { return cmp.Compare(a.Session.VM, b.Session.VM) }
