package ledger

import (
	"bytes"
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// maxRetiredPerCall is the maximum number of entries that one call of Retire
// removes. It bounds how long Retire delays other commands; the next call
// removes further entries.
const maxRetiredPerCall = 5000

// Ledger holds the idempotency keys of one group. It is not safe for
// concurrent use.
type Ledger struct {
	slab     slab
	index    map[keyID]slot
	sessions map[ids.SessionID]*sessionState
	dueHeap  dueHeap
	// watermark is a Unix time in milliseconds. A UUIDv7 key that is not stored
	// counts as used if its timestamp is at or before the watermark. The
	// watermark never decreases.
	watermark    int64
	tombstones   tombstones
	contentTypes internTable
}

// Stats holds the sizes of a ledger and its watermark.
type Stats struct {
	Entries         int   `json:"entries"`
	Claimed         int   `json:"claimed"`
	Tombstones      int   `json:"tombstones"`
	WatermarkUnixMS int64 `json:"watermark_unix_ms"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{index: map[keyID]slot{}, sessions: map[ids.SessionID]*sessionState{}, contentTypes: internTable{}}
}

// Stats returns the present sizes and watermark.
func (l *Ledger) Stats() Stats {
	s := Stats{Entries: l.slab.count, Tombstones: l.tombstones.count, WatermarkUnixMS: l.watermark}
	for _, session := range l.sessions {
		s.Claimed += len(session.claims)
	}
	return s
}

// Claim grants a free key to the request, whose session must be open. The
// request that owns a claimed key is granted it again; any other request gets
// the key's state.
func (l *Ledger) Claim(c *command.Claim) command.Result {
	if r, ok := validateKey(c.Workspace, c.Key); !ok {
		return r
	}
	id := newKeyID(c.Workspace, c.Key)
	if i, ok := l.index[id]; ok {
		return l.claimExisting(l.slab.at(i), c)
	}
	timestampMS := uuidTimestamp(c.Key)
	if r, retired := l.checkRetired(id, timestampMS); retired {
		return r
	}
	owner := l.ensureSession(c.Request.Session)
	if owner.released.has(c.Request.Seq) {
		return command.Result{Code: command.NotOwner, Detail: "the request released its claim; send a new request"}
	}
	i := l.slab.add(entry{
		id: id, digest: truncateDigest(c.Digest), owner: owner, seq: c.Request.Seq,
		timestampMS: timestampMS, state: stateClaimed,
	})
	l.index[id] = i
	owner.entries++
	owner.claims[i] = struct{}{}
	return command.Result{Code: command.ClaimGranted, Owner: c.Request}
}

func (l *Ledger) claimExisting(e *entry, c *command.Claim) command.Result {
	r := entryResult(e, c.Digest)
	if r.Code == command.ClaimInProgress && e.request() == c.Request {
		r.Code = command.ClaimGranted
	}
	return r
}

// Lookup returns the state of a key without changing it.
func (l *Ledger) Lookup(c *command.LookupKey) command.Result {
	if r, ok := validateKey(c.Workspace, c.Key); !ok {
		return r
	}
	id := newKeyID(c.Workspace, c.Key)
	if i, ok := l.index[id]; ok {
		return entryResult(l.slab.at(i), c.Digest)
	}
	if r, retired := l.checkRetired(id, uuidTimestamp(c.Key)); retired {
		return r
	}
	return command.Result{Code: command.ClaimFree}
}

// Record stores the answer of the request that owns the key. An answer that is
// already stored is kept. If the owner's session has ended, the answer replaces
// the unknown state.
func (l *Ledger) Record(c *command.Record, nowUnixMS int64) command.Result {
	i, r, ok := l.findOwned(c.Workspace, c.Key, c.Request)
	if !ok {
		return r
	}
	if l.slab.at(i).state == stateDone {
		return command.Result{Owner: c.Request}
	}
	answer := c.Answer
	answer.Body = bytes.Clone(c.Answer.Body)
	answer.ContentType = l.contentTypes.get(c.Answer.ContentType)
	l.slab.edit(i).answer = &answer
	l.settle(i, stateDone, nowUnixMS)
	return command.Result{Owner: c.Request}
}

// Release frees a key whose owner guarantees that nothing was dispatched. It
// also frees a key whose owner's session has ended, but never one with a
// recorded answer. A repeated release succeeds and changes nothing.
func (l *Ledger) Release(c *command.ReleaseKey) command.Result {
	i, r, ok := l.findOwned(c.Workspace, c.Key, c.Request)
	if !ok {
		if owner := l.sessions[c.Request.Session]; owner != nil && owner.released.has(c.Request.Seq) {
			return command.Result{}
		}
		return r
	}
	e := l.slab.at(i)
	switch e.state {
	case stateDone:
		return command.Result{Code: command.NotOwner, Detail: "an answer is recorded; the key cannot be released"}
	case stateUnknown:
		l.dueHeap.removeSlot(&l.slab, i)
	case stateClaimed:
		e.owner.released.add(c.Request.Seq)
	}
	l.removeEntry(i)
	return command.Result{}
}

// BlockClaim registers that a request of an open session that owns no key will
// not be dispatched. A claim of the request that arrives later is refused.
func (l *Ledger) BlockClaim(r ids.RequestID) {
	l.ensureSession(r.Session).released.add(r.Seq)
}

// EndSession moves the claimed keys of a session to the unknown state. It must
// be called when the session ends; afterwards no claim of the session may be
// passed to Claim.
func (l *Ledger) EndSession(id ids.SessionID, nowUnixMS int64) {
	owner, ok := l.sessions[id]
	if !ok {
		return
	}
	for _, i := range sortedSlots(owner.claims) {
		l.settle(i, stateUnknown, nowUnixMS)
	}
	owner.released.clear()
	if owner.entries == 0 {
		delete(l.sessions, id)
	}
}

// Retire removes settled entries that became due before beforeUnixMS and raises
// the watermark to that time, but never past nowUnixMS. The result has a
// non-empty Detail if more entries are due.
func (l *Ledger) Retire(beforeUnixMS, nowUnixMS int64) command.Result {
	before := min(beforeUnixMS, nowUnixMS)
	l.watermark = max(l.watermark, before)
	removed := 0
	for {
		d, ok := l.dueHeap.peek()
		if !ok || d.dueMS >= before {
			return command.Result{}
		}
		if removed == maxRetiredPerCall {
			return command.Result{Detail: "more entries are due"}
		}
		l.dueHeap.pop(&l.slab)
		e := l.slab.at(d.slot)
		if e.dueMS() > d.dueMS {
			// A late answer replaced the unknown state; the retention starts
			// when the answer was recorded.
			l.dueHeap.push(&l.slab, dueItem{dueMS: e.dueMS(), slot: d.slot})
			continue
		}
		l.retireEntry(d.slot)
		removed++
	}
}

// HasDue reports whether an entry is due for Retire with the same time.
func (l *Ledger) HasDue(beforeUnixMS int64) bool {
	d, ok := l.dueHeap.peek()
	return ok && d.dueMS < beforeUnixMS
}

// Watermark returns the Unix time in milliseconds up to which UUIDv7 keys that
// are not stored count as used.
func (l *Ledger) Watermark() int64 { return l.watermark }

// retireEntry removes a settled entry. Its key still counts as used: a UUIDv7
// key through the watermark, any other key through a tombstone.
func (l *Ledger) retireEntry(i slot) {
	e := l.slab.at(i)
	if e.timestampMS == noTimestamp || e.timestampMS > l.watermark {
		l.tombstones.add(e.id, e.state == stateDone)
	}
	l.removeEntry(i)
}

// checkRetired reports whether a key that is not stored was used before, and
// returns the result for such a key.
func (l *Ledger) checkRetired(id keyID, timestampMS int64) (command.Result, bool) {
	if recorded, ok := l.tombstones.lookup(id); ok {
		return command.Result{Code: command.ClaimExpired, RanBefore: recorded}, true
	}
	if timestampMS != noTimestamp && timestampMS <= l.watermark {
		return command.Result{Code: command.ClaimExpired, Detail: "the key is older than the retention; use a key with the current time"}, true
	}
	return command.Result{}, false
}

// settle moves a claimed entry to done or unknown, or an unknown entry to done.
func (l *Ledger) settle(i slot, s state, nowUnixMS int64) {
	e := l.slab.edit(i)
	before := e.state
	e.state = s
	e.settledMS = nowUnixMS
	if before == stateClaimed {
		delete(e.owner.claims, i)
		l.dueHeap.push(&l.slab, dueItem{dueMS: e.dueMS(), slot: i})
	}
}

// removeEntry removes an entry that is not in the heap of due entries.
func (l *Ledger) removeEntry(i slot) {
	e := l.slab.at(i)
	owner := e.owner
	delete(owner.claims, i)
	delete(l.index, e.id)
	l.slab.remove(i)
	owner.entries--
	if owner.entries == 0 && len(owner.released.order) == 0 {
		delete(l.sessions, owner.id)
	}
}

// findOwned returns the slot of the key's entry if the request owns the key;
// otherwise it returns the result for the request.
func (l *Ledger) findOwned(workspace, key string, request ids.RequestID) (slot, command.Result, bool) {
	if r, ok := validateKey(workspace, key); !ok {
		return 0, r, false
	}
	i, ok := l.index[newKeyID(workspace, key)]
	if !ok || l.slab.at(i).request() != request {
		return 0, command.Result{Code: command.NotOwner, Detail: "the request does not own the key"}, false
	}
	return i, command.Result{}, true
}

// ensureSession returns the state of a session and creates it if needed.
func (l *Ledger) ensureSession(id ids.SessionID) *sessionState {
	owner, ok := l.sessions[id]
	if !ok {
		owner = &sessionState{id: id, claims: map[slot]struct{}{}}
		l.sessions[id] = owner
	}
	return owner
}

// entryResult returns the state of a stored entry, or a conflict if the digest
// is that of another request.
func entryResult(e *entry, digest [32]byte) command.Result {
	if e.digest != truncateDigest(digest) {
		return command.Result{Code: command.ClaimConflict, Owner: e.request(), Detail: "the key was used with a different request; use a new key"}
	}
	switch e.state {
	case stateDone:
		return command.Result{Code: command.ClaimDone, Owner: e.request(), Answer: e.answer}
	case stateUnknown:
		return command.Result{Code: command.ClaimUnknown, Owner: e.request()}
	}
	return command.Result{Code: command.ClaimInProgress, Owner: e.request()}
}

func validateKey(workspace, key string) (command.Result, bool) {
	if workspace == "" || key == "" {
		return command.Result{Code: command.Malformed, Detail: "the workspace name or the key is empty"}, false
	}
	return command.Result{}, true
}

func truncateDigest(digest [32]byte) [16]byte { return [16]byte(digest[:16]) }

func sortedSlots(set map[slot]struct{}) []slot {
	all := make([]slot, 0, len(set))
	for i := range set {
		all = append(all, i)
	}
	slices.Sort(all)
	return all
}
