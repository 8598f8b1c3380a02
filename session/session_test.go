package session

import (
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "session")
}

func sessionID(inc ids.Incarnation) ids.SessionID { return ids.SessionID{VM: "a", Incarnation: inc} }

var _ = Describe("sessions", func() {
	var t *Table
	BeforeEach(func() {
		t = NewTable()
		_, r := t.Open(&command.OpenSession{Session: sessionID(2), Region: "lagos"}, 10)
		Expect(r).To(Equal(command.Result{UpTo: SeqBlockSize}))
	})
	AfterEach(func() {
		restored, err := Restore(t.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(reflect.DeepEqual(restored.Snapshot(), t.Snapshot())).To(BeTrue())
	})

	It("replaces an older incarnation and never reopens an ended one", func() {
		replaced, _ := t.Open(&command.OpenSession{Session: sessionID(3)}, 20)
		Expect(*replaced).To(Equal(sessionID(2)))
		for _, old := range []ids.Incarnation{1, 2} {
			_, r := t.Open(&command.OpenSession{Session: sessionID(old)}, 30)
			Expect(r.Code).To(Equal(command.SessionEnded))
			Expect(r.Owner.Session).To(Equal(sessionID(3)), "the newest incarnation")
		}
		t.Expire(sessionID(3), 40)
		_, r := t.Open(&command.OpenSession{Session: sessionID(3)}, 50)
		Expect(r.Code).To(Equal(command.SessionEnded))
		Expect(t.Ended()).To(HaveLen(2))
		info, ok := t.Find(sessionID(2))
		Expect(ok).To(BeTrue())
		Expect(info.End).To(Equal(Replaced))
		Expect(info.UpTo).To(Equal(uint64(SeqBlockSize)))
	})

	It("reserves whole blocks and rejects requests beyond them", func() {
		request := ids.RequestID{Session: sessionID(2), Seq: SeqBlockSize + 1}
		Expect(t.CheckRequest(request).Code).To(Equal(command.Malformed))
		Expect(t.Reserve(&command.Reserve{Session: sessionID(2), UpTo: SeqBlockSize + 1}).UpTo).To(Equal(uint64(2 * SeqBlockSize)))
		Expect(t.Reserve(&command.Reserve{Session: sessionID(2), UpTo: 5}).UpTo).To(Equal(uint64(2 * SeqBlockSize)))
		Expect(t.CheckRequest(request).Code).To(Equal(command.OK))
		Expect(t.Reserve(&command.Reserve{Session: sessionID(2), UpTo: 1 << 63}).Code).To(Equal(command.Malformed))
		Expect(t.CheckRequest(ids.RequestID{Session: sessionID(1), Seq: 1}).Code).To(Equal(command.SessionEnded))
		Expect(t.CheckRequest(ids.RequestID{Session: sessionID(2)}).Code).To(Equal(command.Malformed))
	})

	It("closes a session once and returns the same result for a repeated close", func() {
		Expect(t.Close(&command.CloseSession{Session: sessionID(2), LastSeq: SeqBlockSize + 1}, 20).Code).To(Equal(command.Malformed))
		for range 2 {
			Expect(t.Close(&command.CloseSession{Session: sessionID(2), LastSeq: 7}, 20).Code).To(Equal(command.OK))
		}
		info, _ := t.Find(sessionID(2))
		Expect(info).To(HaveField("LastSeq", uint64(7)))
		Expect(t.OpenSessions()).To(BeEmpty())
	})

	It("keeps the newest ended sessions regardless of the clock", func() {
		for n := range minEndedSessions + 5 {
			t.Open(&command.OpenSession{Session: sessionID(ids.Incarnation(n + 3))}, int64(n+20))
		}
		t.Retire(1 << 60)
		Expect(t.Ended()).To(HaveLen(minEndedSessions))
		Expect(t.Ended()[0].Session).To(Equal(sessionID(7)))
	})
})
