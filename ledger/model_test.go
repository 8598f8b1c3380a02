package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"pgregory.net/rapid"
)

// TestAtMostOnce drives the ledger with claims, crashes, repeated and late
// messages, retirements, clock jumps and restores, over few keys. The model
// knows only what the entry VMs were told: which request may have dispatched
// each key. It guards against a second dispatch and against a stored answer
// that changes or gets lost within its retention.
func TestAtMostOnce(t *testing.T) {
	seen := map[command.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{ledger: New(), seen: seen, now: 1_000_000, open: map[string]uint64{}, keys: map[string]*modelKey{}}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"record":  m.record,
			"release": m.release,
			"resend":  m.resend,
			"crash":   m.crash,
			"retire":  m.retire,
			"clock":   m.clock,
			"restore": m.restore,
			"":        m.check,
		})
	})
	t.Logf("results by code: %v", seen)
	for _, code := range []command.Code{
		command.ClaimGranted, command.ClaimInProgress, command.ClaimDone,
		command.ClaimUnknown, command.ClaimExpired, command.NotOwner,
	} {
		if seen[code] == 0 {
			t.Errorf("no result had code %d: the generator no longer meets it", code)
		}
	}
}

type model struct {
	ledger *Ledger
	seen   map[command.Code]int
	// now is the state machine's time, which never goes back.
	now int64
	// open maps VMs to their present incarnation.
	open map[string]uint64
	seq  uint64
	keys map[string]*modelKey
	// sent holds claims, records and releases that may arrive again.
	sent []func(*rapid.T)
}

// modelKey is what is certain of a key.
type modelKey struct {
	// holder may dispatch or have dispatched; nil if nothing can have run.
	holder *ids.RequestID
	answer []byte
	// recorded is when the answer was stored.
	recorded int64
}

func (m *model) key(name string) *modelKey {
	k, ok := m.keys[name]
	if !ok {
		k = &modelKey{}
		m.keys[name] = k
	}
	return k
}

// drawKey gives a plain key or a UUIDv7 key with a time before, at or after
// the present.
func (m *model) drawKey(t *rapid.T) string {
	if len(m.keys) > 0 && rapid.IntRange(0, 3).Draw(t, "old key") > 0 {
		return rapid.SampledFrom(sortedNames(m.keys)).Draw(t, "key")
	}
	if rapid.Bool().Draw(t, "plain") {
		return fmt.Sprint("plain", rapid.IntRange(0, 4).Draw(t, "number"))
	}
	skew := rapid.SampledFrom([]int64{0, -10, -500, 10, 500, maxSkewMS + 1}).Draw(t, "skew")
	return v7(m.now+skew, rapid.IntRange(0, 2).Draw(t, "number"))
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

// send makes a claim and remembers it for a resend. The entry VM that waits
// for the first result may dispatch; a resent message has nobody waiting, but
// its grant must not contradict the others.
func (m *model) send(t *rapid.T, key string, r ids.RequestID) {
	deliver := func(t *rapid.T) {
		// The state machine refuses claims of sessions that are not open.
		if !m.isOpen(r.Session) {
			return
		}
		m.judge(t, key, r, m.ledger.Claim(claim(key, r)))
	}
	deliver(t)
	m.sent = append(m.sent, deliver)
}

func (m *model) judge(t *rapid.T, key string, r ids.RequestID, got command.Result) {
	m.seen[got.Code]++
	k := m.key(key)
	switch got.Code {
	case command.ClaimGranted:
		if k.holder != nil && *k.holder != r {
			t.Fatalf("key %s was granted to %s although %s may have dispatched it", key, r, *k.holder)
		}
		if k.answer != nil {
			t.Fatalf("key %s was granted to %s after its answer was stored", key, r)
		}
		k.holder = &r
	case command.ClaimDone:
		if !bytes.Equal(got.Answer.Body, k.answer) || k.answer == nil {
			t.Fatalf("key %s has answer %q, %q was recorded", key, got.Answer.Body, k.answer)
		}
	case command.ClaimInProgress, command.ClaimUnknown:
		if k.answer != nil {
			t.Fatalf("key %s has code %d after its answer was stored", key, got.Code)
		}
		if k.holder == nil || *k.holder != got.Owner {
			t.Fatalf("key %s has owner %s, the model has %v", key, got.Owner, k.holder)
		}
		if m.isOpen(got.Owner.Session) != (got.Code == command.ClaimInProgress) {
			t.Fatalf("key %s has code %d, its owner's session is open: %v", key, got.Code, m.isOpen(got.Owner.Session))
		}
	case command.ClaimExpired:
		if k.answer != nil && k.recorded >= m.ledger.watermark {
			t.Fatalf("key %s expired within its retention", key)
		}
	}
}

func (m *model) drawHeld(t *rapid.T) (string, *modelKey, bool) {
	var held []string
	for _, name := range sortedNames(m.keys) {
		if m.keys[name].holder != nil {
			held = append(held, name)
		}
	}
	if len(held) == 0 {
		return "", nil, false
	}
	name := rapid.SampledFrom(held).Draw(t, "held key")
	return name, m.keys[name], true
}

func (m *model) record(t *rapid.T) {
	key, k, ok := m.drawHeld(t)
	if !ok {
		return
	}
	r := *k.holder
	body := fmt.Sprint("answer ", len(m.sent))
	deliver := func(t *rapid.T) {
		got := m.ledger.Record(record(key, r, body), m.now)
		if got.Code == command.OK && k.answer == nil {
			k.answer, k.recorded = []byte(body), m.now
		}
	}
	deliver(t)
	m.sent = append(m.sent, deliver)
}

// release is sent only by a holder that dispatched nothing and never will.
func (m *model) release(t *rapid.T) {
	key, k, ok := m.drawHeld(t)
	if !ok || k.answer != nil {
		return
	}
	r := *k.holder
	deliver := func(t *rapid.T) {
		got := m.ledger.Release(release(key, r))
		if got.Code != command.OK || k.holder == nil || *k.holder != r {
			return
		}
		if k.answer != nil {
			t.Fatalf("key %s was released after its answer was stored", key)
		}
		k.holder = nil
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

func (m *model) clock(t *rapid.T) {
	m.now += rapid.SampledFrom([]int64{1, 10, 300, 5000, 2 * maxSkewMS}).Draw(t, "jump")
}

func (m *model) restore(t *rapid.T) {
	before := m.ledger.Freeze().Encode()
	l, err := Decode(before)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, l.Freeze().Encode()) {
		t.Fatal("a restored ledger encodes differently")
	}
	m.ledger = l
}

// check looks up every key that the model knows.
func (m *model) check(t *rapid.T) {
	for _, name := range sortedNames(m.keys) {
		k := m.keys[name]
		got := m.ledger.Lookup(&command.Lookup{Workspace: "w", Key: name, Digest: [32]byte{1}})
		if got.Code == command.ClaimFree && k.holder != nil {
			t.Fatalf("key %s is free although %s may have dispatched it", name, *k.holder)
		}
		if got.Code != command.ClaimFree {
			m.judge(t, name, ids.RequestID{}, got)
		}
	}
}
