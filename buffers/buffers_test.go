package buffers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing/iotest"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const mib = 1 << 20

func isFull(err error) bool {
	var full *FullError
	return errors.As(err, &full)
}

// unreadable fails the test when it is read.
type unreadable struct{}

func (unreadable) Read([]byte) (int, error) { panic("read") }

var _ = ginkgo.Describe("the memory for bytes of others", func() {
	ginkgo.It("is one for all kinds, of which requests leave a part for answers", func() {
		m := New(4 * mib)
		Expect(m.Reserve(Request, 3*mib)).To(Succeed())
		Expect(isFull(m.Reserve(Request, 1))).To(BeTrue())
		Expect(m.Reserve(Answer, mib)).To(Succeed())
		Expect(isFull(m.Reserve(Events, 1))).To(BeTrue())
		m.Release(4 * mib)
		Expect(m.Reserve(Answer, mib)).To(Succeed())
		Expect(m.Used()).To(BeEquivalentTo(mib))
		Expect(m.Peak()).To(BeEquivalentTo(4 * mib))
		var text strings.Builder
		m.WriteMetrics(&text)
		Expect(text.String()).To(ContainSubstring(`damask_buffers_refused_total{kind="events"} 1`))
	})

	ginkgo.It("is not taken by what fits into the allowance, also when it is full", func() {
		m := New(0)
		a := m.NewAccount(Events, 1000)
		Expect(a.Resize(1000)).To(Succeed())
		Expect(isFull(a.Resize(1001))).To(BeTrue())
		body, err := m.ReadBody(strings.NewReader("small"), 5, mib, 100)
		Expect(err).NotTo(HaveOccurred())
		Expect(bodyBytes(body)).To(Equal([]byte("small")))
	})

	ginkgo.It("counts what is read into one piece before more of it is read", func() {
		m := New(mib)
		a := m.NewAccount(ListPage, 0)
		n, err := io.Copy(io.Discard, a.Reader(zeros{}))
		Expect(isFull(err)).To(BeTrue())
		Expect(n).To(BeNumerically("<=", mib))
		a.Close()
		Expect(m.Used()).To(BeZero())
	})
})

var _ = ginkgo.Describe("the body of a request", func() {
	ginkgo.It("is not read if its length finds no room", func() {
		_, err := New(mib).ReadBody(unreadable{}, mib, mib, 0)
		Expect(isFull(err)).To(BeTrue())
	})

	ginkgo.It("of unknown length is read until it finds no room, and then given back", func() {
		m := New(mib)
		_, err := m.ReadBody(zeros{}, -1, 4*mib, 0)
		Expect(isFull(err)).To(BeTrue())
		Expect(m.Used()).To(BeZero())
	})

	// Guards against bodies that take each other's room until none is read whole.
	ginkgo.It("of unknown length has the room for all of it before its second part is read", func() {
		m := New(8 * mib)
		inSecondPart := readerFunc(func(p []byte) (int, error) {
			Expect(m.Used()).To(BeEquivalentTo(4 * mib))
			return 0, io.EOF
		})
		body, err := m.ReadBody(io.MultiReader(io.LimitReader(zeros{}, maxPartBytes), inSecondPart), -1, 4*mib, FreeRequestBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Used()).To(BeEquivalentTo(maxPartBytes))
		body.Close()
	})

	ginkgo.DescribeTable("is whole", func(size int, declared bool) {
		m := New(4 * mib)
		sent := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		length := int64(-1)
		if declared {
			length = int64(size)
		}
		body, err := m.ReadBody(iotest.HalfReader(bytes.NewReader(sent)), length, 3*mib, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(bodyBytes(body)).To(Equal(sent))
		Expect(m.Used()).To(BeNumerically("<", size+stepBytes))
		body.Close()
		Expect(m.Used()).To(BeZero())
	},
		ginkgo.Entry("empty", 0, true), ginkgo.Entry("empty, in chunks", 0, false),
		ginkgo.Entry("one part", minPartBytes, false), ginkgo.Entry("several parts", maxPartBytes+1, true),
		ginkgo.Entry("many parts, in chunks", 2*mib+1, false), ginkgo.Entry("many parts", 2*mib, true),
	)

	// Guards against a truncated body that is sent on as a whole one.
	ginkgo.It("that breaks off is no body", func() {
		m := New(mib)
		_, err := m.ReadBody(io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, mib, 0)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	ginkgo.It("is counted until it was dropped and nobody sends it any more", func() {
		m := New(4 * mib)
		head := int64(FreeRequestBytes + 1)
		body, err := m.ReadBody(bytes.NewReader(make([]byte, mib)), mib, mib, head)
		Expect(err).NotTo(HaveOccurred())
		_, ok := body.Hold()
		Expect(ok).To(BeTrue())
		body.Drop()
		Expect(m.Used()).To(BeNumerically(">", mib))
		_, ok = body.Hold()
		Expect(ok).To(BeFalse())
		body.Release()
		Expect(m.Used()).To(BeEquivalentTo(stepBytes), "the head is still in use")
		body.Close()
		Expect(m.Used()).To(BeZero())
	})

	ginkgo.It("may be missing", func() {
		var body *Body
		parts, ok := body.Hold()
		Expect(ok).To(BeTrue())
		Expect(parts).To(BeEmpty())
		body.Release()
		body.Drop()
		body.Close()
	})
})

var _ = ginkgo.It("the fields of a head count with what the map takes", func() {
	Expect(HeaderBytes(http.Header{"A": {"12", "3"}})).To(BeEquivalentTo(headerFieldBytes + 4))
})

func bodyBytes(b *Body) []byte {
	parts, _ := b.Hold()
	defer b.Release()
	return bytes.Join(parts, nil)
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
