package ledger

import (
	"bytes"
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// retireMax is the number of entries that one Retire removes at most, which
// bounds the time for which it holds up other commands. The rest goes with the
// next Retire.
const retireMax = 5000

// Ledger holds the keys of one group. It is not safe for concurrent use.
type Ledger struct {
	slab    slab
	index   map[keyID]slot
	holders map[ids.SessionID]*holder
	queue   queue
	// watermark is the embedded time up to which UUIDv7 keys that are not
	// stored count as used, in milliseconds since 1970. It never falls.
	watermark int64
	tombs     tombstones
	types     intern
}

// Stats counts what a ledger holds.
type Stats struct {
	Entries         int   `json:"entries"`
	Claimed         int   `json:"claimed"`
	Tombstones      int   `json:"tombstones"`
	WatermarkUnixMS int64 `json:"watermark_unix_ms"`
}

// New gives an empty ledger.
func New() *Ledger {
	return &Ledger{index: map[keyID]slot{}, holders: map[ids.SessionID]*holder{}, types: intern{}}
}

// Stats counts entries and tombstones.
func (l *Ledger) Stats() Stats {
	s := Stats{Entries: l.slab.used, Tombstones: l.tombs.count, WatermarkUnixMS: l.watermark}
	for _, h := range l.holders {
		s.Claimed += len(h.claims)
	}
	return s
}

// Claim grants a free key to the request, whose session must be open. The same
// request gets the same grant again; other requests hear what is known.
func (l *Ledger) Claim(c *command.Claim) command.Result {
	if r, ok := checkNames(c.Workspace, c.Key); !ok {
		return r
	}
	id := idOf(c.Workspace, c.Key)
	if i, ok := l.index[id]; ok {
		return l.claimAgain(l.slab.at(i), c)
	}
	embedded := embeddedTime(c.Key)
	if r, used := l.used(id, embedded); used {
		return r
	}
	h := l.holder(c.Request.Session)
	if h.released.has(c.Request.Seq) {
		return command.Result{Code: command.NotOwner, Detail: "the request has released its claim; use a new request"}
	}
	i := l.slab.add(entry{
		id: id, digest: half(c.Digest), owner: h, seq: c.Request.Seq,
		embedded: embedded, state: claimed,
	})
	l.index[id] = i
	h.entries++
	h.claims[i] = struct{}{}
	return command.Result{Code: command.ClaimGranted, Owner: c.Request}
}

func (l *Ledger) claimAgain(e *entry, c *command.Claim) command.Result {
	r := known(e, c.Digest)
	if r.Code == command.ClaimInProgress && e.request() == c.Request {
		r.Code = command.ClaimGranted
	}
	return r
}

// Lookup tells what is known of a key and changes nothing.
func (l *Ledger) Lookup(c *command.Lookup) command.Result {
	if r, ok := checkNames(c.Workspace, c.Key); !ok {
		return r
	}
	id := idOf(c.Workspace, c.Key)
	if i, ok := l.index[id]; ok {
		return known(l.slab.at(i), c.Digest)
	}
	if r, used := l.used(id, embeddedTime(c.Key)); used {
		return r
	}
	return command.Result{Code: command.ClaimFree}
}

// Record stores the answer of the request that owns the key. An answer that
// is stored already stays as it is. The owner's session may have ended: the
// answer then replaces the unknown end.
func (l *Ledger) Record(c *command.Record, nowUnixMS int64) command.Result {
	i, r, ok := l.owned(c.Workspace, c.Key, c.Request)
	if !ok {
		return r
	}
	if l.slab.at(i).state == done {
		return command.Result{Owner: c.Request}
	}
	answer := c.Answer
	answer.Body = bytes.Clone(c.Answer.Body)
	answer.ContentType = l.types.get(c.Answer.ContentType)
	l.slab.edit(i).answer = &answer
	l.settle(i, done, nowUnixMS)
	return command.Result{Owner: c.Request}
}

// Release frees a key whose owner proves that nothing was sent. The end of the
// owner's session does not matter, a recorded answer does.
func (l *Ledger) Release(c *command.Release) command.Result {
	i, r, ok := l.owned(c.Workspace, c.Key, c.Request)
	if !ok {
		if h := l.holders[c.Request.Session]; h != nil && h.released.has(c.Request.Seq) {
			return command.Result{}
		}
		return r
	}
	e := l.slab.at(i)
	switch e.state {
	case done:
		return command.Result{Code: command.NotOwner, Detail: "an answer is recorded; the key stays used"}
	case unknown:
		l.queue.drop(&l.slab, i)
	case claimed:
		e.owner.released.add(c.Request.Seq)
	}
	l.forget(i)
	return command.Result{}
}

// Forgo notes that a request of an open session will not dispatch, although it
// owns no key: a claim of it that is still under way is refused.
func (l *Ledger) Forgo(r ids.RequestID) {
	l.holder(r.Session).released.add(r.Seq)
}

// EndSession makes the claims of a session unknown. It must be called when
// the session ends, after which no claim of it may be passed to Claim.
func (l *Ledger) EndSession(id ids.SessionID, nowUnixMS int64) {
	h, ok := l.holders[id]
	if !ok {
		return
	}
	for _, i := range sortedSlots(h.claims) {
		l.settle(i, unknown, nowUnixMS)
	}
	h.released.clear()
	if h.entries == 0 {
		delete(l.holders, id)
	}
}

// Retire removes settled entries that were due before the given time and
// raises the watermark to it. A time after now counts as now. The detail of
// the result says whether more entries are due.
func (l *Ledger) Retire(beforeUnixMS, nowUnixMS int64) command.Result {
	before := min(beforeUnixMS, nowUnixMS)
	l.watermark = max(l.watermark, before)
	removed := 0
	for {
		d, ok := l.queue.first()
		if !ok || d.at >= before {
			return command.Result{}
		}
		if removed == retireMax {
			return command.Result{Detail: "more entries are due"}
		}
		l.queue.pop(&l.slab)
		e := l.slab.at(d.slot)
		if e.due() > d.at {
			// A late answer has replaced an unknown end: its retention
			// runs from then on.
			l.queue.push(&l.slab, due{at: e.due(), slot: d.slot})
			continue
		}
		l.retire(d.slot)
		removed++
	}
}

// IsDue says whether Retire with this time would look at an entry.
func (l *Ledger) IsDue(beforeUnixMS int64) bool {
	d, ok := l.queue.first()
	return ok && d.at < beforeUnixMS
}

// Watermark is the embedded time up to which UUIDv7 keys that are not stored
// count as used, in milliseconds since 1970.
func (l *Ledger) Watermark() int64 { return l.watermark }

// retire removes a settled entry so that its key stays used: a UUIDv7 key by
// the watermark, any other by a tombstone.
func (l *Ledger) retire(i slot) {
	e := l.slab.at(i)
	if e.embedded == noTime || e.embedded > l.watermark {
		l.tombs.add(e.id, e.state == done)
	}
	l.forget(i)
}

// used says whether a key that is not stored was used before.
func (l *Ledger) used(id keyID, embedded int64) (command.Result, bool) {
	if ran, ok := l.tombs.find(id); ok {
		return command.Result{Code: command.ClaimExpired, RanBefore: ran}, true
	}
	if embedded != noTime && embedded <= l.watermark {
		return command.Result{Code: command.ClaimExpired, Detail: "the key is older than the retention; use a key with the present time"}, true
	}
	return command.Result{}, false
}

// settle makes a claimed entry done or unknown, or an unknown one done.
func (l *Ledger) settle(i slot, s state, nowUnixMS int64) {
	e := l.slab.edit(i)
	before := e.state
	e.state = s
	e.settled = nowUnixMS
	if before == claimed {
		delete(e.owner.claims, i)
		l.queue.push(&l.slab, due{at: e.due(), slot: i})
	}
}

// forget removes an entry that is not in the queue.
func (l *Ledger) forget(i slot) {
	e := l.slab.at(i)
	h := e.owner
	delete(h.claims, i)
	delete(l.index, e.id)
	l.slab.remove(i)
	h.entries--
	if h.entries == 0 && len(h.released.order) == 0 {
		delete(l.holders, h.session)
	}
}

// owned finds the entry of the key if the request owns it.
func (l *Ledger) owned(workspace, key string, request ids.RequestID) (slot, command.Result, bool) {
	if r, ok := checkNames(workspace, key); !ok {
		return 0, r, false
	}
	i, ok := l.index[idOf(workspace, key)]
	if !ok || l.slab.at(i).request() != request {
		return 0, command.Result{Code: command.NotOwner, Detail: "the request does not own the key"}, false
	}
	return i, command.Result{}, true
}

func (l *Ledger) holder(id ids.SessionID) *holder {
	h, ok := l.holders[id]
	if !ok {
		h = &holder{session: id, claims: map[slot]struct{}{}}
		l.holders[id] = h
	}
	return h
}

// known tells what is known of a stored entry.
func known(e *entry, digest [32]byte) command.Result {
	if e.digest != half(digest) {
		return command.Result{Code: command.ClaimConflict, Owner: e.request(), Detail: "the key was used with another request; use a new key"}
	}
	switch e.state {
	case done:
		return command.Result{Code: command.ClaimDone, Owner: e.request(), Answer: e.answer}
	case unknown:
		return command.Result{Code: command.ClaimUnknown, Owner: e.request()}
	}
	return command.Result{Code: command.ClaimInProgress, Owner: e.request()}
}

func checkNames(workspace, key string) (command.Result, bool) {
	if workspace == "" || key == "" {
		return command.Result{Code: command.Malformed, Detail: "the workspace or the key is empty"}, false
	}
	return command.Result{}, true
}

func half(digest [32]byte) [16]byte { return [16]byte(digest[:16]) }

func sortedSlots(set map[slot]struct{}) []slot {
	all := make([]slot, 0, len(set))
	for i := range set {
		all = append(all, i)
	}
	slices.Sort(all)
	return all
}
