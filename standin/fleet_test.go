package standin

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

var _ = Describe("fleet", func() {
	start := func(preset string, change func(*FleetConfig)) *Fleet {
		c, err := Preset(preset)
		Expect(err).NotTo(HaveOccurred())
		c.TimeScale = fast
		change(&c)
		f, err := StartFleet(c)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		return f
	}

	It("serves every upstream at its region's addresses and lists it", func() {
		f := start(PresetDev, func(*FleetConfig) {})
		_, body := newPeer(f.AdminURL()).must("GET", "/members", nil)
		list := decodeTo[MemberList](body)
		Expect(list.Members).To(HaveLen(len(f.Upstreams())))
		prefix := map[ids.Region]string{"one": "127.0.1.", "two": "127.0.2."}
		for _, m := range list.Members {
			Expect(m.Address).To(HavePrefix(prefix[m.Region]))
			Expect(m.State).To(Equal(Live))
			res, _ := newPeer("http://"+m.Address).must("GET", "/load", nil)
			Expect(res.StatusCode).To(Equal(http.StatusOK))
		}
	})

	It("tells by its admin address what ran, over all upstreams", func() {
		f := start(PresetDev, func(*FleetConfig) {})
		for i, u := range f.Pool("bookings") {
			_, body := newPeer(u.Server.URL()).must("POST", "/call/book", "x", HeaderKey, "k", HeaderAttempt, "r/book/1")
			Expect(decodeTo[ServiceResponse](body).Executions).To(Equal(i + 1))
		}
		_, body := newPeer(f.AdminURL()).must("POST", "/audit", AuditRequest{Requests: []string{"r", "other"}, Keys: []string{"k", "l"}})
		Expect(decodeTo[AuditResponse](body)).To(Equal(AuditResponse{Ran: map[string]int{"r": 2}, Executions: map[string]int{"k": 2}}))
		Expect(f.Duplicates()).To(Equal([]string{"k"}))
	})

	It("shows a drained upstream as leaving, and as live once it returns", func() {
		f := start(PresetDev, func(c *FleetConfig) { c.MembersLag = time.Millisecond })
		admin := newPeer(f.AdminURL())
		state := func() MemberState {
			for _, m := range f.Members().List().Members {
				if m.VM == "engines-one-1" {
					return m.State
				}
			}
			return ""
		}
		one := Selector{VM: "engines-one-1"}
		res, _ := admin.must("POST", "/fault", FleetFault{Selector: one, Fault: Fault{Kind: FaultDrain}})
		Expect(res.StatusCode).To(Equal(http.StatusNoContent))
		Eventually(state).Should(Equal(Leaving))
		Expect(f.Fault(one, Fault{Kind: FaultReturn})).To(Succeed())
		Eventually(state).Should(Equal(Live))
		Expect(f.Fault(Selector{VM: "none"}, Fault{Kind: FaultDrain})).To(MatchError(ContainSubstring("no upstream")))
	})

	It("leads callers of another region over the link, which can be cut", func() {
		f := start(PresetDev, func(c *FleetConfig) { c.Links = &LinksConfig{} })
		far := f.Pool("encoders")[1]
		address := func(region string) string {
			_, body := newPeer(f.AdminURL()).must("GET", "/regions/"+region+"/members", nil)
			for _, m := range decodeTo[MemberList](body).Members {
				if m.VM == far.VM {
					return m.Address
				}
			}
			return ""
		}
		Expect(address("two")).To(Equal(far.Address()))
		Expect(address("one")).To(HavePrefix("127.0.1."))
		p := newPeer("http://" + address("one"))
		p.must("POST", "/v1/stages/encode", stageRequest{}, HeaderAttempt, "r/s/1")
		Expect(far.Journal().Ran("r")).To(Equal(1))
		Expect(f.Network().Direction("one", "two").Bytes()).To(BeNumerically(">", 0))
		admin := newPeer(f.AdminURL())
		admin.must("POST", "/links", LinkChange{Action: LinkCut, A: "two"})
		p.http.Timeout = 50 * time.Millisecond
		_, err := p.call("POST", "/v1/stages/encode", stageRequest{}, HeaderAttempt, "r2/s/1")
		Expect(err).To(HaveOccurred())
		Expect(far.Journal().Ran("r2")).To(BeZero())
		admin.must("POST", "/links", LinkChange{Action: LinkRestore, A: "two"})
		p.http.Timeout = patience
		p.must("POST", "/v1/stages/encode", stageRequest{}, HeaderAttempt, "r3/s/1")
		Expect(far.Journal().Ran("r3")).To(Equal(1))
	})

	DescribeTable("presets have the sizes of the users", func(name string, pools map[string]int) {
		c, err := Preset(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Regions).To(HaveLen(3))
		for _, p := range c.Pools {
			n := 0
			for _, x := range p.Runners {
				n += x
			}
			if p.Kind == settings.KindEncode || p.Kind == settings.KindRetrieve || p.Kind == settings.KindRerank {
				Expect(p.Runners).To(HaveLen(3))
				continue
			}
			Expect(n).To(Equal(pools[p.Name]), p.Name)
			delete(pools, p.Name)
		}
		Expect(pools).To(BeEmpty())
	},
		Entry("guild", PresetGuild, map[string]int{"drafting": 20, "bookings": 3, "membership": 5, "returns": 5, "notices": 5}),
		Entry("nilegate", PresetNilegate, map[string]int{"language": 20, "orders": 3, "crew": 5, "parts": 5, "billing": 5}),
	)

	It("starts the example of the program", func() {
		c, err := LoadFleetConfig("../examples/standin.yaml")
		Expect(err).NotTo(HaveOccurred())
		c.AdminAddress = "127.0.0.1:0"
		f, err := StartFleet(c)
		Expect(err).NotTo(HaveOccurred())
		f.Close()
	})

	It("names file and line of an unknown key", func() {
		path := filepath.Join(GinkgoT().TempDir(), "fleet.yaml")
		text := "name: x\nregions: [a]\npools:\n  - name: p\n    kind: encode\n    runners: {a: 1}\n    runers: 2\n"
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		_, err := LoadFleetConfig(path)
		Expect(err).To(MatchError(And(ContainSubstring("fleet.yaml"), ContainSubstring("[7:5]"), ContainSubstring("runers"))))
	})
})
