package transport

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("dialInAttempts", func() {
	var timeouts []time.Duration
	var answers []error
	attempt := func(timeout time.Duration) (net.Conn, error) {
		err := answers[min(len(timeouts), len(answers)-1)]
		timeouts = append(timeouts, timeout)
		if err != nil {
			return nil, err
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
	ginkgo.BeforeEach(func() { timeouts = nil })

	// Guards against a link between two VMs that is down for a second after a power
	// loss, because the first SYN packet reached a VM that was not up yet.
	ginkgo.It("tries again before a lost SYN packet would be sent again", func() {
		answers = []error{os.ErrDeadlineExceeded, nil}
		conn, err := dialInAttempts(time.Second, attempt)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).NotTo(BeNil())
		Expect(timeouts).To(Equal([]time.Duration{dialAttemptTimeout, dialAttemptTimeout}))
	})

	ginkgo.It("takes no longer than its limit", func() {
		answers = []error{os.ErrDeadlineExceeded}
		_, err := dialInAttempts(time.Second, attempt)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		total := time.Duration(0)
		for _, t := range timeouts {
			total += t
		}
		Expect(total).To(Equal(time.Second))
	})

	ginkgo.It("leaves it to the caller to try again after a refusal", func() {
		answers = []error{errors.New("connection refused")}
		_, err := dialInAttempts(time.Second, attempt)
		Expect(err).To(HaveOccurred())
		Expect(timeouts).To(HaveLen(1))
	})
})
