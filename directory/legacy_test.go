package directory

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// earlierCall and earlierReply are the messages of the release before
// formatSets.
type earlierCall struct {
	From       EntryVM `cbor:"1,keyasint"`
	Version    uint64  `cbor:"2,keyasint"`
	ListSource string  `cbor:"3,keyasint,omitempty"`
	ListSeq    uint64  `cbor:"4,keyasint,omitempty"`
	WaitMS     uint32  `cbor:"5,keyasint"`
	RosterTag  uint64  `cbor:"6,keyasint,omitempty"`
}

type earlierReply struct {
	AgeMS     int64             `cbor:"1,keyasint"`
	Document  *catalog.Document `cbor:"2,keyasint,omitempty"`
	List      *RunnerList       `cbor:"3,keyasint,omitempty"`
	Controls  []string          `cbor:"4,keyasint"`
	RosterTag uint64            `cbor:"5,keyasint"`
	Entries   []EntryVM         `cbor:"6,keyasint,omitempty"`
}

// earlierControl is a control VM of the earlier release.
type earlierControl struct {
	seq     uint64
	runners []Runner
	entries []EntryVM

	mu sync.Mutex
	// reported holds what other control VMs reported.
	reported []EntryVM
}

func (e *earlierControl) reportedEntries() []EntryVM {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reported
}

func (e *earlierControl) Serve(_ context.Context, _ transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	if m == transport.MethodRoster {
		var call rosterCall
		if err := wire.Decode(body, &call); err != nil {
			return nil, err
		}
		e.mu.Lock()
		e.reported = call.Entries
		e.mu.Unlock()
		return wire.Encode(&rosterReply{Entries: e.entries})
	}
	var call earlierCall
	if err := wire.Decode(body, &call); err != nil {
		return nil, err
	}
	reply := &earlierReply{Controls: []string{"c1"}, RosterTag: 77}
	if call.Version < 3 {
		reply.Document = &catalog.Document{Version: 3, Body: []byte("3")}
	}
	if call.ListSource != "c1" || call.ListSeq != e.seq {
		reply.List = &RunnerList{Source: "c1", Seq: e.seq, Runners: e.runners}
	}
	if call.RosterTag != reply.RosterTag {
		reply.Entries = e.entries
	}
	return wire.Encode(reply)
}

// During a rolling upgrade VMs of both releases serve callers side by side.
var _ = ginkgo.Describe("the release before sets", func() {
	runners := []Runner{{ID: "a", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Slots: 2}}
	entries := []EntryVM{{Addr: "e1", Zone: "z", Region: "r"}}
	var ctx context.Context
	ginkgo.BeforeEach(func() { ctx = ginkgo.GinkgoT().Context() })

	ginkgo.It("is served by a control VM of this release", func() {
		server := newTestServer(newFakeLister())
		control := server.opts.Control.(*fakeControl)
		control.publish(5)
		ask := func(call *earlierCall) *earlierReply {
			body, err := wire.Encode(call)
			Expect(err).NotTo(HaveOccurred())
			b, err := server.Serve(ctx, transport.Peer{}, transport.MethodWatch, body)
			Expect(err).NotTo(HaveOccurred())
			reply := &earlierReply{}
			Expect(wire.Decode(b, reply)).To(Succeed())
			return reply
		}
		Expect(ask(&earlierCall{}).List).To(BeNil(), "the list is not complete")
		now := time.Now()
		server.lists.put(runnersPrefix+"y", now, encodeSet[Runner](nil))
		server.lists.put(runnersPrefix+"z", now, encodeSet(runners))
		server.lists.putEntries(now, entries)
		reply := ask(&earlierCall{From: entries[0]})
		Expect(reply.Document.Version).To(Equal(uint64(5)))
		Expect(reply.List.Runners).To(Equal(runners))
		Expect(reply.Entries).To(Equal(entries))
		held := &earlierCall{Version: 5, ListSource: reply.List.Source, ListSeq: reply.List.Seq, RosterTag: reply.RosterTag}
		again := ask(held)
		Expect(again.Document).To(BeNil())
		Expect(again.List).To(BeNil())
		Expect(again.Entries).To(BeEmpty())
		server.lists.put(runnersPrefix+"z", now, encodeSet[Runner](nil))
		Expect(ask(held).List.Runners).To(BeEmpty())
		Expect(server.watchers.list(time.Now())).To(ContainElement(entries[0]))
	})

	ginkgo.It("serves an entry VM of this release", func() {
		c := newTestCluster(ctx, "c1")
		earlier := &earlierControl{seq: 1, runners: runners, entries: entries}
		c.network.Endpoint("c1", transport.Peer{}).Listen(earlier)
		c.client.selectControl(ctx)
		Expect(c.client.watch(ctx, "c1")).To(Succeed())
		Expect(c.version()).To(Equal(uint64(3)))
		Expect(c.client.State().List.Runners).To(Equal(runners))
		Expect(c.client.State().Entries).To(Equal(entries))
		earlier.seq, earlier.runners = 2, nil
		Expect(c.client.watch(ctx, "c1")).To(Succeed())
		Expect(c.client.State().List.Runners).To(BeEmpty())
	})

	ginkgo.It("leads control VMs of this release", func() {
		c := newTestCluster(ctx, "c1", "c2")
		earlier := &earlierControl{entries: entries}
		c.network.Endpoint("c1", transport.Peer{}).Listen(earlier)
		server := c.servers["c2"]
		server.mu.Lock()
		server.watchers.touch(time.Now(), EntryVM{Addr: "e2"}, nil)
		server.mu.Unlock()
		Eventually(earlier.reportedEntries).WithTimeout(eventTimeout).Should(ContainElement(EntryVM{Addr: "e2"}))
		Eventually(server.lists.entries).WithTimeout(eventTimeout).Should(Equal(entries))
	})

	ginkgo.It("is led by a control VM of this release", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		server.serveLegacyRoster(now, &rosterCall{From: "c2", Entries: entries})
		server.mergeReports(now, now.Add(-time.Minute))
		Expect(server.serveLegacyRoster(now, &rosterCall{From: "c2", Entries: entries}).Entries).To(Equal(entries))
	})
})
