package callers

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against the rest of a body that is handled as a request which no client has
// sent, after a handler that has kept net/http from reading the body to its end.
var _ = ginkgo.DescribeTable("the rest of a body is no request", func(body string) {
	var handled atomic.Int64
	s := listen(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		Expect(http.NewResponseController(w).EnableFullDuplex()).To(Succeed())
		_, err := io.Copy(io.Discard, r.Body)
		Expect(err).To(HaveOccurred())
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadRequest)
	})
	c, r := dial(s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+body+headStart+headEnd)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
	_, err = r.ReadByte()
	Expect(err).To(HaveOccurred())
	Expect(s.Shutdown(ginkgo.GinkgoT().Context())).To(Succeed())
	Expect(handled.Load()).To(BeEquivalentTo(1))
	Expect(metricsOf(s)).To(ContainSubstring("damask_callers_connections_misaligned_total 1"))
},
	ginkgo.Entry("behind chunks with long extensions", strings.Repeat("1;e="+strings.Repeat("a", 512)+"\r\n-\r\n", 40)+"80\r\n"),
	ginkgo.Entry("behind a chunk size that is no number", "x\r\n"),
)
