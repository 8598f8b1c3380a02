package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// Guards against streams that are ended after a time which neither the operator nor the
// caller has named.
var _ = ginkgo.DescribeTable("the deadline of a request is the earlier one of its route and its caller", func(route, caller, want time.Duration) {
	g, _ := newTestGateway()
	c := testCatalog()
	c.Version = 2
	for i := range c.Routes {
		c.Routes[i].Timeout = route
	}
	g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List, Entries: g.state.Load().Entries})
	r := &request{g: g, call: call("stream"), open: &openRequest{}}
	r.call.Timeout = caller
	Expect(r.admit()).To(BeNil())
	Expect(r.deadline).To(BeTemporally("==", r.call.Received.Add(want)))
},
	ginkgo.Entry("the caller's", 5*time.Minute, 3*time.Minute, 3*time.Minute),
	ginkgo.Entry("the route's", 2*time.Minute, 3*time.Minute, 2*time.Minute),
	ginkgo.Entry("the route's if the caller names none", 2*time.Minute, time.Duration(0), 2*time.Minute),
)
