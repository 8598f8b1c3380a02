package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing/iotest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// repeating is a reader of a text without end.
type repeating struct {
	text string
	read int
}

func (r *repeating) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(r.text, len(p)/len(r.text)+1))
	r.read += n
	return n, nil
}

// A runner in trouble sends bytes without end. Each attempt ends within its
// bounds, and the caller is told the truth.
var _ = ginkgo.Describe("a runner in trouble", func() {
	// Guards against an answer that is cut at the limit and relayed as whole.
	ginkgo.It("whose answer has no end is no answer", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, endless: &repeating{text: "bytes"}}}
		out := serve(g, call("once"))
		Expect(out.body).To(BeEmpty())
		Expect(out.refusal.Reason).To(Equal(AnswerLost))
		Expect(out.refusal.Executed).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
		Expect(f.any[0].endless.read).To(BeNumerically("<=", 2*maxAnswerBytes))
		Expect(g.answers.inUse).To(BeZero())
	})

	ginkgo.It("whose refusal has no end is passed by", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 503, notExecuted: true, endless: &repeating{text: "bytes"}}, {status: 200, body: "ok"}}
		out := serve(g, call("once"))
		Expect(out.body).To(Equal("ok"))
	})

	ginkgo.DescribeTable("whose stream has no events is given up",
		func(text string) {
			g, f := newTestGateway()
			trouble := &repeating{text: text}
			f.any = []reply{{status: 200, endless: trouble}, {status: 200, body: events(1, 3)}}
			out := serve(g, call("resume"))
			Expect(out.body).To(Equal(events(1, 3)))
			Expect(out.aborted).To(BeFalse())
			Expect(trouble.read).To(BeNumerically("<=", 2*maxEventBytes))
		},
		ginkgo.Entry("but a line without end", "bytes"),
		ginkgo.Entry("but comments", ": still here\n\n"),
		ginkgo.Entry("but empty ones", "\n"),
	)

	// Guards against a stalled stream that never ends because a byte comes now and
	// then.
	ginkgo.It("whose stream goes on with comments only is left for another one", func() {
		g, f := newTestGateway()
		c := testCatalog()
		for i := range c.Routes {
			c.Routes[i].MaxEventGap = 20 * time.Millisecond
		}
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List})
		trouble := &repeating{text: ": still here\n\n"}
		f.any = []reply{{status: 200, body: events(1, 2), endless: trouble, pause: time.Millisecond}, {status: 200, body: events(3, 4)}}
		out := serve(g, call("resume"))
		Expect(out.aborted).To(BeFalse())
		Expect(strings.ReplaceAll(out.body, trouble.text, "")).To(Equal(events(1, 4)))
		Expect(f.sends()[1].ResumeAfter).To(Equal("2"))
	})

	ginkgo.It("does not take the bytes of a sound stream: comments before the first event are kept", func() {
		g, f := newTestGateway()
		body := ": hello\n\n" + events(1, 1) + ": between\n\n" + events(2, 2)
		f.any = []reply{{status: 200, body: body}}
		Expect(serve(g, call("stream")).body).To(Equal(body))
		f.any = []reply{{status: 200, body: ": only this\n\n"}}
		Expect(serve(g, call("stream")).body).To(Equal(": only this\n\n"))
	})

	ginkgo.It("shares the memory for answers with all others", func() {
		m := newAnswerMemory()
		var releases []func()
		refused := 0
		for range 4 {
			_, release, err := m.readAll(io.LimitReader(&repeating{text: "x"}, maxAnswerBytes/2))
			releases = append(releases, release)
			if err != nil {
				var full *buffers.FullError
				Expect(errors.As(err, &full)).To(BeTrue())
				refused++
			}
		}
		Expect(refused).To(Equal(4 - maxBufferedBytes/(maxAnswerBytes/2)))
		for _, release := range releases {
			release()
		}
		Expect(m.memory.Used()).To(BeZero())
		body, release, err := m.readAll(iotest.OneByteReader(strings.NewReader("small")))
		Expect(err).NotTo(HaveOccurred())
		Expect(bytesOf(body)).To(Equal([]byte("small")))
		release()
		whole := bytes.Repeat([]byte("y"), freeAnswerBytes+answerStepBytes+7)
		body, release, err = m.readAll(bytes.NewReader(whole))
		Expect(err).NotTo(HaveOccurred())
		Expect(body.Len()).To(Equal(len(whole)))
		Expect(bytesOf(body)).To(Equal(whole))
		release()
		Expect(m.memory.Used()).To(BeZero())
	})
})

// maxBufferedBytes is the bound of the answers in these tests.
const maxBufferedBytes = 48 << 20

func newAnswerMemory() *answerMemory { return &answerMemory{memory: buffers.New(maxBufferedBytes)} }

// bytesOf returns the whole content of a body.
func bytesOf(body *Body) []byte {
	var b bytes.Buffer
	_, err := body.WriteTo(&b)
	Expect(err).NotTo(HaveOccurred())
	return b.Bytes()
}

// Guards against memory that doubles while an answer grows: many answers without end
// at once then take several times the bound.
var _ = ginkgo.It("the memory of buffered answers stays at its bound", func() {
	m := newAnswerMemory()
	allocated := func() uint64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.TotalAlloc
	}
	_, releaseOne, err := m.readAll(io.LimitReader(zeros{}, 2*freeAnswerBytes))
	Expect(err).NotTo(HaveOccurred())
	before := allocated()
	for range 10 {
		var releases []func()
		for range 8 {
			_, release, err := m.readAll(zeros{})
			Expect(err).To(HaveOccurred())
			releases = append(releases, release)
		}
		for _, release := range releases {
			release()
		}
	}
	releaseOne()
	Expect(m.memory.Used()).To(BeZero())
	Expect(m.unused).To(BeEmpty())
	Expect(allocated() - before).To(BeNumerically("<", 3*maxBufferedBytes))
})

// Guards against a truncated answer that is taken for a whole one.
var _ = ginkgo.It("an answer that breaks off after its first part is not whole", func() {
	m := newAnswerMemory()
	_, release, err := m.readAll(io.MultiReader(bytes.NewReader(make([]byte, freeAnswerBytes+10)), &failingReader{}))
	release()
	Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	Expect(m.memory.Used()).To(BeZero())
})

// zeros is a reader without end that allocates nothing.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against the memory of many streams with an event without end.
var _ = ginkgo.It("the incomplete events of all streams share one memory, which small ones do not need", func() {
	m := buffers.New(maxEventBytes)
	streams := make([]eventSplitter, 4)
	for i := range streams {
		streams[i].account = m.NewAccount(buffers.Events, freeEventBytes)
		for range maxEventBytes / len(streams) / streamReadBytes {
			_, _, err := streams[i].push(make([]byte, streamReadBytes))
			if i < 2 {
				Expect(err).NotTo(HaveOccurred())
			} else if err != nil {
				var full *buffers.FullError
				Expect(errors.As(err, &full)).To(BeTrue())
			}
		}
	}
	Expect(m.Used()).To(BeEquivalentTo(maxEventBytes), "it is full")
	sound := eventSplitter{account: m.NewAccount(buffers.Events, freeEventBytes)}
	passed, _, err := sound.push([]byte(events(1, 2)))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(passed)).To(Equal(events(1, 2)))
	for i := range streams {
		streams[i].beginResumedLeg()
		Expect(cap(streams[i].pending)).To(BeNumerically("<=", maxKeptEventBytes))
	}
	Expect(m.Used()).To(BeZero())
})

// Guards against a search through all of an incomplete event for each byte that comes:
// this took a minute of processor time.
var _ = ginkgo.It("an event that comes byte by byte is searched once", func(ctx ginkgo.SpecContext) {
	s := eventSplitter{}
	for n := 0; n < maxEventBytes && ctx.Err() == nil; n++ {
		if _, _, err := s.push([]byte("x")); err != nil {
			ginkgo.Fail(err.Error())
		}
	}
	passed, _, err := s.push([]byte("\n"))
	Expect(err).To(MatchError(errEventTooLarge))
	Expect(passed).To(BeEmpty())
}, ginkgo.SpecTimeout(20*time.Second))

// Guards against the memory of large heads, which streams keep to their end.
var _ = ginkgo.It("an answer whose head finds no room is lost, and a small one is not", func() {
	g, f := newTestGateway()
	g.opts.Memory = buffers.New(0)
	f.any = []reply{{status: 200, body: "ok", header: http.Header{"X-Large": {strings.Repeat("x", freeHeadBytes)}}}, {status: 200, body: "ok"}}
	Expect(serve(g, call("once")).refusal.Reason).To(Equal(AnswerLost))
	Expect(serve(g, call("once")).body).To(Equal("ok"))
})

var _ = ginkgo.It("a stream gives back the memory of its head and its events", func() {
	g, f := newTestGateway()
	g.opts.Memory = buffers.New(maxBufferedBytes)
	large := http.Header{"X-Large": {strings.Repeat("x", freeHeadBytes)}}
	f.any = []reply{{status: 200, body: events(1, 2) + "data: " + strings.Repeat("x", maxEventBytes/2), cut: true, header: large}, {status: 200, body: events(3, 4), header: large}}
	Expect(serve(g, call("resume")).body).To(Equal(events(1, 4)))
	Expect(g.opts.Memory.Peak()).To(BeNumerically(">", maxEventBytes/2))
	Expect(g.opts.Memory.Used()).To(BeZero())
})
