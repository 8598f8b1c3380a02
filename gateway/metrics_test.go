package gateway

import (
	"bytes"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against metrics that grow without end: one for each address of a runner.
var _ = ginkgo.It("repeats are counted by a few fixed reasons", func() {
	g, f := newTestGateway()
	f.any = []reply{{lost: true}, {notSent: true}, {status: 200, body: "ok"}}
	Expect(serve(g, call("again")).status).To(Equal(200))
	var b bytes.Buffer
	g.WriteMetrics(&b)
	Expect(b.String()).To(ContainSubstring(`damask_gateway_repeats_total{reason="lost"} 1`))
	Expect(b.String()).To(ContainSubstring(`damask_gateway_repeats_total{reason="not_sent"} 1`))
	Expect(b.String()).NotTo(ContainSubstring(":80"))
})
