package ledger

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

// uuidV7Key returns a UUIDv7 key with the given timestamp; n makes keys of one
// timestamp distinct.
func uuidV7Key(ms int64, n int) string {
	hex := fmt.Sprintf("%012x", ms)
	return fmt.Sprintf("%s-%s-7%03x-8000-000000000000", hex[:8], hex[8:], n)
}

func request(vm string, seq uint64) ids.RequestID {
	return ids.RequestID{Session: ids.SessionID{VM: ids.VMID(vm), Incarnation: 1}, Seq: seq}
}

func claim(key string, r ids.RequestID) *command.Claim {
	return &command.Claim{Workspace: "w", Key: key, Request: r, Digest: [32]byte{1}}
}

func record(key string, r ids.RequestID, body string) *command.Record {
	return &command.Record{Workspace: "w", Key: key, Request: r, Answer: command.Answer{Status: 200, Body: []byte(body)}}
}

func release(key string, r ids.RequestID) *command.ReleaseKey {
	return &command.ReleaseKey{Workspace: "w", Key: key, Request: r}
}

var _ = Describe("ledger", func() {
	var l *Ledger
	a, b := request("a", 1), request("b", 1)
	BeforeEach(func() { l = New() })

	It("grants a key to one request and returns the stored answer to others", func() {
		Expect(l.Claim(claim("k", a)).Code).To(Equal(command.ClaimGranted))
		Expect(l.Claim(claim("k", a)).Code).To(Equal(command.ClaimGranted))
		r := l.Claim(claim("k", b))
		Expect(r.Code).To(Equal(command.ClaimInProgress))
		Expect(r.Owner).To(Equal(a))
		Expect(l.Record(record("k", b, "no"), 5).Code).To(Equal(command.NotOwner))
		Expect(l.Record(record("k", a, "yes"), 5).Code).To(Equal(command.OK))
		Expect(l.Record(record("k", a, "later"), 6).Code).To(Equal(command.OK))
		r = l.Claim(claim("k", b))
		Expect(r.Code).To(Equal(command.ClaimDone))
		Expect(string(r.Answer.Body)).To(Equal("yes"))
		Expect(l.Release(release("k", a)).Code).To(Equal(command.NotOwner))
	})

	It("reports a conflict for a request with a different digest", func() {
		l.Claim(claim("k", a))
		other := claim("k", b)
		other.Digest = [32]byte{2}
		Expect(l.Claim(other).Code).To(Equal(command.ClaimConflict))
		Expect(l.Lookup(&command.LookupKey{Workspace: "w", Key: "k", Digest: [32]byte{2}}).Code).To(Equal(command.ClaimConflict))
		Expect(l.Claim(&command.Claim{Workspace: "v", Key: "k", Request: b}).Code).To(Equal(command.ClaimGranted), "each workspace has its own keys")
	})

	It("keeps claims of an ended session unknown until a late answer is recorded", func() {
		l.Claim(claim("k", a))
		l.EndSession(a.Session, 10)
		Expect(l.Claim(claim("k", b)).Code).To(Equal(command.ClaimUnknown))
		Expect(l.Record(record("k", a, "late"), 20).Code).To(Equal(command.OK))
		Expect(l.Claim(claim("k", b)).Code).To(Equal(command.ClaimDone))
		l.Retire(15, 1000)
		Expect(l.Claim(claim("k", b)).Code).To(Equal(command.ClaimDone), "the retention of a late answer starts when it is recorded")
	})

	It("frees a released key, but not for a repeated claim of the same request", func() {
		l.Claim(claim("k", a))
		Expect(l.Release(release("k", a)).Code).To(Equal(command.OK))
		restored, err := Decode(l.Snapshot().Encode())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Claim(claim("k", a)).Code).To(Equal(command.NotOwner))
		Expect(l.Claim(claim("k", a)).Code).To(Equal(command.NotOwner))
		Expect(l.Claim(claim("k", b)).Code).To(Equal(command.ClaimGranted))
		Expect(l.Release(release("k", a)).Code).To(Equal(command.OK), "a repeated release gets the same result")
		Expect(l.Claim(claim("k", request("c", 1))).Code).To(Equal(command.ClaimInProgress), "a repeated release does not free the new claim")
	})

	It("keeps only the newest releases of a session, up to the limit", func() {
		for n := range uint64(maxReleasedPerSession + 1) {
			l.Claim(claim("k", request("a", n+1)))
			l.Release(release("k", request("a", n+1)))
		}
		Expect(l.Claim(claim("k", request("a", 2))).Code).To(Equal(command.NotOwner))
		Expect(l.sessions[a.Session].released.set).To(HaveLen(maxReleasedPerSession))
		Expect(l.Claim(claim("k", a)).Code).To(Equal(command.ClaimGranted))
	})

	It("covers a retired UUIDv7 key by the watermark and other keys by tombstones", func() {
		old := uuidV7Key(100, 1)
		for _, k := range []string{"ran", "lost", old} {
			l.Claim(claim(k, a))
		}
		l.Record(record("ran", a, "x"), 150)
		l.Record(record(old, a, "x"), 150)
		l.EndSession(a.Session, 150)
		l.Retire(200, 1000)
		Expect(l.Stats()).To(Equal(Stats{Tombstones: 2, WatermarkUnixMS: 200}))
		for key, ran := range map[string]bool{"ran": true, "lost": false, old: false, uuidV7Key(200, 9): false} {
			r := l.Claim(claim(key, b))
			Expect(r.Code).To(Equal(command.ClaimExpired), key)
			Expect(r.RanBefore).To(Equal(ran), key)
		}
		Expect(l.Claim(claim(uuidV7Key(201, 1), b)).Code).To(Equal(command.ClaimGranted))
	})

	It("leaves a tombstone for a UUIDv7 key whose timestamp is far ahead", func() {
		ahead := uuidV7Key(maxClockSkewMS+1000, 1)
		l.Claim(claim(ahead, a))
		l.Record(record(ahead, a, "x"), 100)
		l.Retire(200, 1000)
		Expect(l.Stats().Tombstones).To(Equal(1))
		Expect(l.Claim(claim(ahead, b)).Code).To(Equal(command.ClaimExpired))
	})

	It("limits the entries removed by one Retire and never raises the watermark past the current time", func() {
		for n := range maxRetiredPerCall + 1 {
			k := fmt.Sprint("k", n)
			l.Claim(claim(k, request("a", uint64(n+1))))
			l.Record(record(k, request("a", uint64(n+1)), ""), 1)
		}
		Expect(l.Retire(100, 1).Detail).To(BeEmpty())
		Expect(l.Stats().Entries).To(Equal(maxRetiredPerCall+1), "entries settled at the current time are not due yet")
		Expect(l.Retire(100, 2).Detail).NotTo(BeEmpty())
		Expect(l.Stats().Entries).To(Equal(1))
		Expect(l.Retire(100, 2).Detail).To(BeEmpty())
		Expect(l.Stats().WatermarkUnixMS).To(Equal(int64(2)))
	})

	It("reads the timestamp of UUIDv7 keys only", func() {
		Expect(uuidTimestamp(uuidV7Key(0x0123456789ab, 5))).To(Equal(int64(0x0123456789ab)))
		Expect(uuidTimestamp(strings.ToUpper(uuidV7Key(0xabcdef, 5)))).To(Equal(int64(0xabcdef)))
		for _, key := range []string{"", "k", strings.Replace(uuidV7Key(1, 1), "-7", "-4", 1), strings.Replace(uuidV7Key(1, 1), "-8", "-c", 1), strings.Replace(uuidV7Key(1, 1), "0", "g", 1), strings.ReplaceAll(uuidV7Key(1, 1), "-", "0")} {
			Expect(uuidTimestamp(key)).To(Equal(int64(noTimestamp)), key)
		}
	})

	It("distributes keys over all groups, always in the same way", func() {
		seen := map[ids.GroupID]int{}
		for n := range 1000 {
			g := GroupOf("w", fmt.Sprint(n), 4)
			Expect(g).To(Equal(GroupOf("w", fmt.Sprint(n), 4)))
			seen[g]++
		}
		Expect(seen).To(HaveLen(4))
		Expect(seen).To(HaveKey(ids.SettingsGroup))
		Expect(GroupOf("w", "k", 1)).To(Equal(ids.SettingsGroup))
	})

	It("leaves a snapshot unchanged by later commands, also while it is encoded", func() {
		for n := range 50 {
			l.Claim(claim(fmt.Sprint(n), request("a", uint64(n+1))))
		}
		snapshot := l.Snapshot()
		before := snapshot.Encode()
		changes := []func(){
			func() { l.Claim(claim("new", request("b", 1))) },
			func() { l.Record(record("0", request("a", 1), "x"), 5) },
			func() { l.Release(release("1", request("a", 2))) },
			func() { l.EndSession(request("a", 1).Session, 6) },
			func() { l.Record(record("2", request("a", 3), "late"), 7) },
			func() { l.Retire(20, 20) },
		}
		encoded := make(chan []byte)
		go func() { encoded <- snapshot.Encode() }()
		for i, change := range changes {
			next := l.Snapshot()
			want := next.Encode()
			change()
			Expect(bytes.Equal(want, next.Encode())).To(BeTrue(), "change %d", i)
		}
		Expect(bytes.Equal(before, <-encoded)).To(BeTrue())
		Expect(bytes.Equal(before, snapshot.Encode())).To(BeTrue())
		Expect(bytes.Equal(before, l.Snapshot().Encode())).To(BeFalse())
	})
})

// FuzzDecode guards against a panic, an unbounded allocation or an unusable
// ledger when a corrupt snapshot is decoded.
func FuzzDecode(f *testing.F) {
	l := New()
	l.Claim(claim("a", request("a", 1)))
	l.Claim(claim("b", request("a", 2)))
	l.Record(record("b", request("a", 2), "x"), 5)
	l.Claim(claim("c", request("a", 3)))
	l.Release(release("c", request("a", 3)))
	f.Add(l.Snapshot().Encode())
	l.EndSession(request("a", 1).Session, 6)
	l.Retire(6, 6)
	f.Add(l.Snapshot().Encode())
	f.Add([]byte{})
	// The decoder must not allocate for a session count beyond the data.
	f.Add(binary.AppendUvarint([]byte{formatVersion, 0}, 1<<62))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(l.Snapshot().Encode())
		if err != nil {
			t.Fatalf("the encoding of a decoded ledger cannot be decoded: %v", err)
		}
		for _, x := range []*Ledger{l, again} {
			x.Claim(claim("a", request("z", 1)))
			x.EndSession(request("a", 1).Session, 7)
			x.Retire(1<<40, 1<<40)
		}
		if !bytes.Equal(l.Snapshot().Encode(), again.Snapshot().Encode()) {
			t.Fatal("the same commands lead to different ledgers")
		}
	})
}
