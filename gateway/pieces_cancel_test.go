package gateway

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

var _ = ginkgo.Describe("results of a request whose caller has left", func() {
	// Guards against a scheduler that waits for room in its own task queue.
	ginkgo.It("do not stop the stage calls of other requests, however many arrive together", func() {
		const pieces = 200
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		c := testCatalog()
		c.Version = 2
		for i := range c.Services {
			if r := c.Services[i].StageRunner; r != nil {
				r.MaxBatch, r.ResultMemoryBytes = pieces, 1_000_000
			}
		}
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List, Entries: g.state.Load().Entries})
		release := make(chan struct{})
		f.release = release
		ctx, leave := context.WithCancel(context.Background())
		large := stagedCallWithID("large")
		large.Pieces = []int{pieces, 0, 0}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(ctx, large, &fakeResponder{})
		}()
		Eventually(f.callCount).WithTimeout(10 * time.Second).Should(Equal(1))
		leave()
		Eventually(ended).WithTimeout(10 * time.Second).Should(BeClosed())
		close(release)

		Eventually(f.freedCount).WithTimeout(10 * time.Second).Should(Equal(pieces))
		Eventually(func() int { return serve(g, stagedCallWithID("next")).status }).WithTimeout(10 * time.Second).Should(Equal(200))
	})
})
