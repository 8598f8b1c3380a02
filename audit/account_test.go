package audit

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

func entries(records ...Record) []Entry {
	var all []Entry
	for i, r := range records {
		all = append(all, Entry{Record: r, Batch: 1, Position: uint32(i)})
	}
	return all
}

var _ = ginkgo.Describe("the account of a request", func() {
	session := sessionOf("e1")
	id := ids.RequestID{Session: session, Seq: 5}
	live := SessionState{Session: session, ReservedUpTo: 4096}
	crashed := SessionState{Session: session, ReservedUpTo: 4096, Ended: true, Termination: "expired"}
	drained := SessionState{Session: session, ReservedUpTo: 4096, Ended: true, Drained: true, LastSeq: 4}
	at := func(k Kind, stage string, attempt uint32, o Outcome) Record {
		r := record(session, 5, k)
		r.Stage, r.Attempt, r.Outcome, r.Upstream = stage, attempt, o, "10.0.0.1:80"
		return r
	}
	end := func(s problem.State) Record {
		r := record(session, 5, End)
		r.Outcome, r.Execution = OK, s
		return r
	}

	ginkgo.DescribeTable("is truthful about", func(records []Record, s SessionState, v Verdict, x problem.State, contradicts bool) {
		sum := Account(id, entries(records...), s)
		Expect(sum.Verdict).To(Equal(v))
		Expect(sum.Execution).To(Equal(x))
		Expect(len(sum.Contradictions) > 0).To(Equal(contradicts), "%v", sum.Contradictions)
	},
		ginkgo.Entry("an ended request", []Record{at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), at(StageEnd, "encode", 1, OK), end(problem.Ran)}, crashed, VerdictEnded, problem.Ran, false),
		ginkgo.Entry("a rejection before any dispatch", []Record{at(Begin, "", 0, ""), end(problem.NotRun)}, crashed, VerdictEnded, problem.NotRun, false),
		ginkgo.Entry("a dispatch that was not sent", []Record{at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), at(StageEnd, "encode", 1, NotSent), end(problem.NotRun)}, crashed, VerdictEnded, problem.NotRun, false),
		ginkgo.Entry("a false not_run", []Record{at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), end(problem.NotRun)}, crashed, VerdictEnded, problem.Unknown, true),
		ginkgo.Entry("a request whose session ended", []Record{at(Begin, "", 0, "")}, crashed, VerdictUnknown, problem.Unknown, false),
		ginkgo.Entry("a running request", []Record{at(Begin, "", 0, "")}, live, VerdictRunning, problem.Unknown, false),
		ginkgo.Entry("a dispatch whose begin was lost", []Record{at(Dispatch, "encode", 1, "")}, crashed, VerdictUnknown, problem.Unknown, false),
		ginkgo.Entry("a reserved number without record", nil, crashed, VerdictNoRecord, problem.Unknown, false),
		ginkgo.Entry("a number after a drain", nil, drained, VerdictUnused, problem.NotRun, false),
		ginkgo.Entry("a number that was not reserved", nil, SessionState{Session: session, ReservedUpTo: 4, Ended: true}, VerdictNotReserved, problem.NotRun, false),
		ginkgo.Entry("two ends", []Record{at(Begin, "", 0, ""), end(problem.Ran), end(problem.Ran)}, crashed, VerdictEnded, problem.Ran, true),
	)

	ginkgo.It("keeps attempts apart and shows where each went", func() {
		sum := Account(id, entries(at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), at(Dispatch, "encode", 2, ""), at(StageEnd, "encode", 2, OK), end(problem.Ran)), crashed)
		Expect(sum.Attempts).To(HaveLen(2))
		Expect(sum.Attempts[0].Outcome).To(Equal(Unknown))
		Expect(sum.Attempts[1].Outcome).To(Equal(OK))
		Expect(sum.Attempts[0].Upstream).To(Equal("10.0.0.1:80"))
	})
})

// Every reserved number of an ended session is in exactly one of three places:
// ended, without end, without record.
func TestUnaccountedCoversEveryNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		session := sessionOf("e1")
		s := SessionState{Session: session, Ended: true, ReservedUpTo: 40}
		kinds := map[uint64]Kind{}
		var records []Record
		for seq := uint64(1); seq <= 40; seq++ {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 1:
				kinds[seq] = Begin
				records = append(records, record(session, seq, Begin))
			case 2:
				kinds[seq] = End
				records = append(records, record(session, seq, Begin), record(session, seq, End))
			}
		}
		report := Unaccounted(entries(rapid.Permutation(records).Draw(t, "order")...), s)
		open := map[uint64]bool{}
		for _, id := range report.WithoutEnd {
			open[id.Seq] = true
		}
		gap := map[uint64]bool{}
		for _, r := range report.WithoutRecord {
			for seq := r.Low; seq <= r.High; seq++ {
				gap[seq] = true
			}
		}
		for seq := uint64(1); seq <= 40; seq++ {
			k, known := kinds[seq]
			if gap[seq] == known || open[seq] != (k == Begin) {
				t.Fatalf("number %d: kind %v, in a gap %v, without end %v", seq, k, gap[seq], open[seq])
			}
		}
		if gap[0] || gap[41] {
			t.Fatal("a number outside of the reservation is listed")
		}
	})
}

// The short way to a sequence number agrees with the decoder, for records of
// this encoder and for those whose first key is another one.
func TestSeqOfAgreesWithDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := record(sessionOf("a"), rapid.Uint64().Draw(t, "seq")>>rapid.IntRange(0, 63).Draw(t, "shift"), End)
		r.Attempt = 7
		raw, err := encodeRecord(&r)
		if err != nil {
			t.Fatal(err)
		}
		// The same map with its last pair, the attempt, in front.
		pair := len("\x0a\x07")
		turned := append([]byte{raw[0]}, raw[len(raw)-pair:]...)
		turned = append(turned, raw[1:len(raw)-pair]...)
		for _, b := range [][]byte{raw, turned} {
			want, err := decodeRecord(sessionOf("a"), b)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := seqOf(b); err != nil || got != want.Request.Seq {
				t.Fatalf("%x: %d, %v; the decoder gives %d", b, got, err, want.Request.Seq)
			}
		}
	})
}
