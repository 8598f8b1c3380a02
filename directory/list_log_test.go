package directory

import (
	"bytes"
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

var _ = ginkgo.Describe("the log of list changes", func() {
	ginkgo.It("names each runner that changed", func() {
		var out bytes.Buffer
		logger := &log.Logger{Writer: log.IOWriter{Writer: &out}}
		logListChanges(logger,
			[]Runner{{ID: "stays"}, {ID: "leaves"}, {ID: "drains"}, {ID: "restarts", StartedUnixMS: 1}},
			[]Runner{{ID: "stays"}, {ID: "drains", Draining: true}, {ID: "restarts", StartedUnixMS: 2}, {ID: "comes"}})
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(4))
		Expect(out.String()).NotTo(ContainSubstring("stays"))
		Expect(out.String()).To(MatchRegexp(`"leaves".*runner gone from the list`))
		Expect(out.String()).To(MatchRegexp(`"comes".*"new":true`))
	})

	// Guards against thousands of lines on each entry VM when all runners start.
	ginkgo.It("counts the changes of a list that changes as a whole", func() {
		var out bytes.Buffer
		var after []Runner
		for i := range maxLoggedChanges + 1 {
			after = append(after, Runner{ID: fmt.Sprint(i)})
		}
		logListChanges(&log.Logger{Writer: log.IOWriter{Writer: &out}}, nil, after)
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(1))
		Expect(out.String()).To(ContainSubstring(`"changes":21`))
	})
})
