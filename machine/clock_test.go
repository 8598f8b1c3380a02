package machine

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("clock", func() {
	// These times carry no monotonic reading, so Clock uses the wall clock.
	start := time.UnixMilli(1_000_000)
	at := func(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("advances from its first reading", func() {
		var c Clock
		Expect(c.Now(at(0), 0)).To(Equal(int64(1_000_000)))
		Expect(c.Now(at(250), 1_000_000)).To(Equal(int64(1_000_250)))
	})

	// Guards against a clock that stands still until the wall clock has caught
	// up with the state.
	It("continues at the same pace from a state that is ahead", func() {
		var c Clock
		ahead := int64(4_600_000)
		Expect(c.Now(at(0), ahead)).To(Equal(ahead))
		Expect(c.Now(at(250), ahead)).To(Equal(ahead + 250))
		Expect(c.Now(at(500), ahead+250)).To(Equal(ahead + 500))
	})
})
