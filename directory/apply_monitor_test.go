package directory

import (
	"bytes"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

var _ = ginkgo.Describe("the monitor of applied states", func() {
	// Guards against a VM that hangs in the application of a state without a
	// trace in its log and metrics.
	ginkgo.It("shows a state that is not applied while that still hangs", func() {
		lines := make(chan string, 10)
		m := newApplyMonitor(&log.Logger{Writer: &log.IOWriter{Writer: lineWriter(lines)}})
		resume := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			m.run(7, func() { <-resume })
		}()
		Eventually(lines).WithTimeout(eventTimeout).Should(Receive(And(ContainSubstring("still being applied"), ContainSubstring(`"version":7`))))
		Expect(m.running(time.Now())).To(BeNumerically(">=", slowApply))
		close(resume)
		Eventually(ended).WithTimeout(eventTimeout).Should(BeClosed())
		Expect(m.running(time.Now())).To(BeZero())
		Eventually(lines).WithTimeout(eventTimeout).Should(Receive(ContainSubstring("applied late")))
		var text bytes.Buffer
		m.set.WritePrometheus(&text)
		Expect(text.String()).To(ContainSubstring("damask_directory_apply_seconds_count 1"))
	})
})

var _ = ginkgo.Describe("a client", func() {
	// Guards against a VM that goes on to take new callers with routes that have been
	// replaced.
	ginkgo.It("is stuck while a state is not applied for long, and only then", func() {
		held, resumed := make(chan struct{}), make(chan struct{})
		c := NewClient(ClientOptions{Logger: discardLogger, Changed: func(*State) {
			close(held)
			<-resumed
		}})
		now := time.Now()
		Expect(c.IsStuck(now.Add(time.Hour))).To(BeFalse())
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			c.apply(now, &watchCall{}, &watchReply{})
		}()
		<-held
		Expect(c.IsStuck(now.Add(stuckApply / 2))).To(BeFalse())
		Expect(c.IsStuck(time.Now().Add(stuckApply + time.Second))).To(BeTrue())
		close(resumed)
		Eventually(applied).WithTimeout(eventTimeout).Should(BeClosed())
		Expect(c.IsStuck(now.Add(time.Hour))).To(BeFalse())
	})
})

// lineWriter sends each line that is written to it.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}
