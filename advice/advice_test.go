package advice

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

// TestParseRetryAfter guards against values that stop a service for good, or that
// are taken for a time though they are none.
func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second,
		start.Add(4 * time.Second).Format(http.TimeFormat): 4 * time.Second,
		"1e300": MaxPause, "999999999999999999999": MaxPause, start.AddDate(90, 0, 0).Format(http.TimeFormat): MaxPause,
		"": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0, "Inf": 0, "-Inf": 0, "3 seconds": 0, "3,4": 0,
		start.Add(-time.Second).Format(http.TimeFormat): 0,
	} {
		got, ok := ParseRetryAfter(value, start)
		if got != want || ok != (want > 0) {
			t.Errorf("%q: %v, %v; want %v", value, got, ok, want)
		}
	}
}

// TestPause guards against a pause that a later, shorter word cuts short.
func TestPause(t *testing.T) {
	var b Book
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	record := func(second int, pause time.Duration, wantChanged, wantNew bool) {
		t.Helper()
		if changed, isNew := b.Record(at(second), "a", Advice{Pause: pause}); changed != wantChanged || isNew != wantNew {
			t.Errorf("a pause of %v at %d s: changed %v, new %v", pause, second, changed, isNew)
		}
	}
	record(0, 4*time.Second, true, true)
	record(0, 10*time.Second, true, false)
	record(1, time.Second, false, false)
	if got := b.PausedUntil(at(9), "a"); !got.Equal(at(10)) {
		t.Errorf("paused until %v", got)
	}
	for _, process := range []string{"a", "b"} {
		if got := b.PausedUntil(at(10), process); !got.IsZero() {
			t.Errorf("%s is paused until %v", process, got)
		}
	}
	record(20, time.Second, true, true)
}

// TestLeaving guards against a word that is taken back, or given to the process
// that takes over the address.
func TestLeaving(t *testing.T) {
	var b Book
	b.Record(start, "a 10.0.0.1:80 1", Advice{Leaving: true})
	b.Record(start.Add(time.Second), "a 10.0.0.1:80 1", Advice{Leaving: true})
	b.Record(start.Add(2*time.Second), "a 10.0.0.1:80 1", Advice{})
	if got := b.LeavingSince("a 10.0.0.1:80 1"); !got.Equal(start) {
		t.Errorf("leaving since %v", got)
	}
	if got := b.LeavingSince("a 10.0.0.1:80 2"); !got.IsZero() {
		t.Errorf("the next process leaves since %v", got)
	}
}

// TestSucceed guards against a word of a process that is forgotten because it was said
// before the list showed the process, and against one of the process before that holds
// on.
func TestSucceed(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	says := func() *Book {
		var b Book
		b.Record(at(10), "old", Advice{Leaving: true, Pause: time.Minute})
		return &b
	}
	check := func(b *Book, what string, leaving, paused bool) {
		t.Helper()
		if got := !b.LeavingSince("new").IsZero(); got != leaving {
			t.Errorf("%s: the new process leaves: %v", what, got)
		}
		if got := !b.PausedUntil(at(20), "new").IsZero(); got != paused {
			t.Errorf("%s: the new process pauses: %v", what, got)
		}
	}
	b := says()
	b.Succeed(at(11), "old", "new", at(10))
	check(b, "said before", false, false)
	if b.HasInherited() {
		t.Error("a word is inherited that was said before")
	}

	b = says()
	b.Succeed(at(11), "old", "new", at(9))
	b.RecordStaying("new", at(9))
	check(b, "not decided yet", true, true)
	if !b.HasInherited() {
		t.Error("nothing is inherited")
	}
	b.RecordStaying("new", at(10))
	check(b, "the new process stays", false, true)
	if b.HasInherited() {
		t.Error("a word goes on to be inherited")
	}

	b = says()
	b.Succeed(at(11), "old", "new", at(9))
	b.Record(at(12), "new", Advice{Leaving: true})
	b.RecordStaying("new", at(13))
	check(b, "its own word", true, true)

	b = says()
	b.Record(at(10), "new", Advice{Pause: time.Second})
	b.Succeed(at(11), "old", "new", at(9))
	check(b, "it has spoken already", false, false)
}

// TestBound guards against memory that grows with each runner that ever said a word.
func TestBound(t *testing.T) {
	var b Book
	for n := range 3 * maxProcesses {
		b.Record(start.Add(time.Duration(n)*time.Second), fmt.Sprint(n), Advice{Leaving: true})
	}
	if len(b.processes) > maxProcesses {
		t.Errorf("%d processes are remembered", len(b.processes))
	}
}
