package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"pgregory.net/rapid"
)

// TestAtMostOnce guards against a second dispatch of a key and against a stored
// answer that changes or is lost within its retention. It applies random claims,
// crashes, repeated and late messages, retirements, clock jumps and restores to
// a few keys. The model knows only the results that the entry VMs received: which
// request may have dispatched each key.
func TestAtMostOnce(t *testing.T) {
	seen := map[command.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{ledger: New(), resultCounts: seen, now: 1_000_000, open: map[string]uint64{}, keys: map[string]*modelKey{}}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"record":  m.record,
			"release": m.release,
			"resend":  m.resend,
			"crash":   m.crash,
			"retire":  m.retire,
			"clock":   m.advanceClock,
			"restore": m.restore,
			"":        m.checkKeys,
		})
	})
	t.Logf("results by code: %v", seen)
	for _, code := range []command.Code{
		command.ClaimGranted, command.ClaimInProgress, command.ClaimDone,
		command.ClaimUnknown, command.ClaimExpired, command.NotOwner,
	} {
		if seen[code] == 0 {
			t.Errorf("no result had code %d: the generator no longer covers it", code)
		}
	}
}

type model struct {
	ledger       *Ledger
	resultCounts map[command.Code]int
	// now is the state machine's time in milliseconds; it never decreases.
	now int64
	// open maps each VM to its current incarnation.
	open map[string]uint64
	seq  uint64
	keys map[string]*modelKey
	// sent holds the claims, records and releases that may be delivered again.
	sent []func(*rapid.T)
}

// modelKey is the state of a key that follows from the received results.
type modelKey struct {
	// owner is the request that may dispatch or may have dispatched the key; nil
	// if nothing can have been dispatched.
	owner  *ids.RequestID
	answer []byte
	// recordedAt is the time at which the answer was stored, in milliseconds.
	recordedAt int64
}

func (m *model) key(name string) *modelKey {
	k, ok := m.keys[name]
	if !ok {
		k = &modelKey{}
		m.keys[name] = k
	}
	return k
}

// drawKey returns a plain key or a UUIDv7 key with a timestamp before, at or
// after the current time.
func (m *model) drawKey(t *rapid.T) string {
	if len(m.keys) > 0 && rapid.IntRange(0, 3).Draw(t, "old key") > 0 {
		return rapid.SampledFrom(sortedNames(m.keys)).Draw(t, "key")
	}
	if rapid.Bool().Draw(t, "plain") {
		return fmt.Sprint("plain", rapid.IntRange(0, 4).Draw(t, "number"))
	}
	skew := rapid.SampledFrom([]int64{0, -10, -500, 10, 500, maxClockSkewMS + 1}).Draw(t, "skew")
	return uuidV7Key(m.now+skew, rapid.IntRange(0, 2).Draw(t, "number"))
}

func sortedNames(m map[string]*modelKey) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	for i := range names {
		for j := i; j > 0 && names[j] < names[j-1]; j-- {
			names[j], names[j-1] = names[j-1], names[j]
		}
	}
	return names
}

func (m *model) isOpen(s ids.SessionID) bool {
	return m.open[string(s.VM)] == uint64(s.Incarnation)
}

func (m *model) claim(t *rapid.T) {
	vm := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm")
	if m.open[vm] == 0 {
		m.open[vm] = 1
	}
	m.seq++
	r := ids.RequestID{Session: ids.SessionID{VM: ids.VMID(vm), Incarnation: ids.Incarnation(m.open[vm])}, Seq: m.seq}
	m.send(t, m.drawKey(t), r)
}

// send delivers a claim and keeps it for resend. The entry VM that waits for the
// first result may dispatch. No entry VM waits for the result of a resent
// message, but its grant must not contradict the other results.
func (m *model) send(t *rapid.T, key string, r ids.RequestID) {
	deliver := func(t *rapid.T) {
		// The state machine rejects claims of sessions that are not open.
		if !m.isOpen(r.Session) {
			return
		}
		m.checkResult(t, key, r, m.ledger.Claim(claim(key, r)))
	}
	deliver(t)
	m.sent = append(m.sent, deliver)
}

func (m *model) checkResult(t *rapid.T, key string, r ids.RequestID, got command.Result) {
	m.resultCounts[got.Code]++
	k := m.key(key)
	switch got.Code {
	case command.ClaimGranted:
		if k.owner != nil && *k.owner != r {
			t.Fatalf("key %s was granted to %s although %s may have dispatched it", key, r, *k.owner)
		}
		if k.answer != nil {
			t.Fatalf("key %s was granted to %s after its answer was stored", key, r)
		}
		k.owner = &r
	case command.ClaimDone:
		if !bytes.Equal(got.Answer.Body, k.answer) || k.answer == nil {
			t.Fatalf("key %s has answer %q, %q was recorded", key, got.Answer.Body, k.answer)
		}
	case command.ClaimInProgress, command.ClaimUnknown:
		if k.answer != nil {
			t.Fatalf("key %s has code %d after its answer was stored", key, got.Code)
		}
		if k.owner == nil || *k.owner != got.Owner {
			t.Fatalf("key %s has owner %s, the model has %v", key, got.Owner, k.owner)
		}
		if m.isOpen(got.Owner.Session) != (got.Code == command.ClaimInProgress) {
			t.Fatalf("key %s has code %d, its owner's session is open: %v", key, got.Code, m.isOpen(got.Owner.Session))
		}
	case command.ClaimExpired:
		if k.answer != nil && k.recordedAt >= m.ledger.watermark {
			t.Fatalf("key %s expired within its retention", key)
		}
	}
}

func (m *model) drawOwnedKey(t *rapid.T) (string, *modelKey, bool) {
	var owned []string
	for _, name := range sortedNames(m.keys) {
		if m.keys[name].owner != nil {
			owned = append(owned, name)
		}
	}
	if len(owned) == 0 {
		return "", nil, false
	}
	name := rapid.SampledFrom(owned).Draw(t, "held key")
	return name, m.keys[name], true
}

func (m *model) record(t *rapid.T) {
	key, k, ok := m.drawOwnedKey(t)
	if !ok {
		return
	}
	r := *k.owner
	body := fmt.Sprint("answer ", len(m.sent))
	deliver := func(t *rapid.T) {
		got := m.ledger.Record(record(key, r, body), m.now)
		if got.Code == command.OK && k.answer == nil {
			k.answer, k.recordedAt = []byte(body), m.now
		}
	}
	deliver(t)
	m.sent = append(m.sent, deliver)
}

// release delivers a release, which an owner sends only if it has dispatched
// nothing and never will.
func (m *model) release(t *rapid.T) {
	key, k, ok := m.drawOwnedKey(t)
	if !ok || k.answer != nil {
		return
	}
	r := *k.owner
	deliver := func(t *rapid.T) {
		got := m.ledger.Release(release(key, r))
		if got.Code != command.OK || k.owner == nil || *k.owner != r {
			return
		}
		if k.answer != nil {
			t.Fatalf("key %s was released after its answer was stored", key)
		}
		k.owner = nil
	}
	deliver(t)
	m.sent = append(m.sent, deliver)
}

func (m *model) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "message")](t)
}

func (m *model) crash(t *rapid.T) {
	vm := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm")
	if m.open[vm] == 0 {
		return
	}
	m.ledger.EndSession(ids.SessionID{VM: ids.VMID(vm), Incarnation: ids.Incarnation(m.open[vm])}, m.now)
	m.open[vm]++
}

func (m *model) retire(t *rapid.T) {
	back := rapid.SampledFrom([]int64{-1000, 0, 5, 100, 2000}).Draw(t, "back")
	m.ledger.Retire(m.now-back, m.now)
}

func (m *model) advanceClock(t *rapid.T) {
	m.now += rapid.SampledFrom([]int64{1, 10, 300, 5000, 2 * maxClockSkewMS}).Draw(t, "jump")
}

func (m *model) restore(t *rapid.T) {
	before := m.ledger.Snapshot().Encode()
	l, err := Decode(before)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, l.Snapshot().Encode()) {
		t.Fatal("a restored ledger encodes differently")
	}
	m.ledger = l
}

// checkKeys looks up every key of the model and checks the result.
func (m *model) checkKeys(t *rapid.T) {
	for _, name := range sortedNames(m.keys) {
		k := m.keys[name]
		got := m.ledger.Lookup(&command.LookupKey{Workspace: "w", Key: name, Digest: [32]byte{1}})
		if got.Code == command.ClaimFree && k.owner != nil {
			t.Fatalf("key %s is free although %s may have dispatched it", name, *k.owner)
		}
		if got.Code != command.ClaimFree {
			m.checkResult(t, name, ids.RequestID{}, got)
		}
	}
}
