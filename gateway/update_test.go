package gateway

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

var _ = ginkgo.Describe("a new document", func() {
	// holdScheduler stops the scheduler's goroutine until the returned function is
	// called.
	holdScheduler := func(g *Gateway) (resume func()) {
		held, resumed := make(chan struct{}), make(chan struct{})
		g.pieces.post(func(*pieceOwner, time.Time) {
			close(held)
			<-resumed
		})
		<-held
		return func() { close(resumed) }
	}

	// Guards against a change of the configuration that waits for the data path.
	ginkgo.It("is in force at once while the scheduler of stage calls is held up", func() {
		g, _ := newTestGateway()
		ginkgo.DeferCleanup(holdScheduler(g))
		c := testCatalog()
		c.Version = 2
		applied := make(chan struct{})
		go func() {
			defer close(applied)
			for range 2 * cap(g.pieces.tasks) {
				g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List, Entries: g.state.Load().Entries})
			}
		}()
		Eventually(applied).WithTimeout(10 * time.Second).Should(BeClosed())
		Expect(g.Table().Version).To(Equal(uint64(2)))
	})

	// Guards against a scheduler that keeps runners which are no longer listed.
	ginkgo.It("and the list of runners with it reach the scheduler of stage calls once that goes on", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		Expect(serve(g, stagedCallWithID("before")).status).To(Equal(200))
		resume := holdScheduler(g)
		list := testRunners()
		for i := range list {
			list[i].ID, list[i].Addr = "new-"+list[i].ID, "new-"+list[i].Addr
		}
		c := testCatalog()
		c.Version = 2
		g.Update(&directory.State{Table: catalog.NewTable(c), List: &directory.RunnerList{Seq: 2, Runners: list}, Entries: g.state.Load().Entries})
		resume()
		before := f.callCount()
		Expect(serve(g, stagedCallWithID("after")).status).To(Equal(200))
		for _, call := range f.calls[before:] {
			Expect(strings.HasPrefix(call.RunnerID, "new-")).To(BeTrue(), call.RunnerID)
		}
	})
})
