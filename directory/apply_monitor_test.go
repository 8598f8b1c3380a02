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

// lineWriter sends each line that is written to it.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}
