package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/transport"
)

// gatewayPair is two entry VMs that call each other directly.
type gatewayPair struct {
	gateways map[string]*Gateway
	runners  map[string]*fakeRunners
}

// Call delivers a call to the other VM.
func (p *gatewayPair) Call(ctx context.Context, addr string, m transport.Method, body []byte) ([]byte, error) {
	return p.gateways[addr].ServePeer(ctx, m, body)
}

// newGatewayPair returns entry VMs "one" and "two" in the given zones, each of
// which has stage runners.
func newGatewayPair(zones map[string]string) *gatewayPair {
	p := &gatewayPair{gateways: map[string]*Gateway{}, runners: map[string]*fakeRunners{}}
	var entries []directory.EntryVM
	var list []directory.Runner
	seen := map[string]bool{}
	for _, name := range []string{"one", "two"} {
		zone := zones[name]
		entries = append(entries, directory.EntryVM{Addr: name, Zone: zone, Region: zone})
		if seen[zone] {
			continue
		}
		seen[zone] = true
		for _, r := range testRunners() {
			r.ID, r.Addr, r.Zone = r.ID+zone, zone+r.Addr, zone
			list = append(list, r)
		}
	}
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = zone
	}
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	for name, zone := range zones {
		f := &fakeRunners{replies: map[string][]reply{}, any: []reply{{status: 200, body: events(1, 1)}}}
		g := New(Options{
			Self: name, Topology: placement.Topology{Zone: zone, Regions: regions},
			RetryBudget: RetryBudgetOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			DrainTime:   4 * time.Second, Upstreams: f, Caller: p, Logger: &log.Logger{Level: log.PanicLevel},
		})
		go g.Run(ctx)
		p.gateways[name], p.runners[name] = g, f
	}
	state := &directory.State{Table: catalog.NewTable(testCatalog()), List: &directory.RunnerList{Seq: 1, Runners: list}, Entries: entries}
	for _, g := range p.gateways {
		g.Update(state)
	}
	return p
}

func stagedCallWithID(id string) *Call {
	c := call("staged")
	c.ID, c.Pieces, c.PieceKey = id, []int{2, 3, 1}, "pk"
	return c
}

// calls returns the number of stage calls that a VM has sent to a service.
func (p *gatewayPair) calls(vm, service string) int {
	f := p.runners[vm]
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, c := range f.calls {
		if len(c.RunnerID) >= len(service) && c.RunnerID[:len(service)] == service {
			n++
		}
	}
	return n
}

// accounted returns the result memory that a VM accounts to the runners of a
// service.
func (p *gatewayPair) accounted(vm, service string) int64 {
	answer := make(chan int64)
	ps := p.gateways[vm].pieces
	ps.post(func(o *pieceOwner, _ time.Time) {
		var total int64
		for pool, a := range o.assemblers {
			if pool.service != service {
				continue
			}
			for _, r := range p.gateways[vm].runners.inPool(pool) {
				total += a.UsedBytes(r.Addr)
			}
		}
		answer <- total
	})
	return <-answer
}

var _ = ginkgo.Describe("entry VMs of one zone", func() {
	ginkgo.It("let one VM assemble the calls of a service and account and free its results", func() {
		p := newGatewayPair(map[string]string{"one": "z", "two": "z"})
		for i := range 4 {
			Expect(serve(p.gateways["one"], stagedCallWithID(fmt.Sprint("a", i))).status).To(Equal(200))
			Expect(serve(p.gateways["two"], stagedCallWithID(fmt.Sprint("b", i))).status).To(Equal(200))
		}
		for _, service := range []string{"encode", "search"} {
			one, two := p.calls("one", service), p.calls("two", service)
			Expect(min(one, two)).To(BeZero(), service)
			Expect(max(one, two)).To(BeNumerically(">", 0), service)
			for vm := range p.gateways {
				Eventually(func() int64 { return p.accounted(vm, service) }).WithTimeout(10*time.Second).Should(BeZero(), vm+" "+service)
			}
		}
		Expect(p.runners["one"].freedCount() + p.runners["two"].freedCount()).To(Equal(8 * 6))
	})

	ginkgo.It("assemble calls themselves when the assembling VM does not answer", func() {
		p := newGatewayPair(map[string]string{"one": "z", "two": "z"})
		for name := range p.gateways {
			p.gateways[name].opts.Caller = noPeers{}
		}
		Expect(serve(p.gateways["one"], stagedCallWithID("a")).status).To(Equal(200))
		Expect(serve(p.gateways["two"], stagedCallWithID("b")).status).To(Equal(200))
		Expect(p.calls("one", "encode")).To(BeNumerically(">", 0))
		Expect(p.calls("two", "encode")).To(BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("entry VMs of two zones", func() {
	// Guards against a zone with one slow or silent runner that delays its
	// callers while other zones have idle runners.
	ginkgo.It("forward stage calls to the other zone when their own runners are behind", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		release := make(chan struct{})
		p.runners["one"].release = release
		ginkgo.DeferCleanup(func() { close(release) })
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		for i := range 6 {
			go p.gateways["one"].Serve(ctx, stagedCallWithID(fmt.Sprint("stuck", i)), &fakeResponder{})
		}
		n := 0
		Eventually(func() int {
			n++
			go p.gateways["one"].Serve(ctx, stagedCallWithID(fmt.Sprint("next", n)), &fakeResponder{})
			return p.calls("two", "encode")
		}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(BeNumerically(">", 0))
	})
})
