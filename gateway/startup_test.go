package gateway

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// Guards against the seconds after a power loss in which every entry VM, which
// knows no other one yet, assembles its own stage calls: their small calls fill
// the runners' queues and memory.
var _ = ginkgo.Describe("a VM that has just started", func() {
	state := func(entries ...directory.EntryVM) *directory.State {
		return &directory.State{
			Table: catalog.NewTable(testCatalog()), List: &directory.RunnerList{Runners: testRunners()}, Entries: entries,
		}
	}
	isConfigured := func(g *Gateway) bool {
		select {
		case <-g.configured:
			return true
		default:
			return false
		}
	}

	ginkgo.It("serves as soon as it knows the other entry VMs", func() {
		g, _ := newUnconfiguredGateway()
		g.Update(state())
		Expect(isConfigured(g)).To(BeFalse())
		g.Update(state(directory.EntryVM{Addr: "self", Zone: "z"}))
		Expect(isConfigured(g)).To(BeTrue())
	})

	ginkgo.It("serves alone if it learns of no other one", func() {
		g, _ := newUnconfiguredGateway()
		g.Update(state())
		Eventually(func() bool { return isConfigured(g) }).WithTimeout(20 * time.Second).Should(BeTrue())
		Expect(serve(g, call("once")).status).To(Equal(200))
	})

	ginkgo.It("holds a request no longer than a share of its caller's time", func() {
		g, f := newUnconfiguredGateway()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		g.awaitConfigured(ctx, 10*time.Millisecond)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(f.sends()).To(BeEmpty())
	})
})
