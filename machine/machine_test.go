package machine

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestMachine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "machine")
}

func encode(c *command.Command) []byte {
	b, err := command.Encode(c)
	if err != nil {
		panic(err)
	}
	return b
}

func sessionID(vm string, inc uint64) ids.SessionID {
	return ids.SessionID{VM: ids.VMID(vm), Incarnation: ids.Incarnation(inc)}
}

var _ = Describe("machine", func() {
	var m *Machine
	var index uint64
	apply := func(c command.Command) command.Result {
		index++
		return m.Apply(index, encode(&c))
	}
	BeforeEach(func() {
		m, index = New(), 0
		Expect(apply(command.Command{NowUnixMS: 100, OpenSession: &command.OpenSession{Session: sessionID("a", 1)}}).Code).To(Equal(command.OK))
	})
	claim := func(vm string, inc uint64) command.Command {
		return command.Command{Claim: &command.Claim{Workspace: "w", Key: "k", Request: ids.RequestID{Session: sessionID(vm, inc), Seq: 1}}}
	}

	// Guards against a claim that stays owned after its session has ended.
	It("grants claims to open sessions only and ends them when a session is replaced", func() {
		Expect(apply(claim("a", 1)).Code).To(Equal(command.ClaimGranted))
		Expect(apply(claim("b", 1)).Code).To(Equal(command.SessionEnded))
		apply(command.Command{OpenSession: &command.OpenSession{Session: sessionID("a", 2)}})
		Expect(apply(claim("a", 1)).Code).To(Equal(command.SessionEnded))
		Expect(apply(claim("a", 2)).Code).To(Equal(command.ClaimUnknown))
		late := command.Record{Workspace: "w", Key: "k", Request: ids.RequestID{Session: sessionID("a", 1), Seq: 1}, Answer: command.Answer{Status: 200}}
		Expect(apply(command.Command{Record: &late}).Code).To(Equal(command.OK))
		Expect(apply(claim("a", 2)).Code).To(Equal(command.ClaimDone))
	})

	It("refuses a claim that arrives after the release of its request", func() {
		r := ids.RequestID{Session: sessionID("a", 1), Seq: 1}
		Expect(apply(command.Command{ReleaseKey: &command.ReleaseKey{Workspace: "w", Key: "k", Request: r}}).Code).To(Equal(command.NotOwner))
		Expect(apply(claim("a", 1)).Code).To(Equal(command.NotOwner))
	})

	It("never moves its time backwards and refuses a timestamp out of range", func() {
		apply(command.Command{NowUnixMS: 50, LookupKey: &command.LookupKey{Workspace: "w", Key: "k"}})
		Expect(m.NowUnixMS()).To(Equal(int64(100)))
		Expect(apply(command.Command{NowUnixMS: 1 << 62, LookupKey: &command.LookupKey{Workspace: "w", Key: "k"}}).Code).To(Equal(command.Malformed))
		Expect(m.NowUnixMS()).To(Equal(int64(100)))
	})

	It("keeps answers for the configured retention, whatever time a Retire command specifies", func() {
		r := apply(command.Command{Change: &settings.Change{ID: "c", Ops: []settings.Op{{Kind: settings.SetValue, Key: settings.AnswerRetention, Value: "1h"}}}})
		Expect(r.Change.State).To(Equal(settings.Accepted))
		hour := int64(3_600_000)
		apply(claim("a", 1))
		apply(command.Command{NowUnixMS: 200, Record: &command.Record{Workspace: "w", Key: "k", Request: ids.RequestID{Session: sessionID("a", 1), Seq: 1}}})
		Expect(m.RetireCutoff(200+hour)).To(BeZero(), "nothing is due")
		Expect(m.RetireCutoff(201 + hour)).To(Equal(int64(201)))
		Expect(m.RetireCutoff(hour + 60_000)).To(Equal(int64(60_000)))
		retire := command.Command{NowUnixMS: 200 + hour, Retire: &command.Retire{BeforeUnixMS: 1 << 40}}
		apply(retire)
		Expect(apply(claim("a", 1)).Code).To(Equal(command.ClaimDone))
		retire.NowUnixMS++
		apply(retire)
		Expect(apply(claim("a", 1)).Code).To(Equal(command.ClaimExpired))
	})

	// Guards against a rejected command that changes the state.
	It("refuses a malformed command and an index that was already applied", func() {
		before, _ := m.Snapshot()
		for _, c := range []command.Command{{}, {LookupKey: &command.LookupKey{}, Retire: &command.Retire{}}, {NowUnixMS: -1, Retire: &command.Retire{}}} {
			Expect(apply(c).Code).To(Equal(command.Malformed))
		}
		Expect(m.Apply(index+1, []byte("x")).Code).To(Equal(command.Malformed))
		Expect(m.Apply(1, encode(&command.Command{NowUnixMS: 900, Retire: &command.Retire{}})).Code).To(Equal(command.Malformed))
		after, _ := m.Snapshot()
		m.applied = 1
		same, _ := m.Snapshot()
		Expect(bytes.Equal(before, after)).To(BeFalse(), "the applied index has moved")
		Expect(bytes.Equal(before, same)).To(BeTrue())
	})

	It("keeps its state when a snapshot is corrupt", func() {
		before, _ := m.Snapshot()
		Expect(m.Restore(before[:len(before)-1])).NotTo(Succeed())
		after, _ := m.Snapshot()
		Expect(bytes.Equal(before, after)).To(BeTrue())
	})
})

// drawCommand draws a command from few sessions, keys and upstreams, so that
// commands conflict.
func drawCommand(t *rapid.T, step int, now int64) *command.Command {
	// Incarnations increase with the log; one command in ten uses an older one.
	incarnation := uint64(step/25 + 2)
	if rapid.IntRange(0, 9).Draw(t, "old incarnation") == 9 {
		incarnation--
	}
	session := sessionID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm"), incarnation)
	request := ids.RequestID{Session: session, Seq: rapid.Uint64Range(1, 3).Draw(t, "seq")}
	key := rapid.SampledFrom([]string{"k1", "k2", "k3", uuidAt(now), uuidAt(now - 50_000)}).Draw(t, "key")
	n := rapid.Uint64Range(1, 5).Draw(t, "n")
	c := &command.Command{NowUnixMS: now}
	switch rapid.IntRange(0, 19).Draw(t, "kind") {
	case 0, 1, 16, 17:
		c.OpenSession = &command.OpenSession{Session: session, Region: "r"}
	case 2:
		c.ExpireSession = &command.ExpireSession{Session: session}
	case 3:
		c.CloseSession = &command.CloseSession{Session: session, LastSeq: n}
	case 4:
		c.Reserve = &command.Reserve{Session: session, UpTo: n * 3000}
	case 5, 6, 7:
		c.Claim = &command.Claim{Workspace: "w", Key: key, Request: request, Digest: [32]byte{byte(n / 5)}}
	case 8, 9:
		c.Record = &command.Record{Workspace: "w", Key: key, Request: request, Answer: command.Answer{Status: 200, Body: []byte{byte(n)}}}
	case 10:
		c.ReleaseKey = &command.ReleaseKey{Workspace: "w", Key: key, Request: request}
	case 11:
		c.LookupKey = &command.LookupKey{Workspace: "w", Key: key}
	case 12:
		c.Retire = &command.Retire{BeforeUnixMS: now}
	case 13:
		c.Change = &settings.Change{
			ID: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")), Base: rapid.Uint64Range(0, 6).Draw(t, "base"),
			Ops: []settings.Op{{Kind: settings.SetValue, Key: settings.AnswerRetention, Value: fmt.Sprint(n, "m")}},
		}
	case 14, 18:
		c.AcquireLease = &command.AcquireLease{Upstream: "u", Session: session, TermMS: uint32(n * 10_000), Nonce: n}
	case 15:
		if n > 3 {
			c.ReleaseLease = &command.ReleaseLease{Upstream: "u", Token: n}
		} else {
			c.DrawWeights = &command.DrawWeights{Session: session, Bytes: n << 28, Nonce: uint64(step)}
		}
	case 19:
		c.Evacuate = &evacuation.Order{Zone: key, Start: n%2 == 1, Revision: n / 3}
	}
	return c
}

func uuidAt(ms int64) string {
	hex := fmt.Sprintf("%012x", max(ms, 0))
	return fmt.Sprintf("%s-%s-7000-8000-000000000000", hex[:8], hex[8:])
}

// TestSnapshot guards against replicas that diverge after a restore: a log that
// is applied without interruption, and the same log with snapshots and restores
// in between, must produce equal results and equal final snapshots.
func TestSnapshot(t *testing.T) {
	codes := map[command.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		uninterrupted, restored := New(), New()
		now := int64(1_000_000)
		for i := range rapid.IntRange(1, 150).Draw(t, "commands") {
			now += rapid.SampledFrom([]int64{0, 1, 1000, 70_000, -5000}).Draw(t, "clock")
			b := encode(drawCommand(t, i, now))
			want := uninterrupted.Apply(uint64(i+1), b)
			got := restored.Apply(uint64(i+1), b)
			codes[want.Code]++
			if !reflect.DeepEqual(want, got) {
				t.Fatalf("command %d: result %+v, after a restore %+v", i+1, want, got)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				restored = restoreCopy(t, restored)
			}
		}
		checkEqual(t, uninterrupted, restored)
	})
	t.Logf("results by code: %v", codes)
	for code := command.OK; code <= command.Outdated; code++ {
		if codes[code] == 0 && code != command.Malformed {
			t.Errorf("no result had code %d: the generator no longer covers it", code)
		}
	}
}

// checkEqual compares snapshots and each part of the state. The snapshots alone
// would not reveal a part that is missing from all snapshots.
func checkEqual(t *rapid.T, a, b *Machine) {
	if !bytes.Equal(mustSnapshot(t, a), mustSnapshot(t, b)) {
		t.Fatal("the snapshots differ")
	}
	for part, equal := range map[string]bool{
		"time":        a.nowUnixMS == b.nowUnixMS && a.applied == b.applied,
		"sessions":    reflect.DeepEqual(a.sessions.Snapshot(), b.sessions.Snapshot()),
		"fences":      reflect.DeepEqual(a.fences.Snapshot(), b.fences.Snapshot()),
		"weights":     reflect.DeepEqual(a.weightBudget.Snapshot(), b.weightBudget.Snapshot()),
		"settings":    reflect.DeepEqual(a.tree.History(0, 100), b.tree.History(0, 100)),
		"evacuations": reflect.DeepEqual(a.evacuations, b.evacuations),
		"ledger":      a.ledger.Stats() == b.ledger.Stats(),
	} {
		if !equal {
			t.Fatalf("the %s differ after a restore", part)
		}
	}
}

func mustSnapshot(t *rapid.T, m *Machine) []byte {
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func restoreCopy(t *rapid.T, m *Machine) *Machine {
	next := New()
	if err := next.Restore(mustSnapshot(t, m)); err != nil {
		t.Fatal(err)
	}
	return next
}

// sampleLog returns encoded commands that cover every kind but Publish.
func sampleLog() [][]byte {
	a := sessionID("a", 1)
	r := ids.RequestID{Session: a, Seq: 1}
	commands := []command.Command{
		{OpenSession: &command.OpenSession{Session: a, Region: "r"}},
		{Reserve: &command.Reserve{Session: a, UpTo: 9000}},
		{Claim: &command.Claim{Workspace: "w", Key: "k", Request: r}},
		{Record: &command.Record{Workspace: "w", Key: "k", Request: r, Answer: command.Answer{Status: 200, Body: []byte("x")}}},
		{Claim: &command.Claim{Workspace: "w", Key: uuidAt(5), Request: r}},
		{ReleaseKey: &command.ReleaseKey{Workspace: "w", Key: uuidAt(5), Request: r}},
		{LookupKey: &command.LookupKey{Workspace: "w", Key: "k"}},
		{AcquireLease: &command.AcquireLease{Upstream: "u", Session: a, TermMS: 1000, Nonce: 1}},
		{ReleaseLease: &command.ReleaseLease{Upstream: "u", Token: 1}},
		{DrawWeights: &command.DrawWeights{Session: a, Bytes: 1, Nonce: 1}},
		{Change: &settings.Change{ID: "c", Ops: []settings.Op{{Kind: settings.PutPool, Pool: &settings.Pool{Name: "p", Kind: settings.KindEncode}}}}},
		{ExpireSession: &command.ExpireSession{Session: a}},
		{CloseSession: &command.CloseSession{Session: a}},
		{Evacuate: &evacuation.Order{Zone: "z", Start: true}},
		{NowUnixMS: 1 << 39, Evacuate: &evacuation.Order{Zone: "z", Revision: 1}},
		{NowUnixMS: 1 << 40, Retire: &command.Retire{BeforeUnixMS: 1 << 40}},
	}
	encoded := make([][]byte, len(commands))
	for i := range commands {
		encoded[i] = encode(&commands[i])
	}
	return encoded
}

// FuzzApply guards against a panic on a malformed command and against replicas
// that diverge on it. The input is a list of commands, each preceded by its
// length.
func FuzzApply(f *testing.F) {
	var all []byte
	for _, b := range sampleLog() {
		one := binary.BigEndian.AppendUint16(nil, uint16(len(b)))
		one = append(one, b...)
		f.Add(one)
		all = append(all, one...)
	}
	f.Add(all)
	f.Fuzz(func(t *testing.T, in []byte) {
		m, other := New(), New()
		for index := uint64(1); len(in) >= 2; index++ {
			n := min(int(binary.BigEndian.Uint16(in)), len(in)-2)
			want := m.Apply(index, in[2:2+n])
			if got := other.Apply(index, in[2:2+n]); !reflect.DeepEqual(want, got) {
				t.Fatalf("results %+v and %+v", want, got)
			}
			b, err := other.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := other.Restore(b); err != nil {
				t.Fatalf("the machine cannot restore its own snapshot: %v", err)
			}
			in = in[2+n:]
		}
	})
}

// FuzzRestore guards against a panic during or after the restore of a corrupt
// snapshot.
func FuzzRestore(f *testing.F) {
	log := sampleLog()
	m := New()
	for i, b := range log {
		m.Apply(uint64(i+1), b)
		s, err := m.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := New()
		if m.Restore(b) != nil {
			return
		}
		first, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := New()
		if err := again.Restore(first); err != nil {
			t.Fatalf("the snapshot of a restored machine cannot be restored: %v", err)
		}
		index := m.Applied()
		for i, c := range log {
			want := m.Apply(index+uint64(i)+1, c)
			if got := again.Apply(index+uint64(i)+1, c); !reflect.DeepEqual(want, got) {
				t.Fatalf("results %+v and %+v", want, got)
			}
		}
	})
}
