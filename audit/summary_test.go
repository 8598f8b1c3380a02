package audit

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/problem"
)

func newEntries(records ...Record) []Entry {
	var all []Entry
	for i, r := range records {
		all = append(all, Entry{Record: r, Batch: 1, Position: uint32(i)})
	}
	return all
}

var _ = ginkgo.Describe("Summarize", func() {
	session := testSession("e1")
	id := ids.RequestID{Session: session, Seq: 5}
	live := SessionState{Session: session, ReservedUpTo: 4096}
	crashed := SessionState{Session: session, ReservedUpTo: 4096, Ended: true, Termination: "expired"}
	drained := SessionState{Session: session, ReservedUpTo: 4096, Ended: true, Drained: true, LastSeq: 4}
	at := func(k Kind, stage string, attempt uint32, o Outcome) Record {
		r := testRecord(session, 5, k)
		r.Stage, r.Attempt, r.Outcome, r.Upstream = stage, attempt, o, "10.0.0.1:80"
		return r
	}
	end := func(s problem.ExecutionState) Record {
		r := testRecord(session, 5, End)
		r.Outcome, r.Execution = OK, s
		return r
	}

	ginkgo.DescribeTable("reports the verdict and the execution state of", func(records []Record, s SessionState, v Verdict, x problem.ExecutionState, contradicts bool) {
		sum := Summarize(id, newEntries(records...), s)
		Expect(sum.Verdict).To(Equal(v))
		Expect(sum.Execution).To(Equal(x))
		Expect(len(sum.Contradictions) > 0).To(Equal(contradicts), "%v", sum.Contradictions)
	},
		ginkgo.Entry("an ended request", []Record{at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), at(StageEnd, "encode", 1, OK), end(problem.Executed)}, crashed, VerdictEnded, problem.Executed, false),
		ginkgo.Entry("a request rejected before any dispatch", []Record{at(Begin, "", 0, ""), end(problem.NotRun)}, crashed, VerdictEnded, problem.NotRun, false),
		ginkgo.Entry("a dispatch that was not sent", []Record{at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), at(StageEnd, "encode", 1, NotSent), end(problem.NotRun)}, crashed, VerdictEnded, problem.NotRun, false),
		ginkgo.Entry("an end record that says not_run although an attempt may have run", []Record{at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), end(problem.NotRun)}, crashed, VerdictEnded, problem.Unknown, true),
		ginkgo.Entry("a request without end whose session ended", []Record{at(Begin, "", 0, "")}, crashed, VerdictUnknown, problem.Unknown, false),
		ginkgo.Entry("a running request", []Record{at(Begin, "", 0, "")}, live, VerdictRunning, problem.Unknown, false),
		ginkgo.Entry("a dispatch record without a begin record", []Record{at(Dispatch, "encode", 1, "")}, crashed, VerdictUnknown, problem.Unknown, false),
		ginkgo.Entry("a reserved sequence number without records", nil, crashed, VerdictNoRecord, problem.Unknown, false),
		ginkgo.Entry("a sequence number that a drained session did not use", nil, drained, VerdictUnused, problem.NotRun, false),
		ginkgo.Entry("a sequence number that was not reserved", nil, SessionState{Session: session, ReservedUpTo: 4, Ended: true}, VerdictNotReserved, problem.NotRun, false),
		ginkgo.Entry("two end records", []Record{at(Begin, "", 0, ""), end(problem.Executed), end(problem.Executed)}, crashed, VerdictEnded, problem.Executed, true),
	)

	ginkgo.It("lists each attempt with its outcome and upstream", func() {
		sum := Summarize(id, newEntries(at(Begin, "", 0, ""), at(Dispatch, "encode", 1, ""), at(Dispatch, "encode", 2, ""), at(StageEnd, "encode", 2, OK), end(problem.Executed)), crashed)
		Expect(sum.Attempts).To(HaveLen(2))
		Expect(sum.Attempts[0].Outcome).To(Equal(Unknown))
		Expect(sum.Attempts[1].Outcome).To(Equal(OK))
		Expect(sum.Attempts[0].Upstream).To(Equal("10.0.0.1:80"))
	})
})

// TestUnaccountedCoversEveryNumber guards against reserved sequence numbers of
// an ended session that are missing from the report or listed wrongly: each one
// has an end record, is listed without end, or is listed without record.
func TestUnaccountedCoversEveryNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		session := testSession("e1")
		s := SessionState{Session: session, Ended: true, ReservedUpTo: 40}
		kinds := map[uint64]Kind{}
		var records []Record
		for seq := uint64(1); seq <= 40; seq++ {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 1:
				kinds[seq] = Begin
				records = append(records, testRecord(session, seq, Begin))
			case 2:
				kinds[seq] = End
				records = append(records, testRecord(session, seq, Begin), testRecord(session, seq, End))
			}
		}
		report := Unaccounted(newEntries(rapid.Permutation(records).Draw(t, "order")...), s)
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
				t.Fatalf("sequence number %d: kind %v, listed without record: %v, listed without end: %v", seq, k, gap[seq], open[seq])
			}
		}
		if gap[0] || gap[41] {
			t.Fatal("a sequence number outside of the reserved range is listed")
		}
	})
}

// TestRecordSeqMatchesDecoder guards against recordSeq and the decoder
// disagreeing on a sequence number, for records that encodeRecord wrote and for
// those with another field first.
func TestRecordSeqMatchesDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testRecord(testSession("a"), rapid.Uint64().Draw(t, "seq")>>rapid.IntRange(0, 63).Draw(t, "shift"), End)
		r.Attempt = 7
		raw, err := encodeRecord(&r)
		if err != nil {
			t.Fatal(err)
		}
		// The same map with its last pair, the attempt, moved to the front.
		pair := len("\x0a\x07")
		reordered := append([]byte{raw[0]}, raw[len(raw)-pair:]...)
		reordered = append(reordered, raw[1:len(raw)-pair]...)
		for _, b := range [][]byte{raw, reordered} {
			want, err := decodeRecord(testSession("a"), b)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := recordSeq(b); err != nil || got != want.Request.Seq {
				t.Fatalf("%x: recordSeq returned %d, %v; the decoder returned %d", b, got, err, want.Request.Seq)
			}
		}
	})
}
