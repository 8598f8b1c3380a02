package gateway

import (
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a stream that is cut because a refusal is read later than
// maxOverlap after the request was sent, for example by a VM that was frozen.
var _ = ginkgo.It("a stream goes on at its silent runner although another one's refusal is noticed late", func() {
	g, f := newSilenceGateway(nil)
	refused := make(chan struct{})
	refuse := sync.OnceFunc(func() { close(refused) })
	first := reply{status: 200, body: events(1, 2), silentUntil: refused, rest: events(3, 4), ended: make(chan struct{})}
	late := reply{status: 503, notExecuted: true, onSent: func() {
		time.Sleep(2 * maxOverlap)
		refuse()
	}}
	f.any = []reply{first, late}
	out := serve(g, call("resume"))
	Expect(out.aborted).To(BeFalse())
	Expect(out.body).To(Equal(events(1, 4)))
})
