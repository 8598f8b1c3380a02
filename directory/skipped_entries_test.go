package directory

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

var _ = ginkgo.Describe("SkippedEntries", func() {
	// Guards against one line of the log for each entry at each reading of the list.
	ginkgo.It("counts an entry each time and logs it once, cut short", func() {
		var out bytes.Buffer
		s := NewSkippedEntries(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}})
		long := json.RawMessage(bytes.Repeat([]byte("x"), 10*maxLoggedEntryBytes))
		for range 3 {
			s.Record(json.RawMessage(`{"id":7}`), errors.New("odd"))
			s.Record(long, errors.New("odd"))
		}
		Expect(s.Total()).To(BeEquivalentTo(6))
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(2))
		Expect(out.Len()).To(BeNumerically("<", 5*maxLoggedEntryBytes))
	})
})
