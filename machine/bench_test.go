package machine

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
)

const (
	benchKeys       = 1_000_000
	benchWorkspaces = 19_000
	benchEntryVMs   = 850
)

// benchMachine returns a state of the target size: 850 sessions, 19,000
// workspaces and a million keys with stored answers.
var benchMachine = sync.OnceValue(func() *Machine {
	m := New()
	apply := func(c command.Command) {
		c.NowUnixMS = 1_000_000
		if r := m.Apply(m.applied+1, encode(&c)); r.Code == command.Malformed || r.Code == command.SessionEnded {
			panic(fmt.Sprintf("%+v", r))
		}
	}
	for e := range benchEntryVMs {
		apply(command.Command{OpenSession: &command.OpenSession{Session: sessionID(fmt.Sprint("entry-", e), 1), Region: "r"}})
	}
	var ops []settings.Op
	for w := range benchWorkspaces {
		name := fmt.Sprintf("workspace-%05d", w)
		ops = append(ops, settings.Op{Kind: settings.PutWorkspace, Workspace: &settings.Workspace{
			Name: name, Branch: "tenants/" + name, TokenSHA256: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(name)))},
		}})
	}
	apply(command.Command{Change: &settings.Change{ID: "bench", Operator: "bench", Ops: ops}})
	for i := range benchKeys {
		r := ids.RequestID{Session: sessionID(fmt.Sprint("entry-", i%benchEntryVMs), 1), Seq: uint64(i/benchEntryVMs) + 1}
		apply(command.Command{Claim: &command.Claim{Workspace: "w", Key: fmt.Sprint("k", i), Request: r}})
		apply(command.Command{Record: &command.Record{Workspace: "w", Key: fmt.Sprint("k", i), Request: r, Answer: command.Answer{Status: 200, Body: []byte("booked")}}})
	}
	return m
})

// BenchmarkApply measures decoding and applying a command on a state of the
// target size.
func BenchmarkApply(b *testing.B) {
	m := benchMachine()
	r := ids.RequestID{Session: sessionID("bench", 1)}
	m.Apply(m.applied+1, encode(&command.Command{OpenSession: &command.OpenSession{Session: r.Session}}))
	reserve := func(seq uint64) {
		if seq%session.SeqBlockSize == 0 {
			m.Apply(m.applied+1, encode(&command.Command{Reserve: &command.Reserve{Session: r.Session, UpTo: seq + session.SeqBlockSize}}))
		}
	}
	b.Run("claim+record", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Seq++
			reserve(r.Seq)
			key := fmt.Sprint("b", r.Seq)
			c := encode(&command.Command{Claim: &command.Claim{Workspace: "w", Key: key, Request: r}})
			d := encode(&command.Command{Record: &command.Record{Workspace: "w", Key: key, Request: r, Answer: command.Answer{Status: 200, Body: []byte("booked")}}})
			if got := m.Apply(m.applied+1, c); got.Code != command.ClaimGranted {
				b.Fatalf("%+v", got)
			}
			m.Apply(m.applied+1, d)
		}
	})
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			op := settings.Op{Kind: settings.SetValue, Branch: fmt.Sprintf("tenants/workspace-%05d", i%benchWorkspaces), Key: settings.DeadlineDefault, Value: "3s"}
			c := settings.Change{ID: fmt.Sprint(m.applied), Operator: "bench", Base: m.Tree().Version(), Ops: []settings.Op{op}}
			if got := m.Apply(m.applied+1, encode(&command.Command{Change: &c})); got.Change == nil || got.Change.State != settings.Accepted {
				b.Fatalf("%+v", got)
			}
		}
	})
}

// BenchmarkFreeze measures how long a snapshot blocks commands.
func BenchmarkFreeze(b *testing.B) {
	m := benchMachine()
	for b.Loop() {
		m.Freeze()
	}
}

// BenchmarkSnapshot measures freezing and encoding the state.
func BenchmarkSnapshot(b *testing.B) {
	m := benchMachine()
	n := 0
	for b.Loop() {
		s, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		n = len(s)
	}
	b.ReportMetric(float64(n), "snapshot-B")
}

// BenchmarkRestore measures restoring the state from a snapshot.
func BenchmarkRestore(b *testing.B) {
	s, err := benchMachine().Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := New().Restore(s); err != nil {
			b.Fatal(err)
		}
	}
}
