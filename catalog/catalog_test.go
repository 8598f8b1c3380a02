package catalog

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func validCatalog() *Catalog {
	return &Catalog{
		Version:  3,
		Services: []Service{{Name: "engines"}, {Name: "ledger"}, {Name: "rolls"}},
		Routes: []Route{
			{Name: "a", Host: "one.example", PathPrefix: "/x/", Timeout: time.Second, MaxRunners: 1, Targets: []Target{{"engines", 1}}, Stages: []Stage{{Service: "rolls"}, {Service: "rolls", After: []int{0}}}},
			{Name: "b", Host: "one.example", PathPrefix: "/x/y/", Timeout: time.Second, MaxRunners: 2, Targets: []Target{{"ledger", 9}, {"engines", 1}}},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}}},
	}
}

var _ = ginkgo.Describe("a catalog", func() {
	ginkgo.DescribeTable("is refused as a whole for",
		func(invalidate func(*Catalog), message string) {
			c := validCatalog()
			Expect(c.Validate()).To(Succeed())
			invalidate(c)
			err := c.Validate()
			var invalid *InvalidError
			Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
			Expect(err).To(MatchError(ContainSubstring(message)))
			Expect(invalid.Remedy).NotTo(BeEmpty())
		},
		ginkgo.Entry("an unknown service", func(c *Catalog) { c.Routes[0].Targets[0].Service = "nobody" }, "not in the document"),
		ginkgo.Entry("an unknown service of a stage", func(c *Catalog) { c.Routes[0].Stages[1].Service = "nobody" }, "not in the document"),
		ginkgo.Entry("two routes with the same host and prefix", func(c *Catalog) { c.Routes[1].PathPrefix = "/x/" }, "same host and path prefix"),
		ginkgo.Entry("weights that add up to 0", func(c *Catalog) { c.Routes[0].Targets[0].Weight = 0 }, "add up to 0"),
		ginkgo.Entry("a route without a target", func(c *Catalog) { c.Routes[0].Targets = nil }, "add up to 0"),
		ginkgo.Entry("a negative weight", func(c *Catalog) { c.Routes[1].Targets[1].Weight = -1 }, "negative"),
		ginkgo.Entry("a timeout of 0", func(c *Catalog) { c.Routes[1].Timeout = 0 }, "timeout"),
		ginkgo.Entry("a prefix without its trailing slash", func(c *Catalog) { c.Routes[1].PathPrefix = "/x/y" }, "slash"),
		ginkgo.Entry("a maximum of 0 runners", func(c *Catalog) { c.Routes[1].MaxRunners = 0 }, "no runner"),
		ginkgo.Entry("a stage that follows itself", func(c *Catalog) { c.Routes[0].Stages[1].After = []int{1} }, "follows stage"),
		ginkgo.Entry("a key of two workspaces", func(c *Catalog) { c.Workspaces[1].Keys = []string{"k2"} }, "belongs to workspace"),
		ginkgo.Entry("a duplicate service name", func(c *Catalog) { c.Services[1].Name = "engines" }, "duplicated"),
		ginkgo.Entry("a duplicate workspace name", func(c *Catalog) { c.Workspaces[1].Name = "w" }, "duplicated"),
	)

	ginkgo.It("finds the route with the longest matching prefix, regardless of the host's case and port", func() {
		t := NewTable(validCatalog())
		Expect(t.Route("one.example", "/x/y/z").Name).To(Equal("b"))
		Expect(t.Route("ONE.example:8080", "/x/z").Name).To(Equal("a"))
		Expect(t.Route("one.example", "/x")).To(BeNil())
		Expect(t.Route("two.example", "/x/")).To(BeNil())
	})

	ginkgo.It("finds the workspace of a key and none for an unknown key", func() {
		t := NewTable(validCatalog())
		Expect(t.WorkspaceOf("k2").Name).To(Equal("w"))
		Expect(t.WorkspaceOf("")).To(BeNil())
		Expect(t.WorkspaceOf("k9")).To(BeNil())
	})

	ginkgo.It("lists the stages that no other stage depends on", func() {
		c := validCatalog()
		Expect(c.Routes[0].FinalStages()).To(Equal([]int{1}))
	})
})

// TestPickFollowsTheWeights guards against a share of requests that differs from
// the weights, such as requests to a target with weight 0.
func TestPickFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 5).Draw(t, "weights")
		weights[rapid.IntRange(0, len(weights)-1).Draw(t, "sure")] += 1
		route := Route{}
		total := 0
		for i, w := range weights {
			route.Targets = append(route.Targets, Target{Service: strings.Repeat("s", i+1), Weight: w})
			total += w
		}
		seen := map[string]int{}
		for i := range total {
			seen[route.Pick((float64(i)+0.5)/float64(total))]++
		}
		for _, target := range route.Targets {
			if seen[target.Service] != target.Weight {
				t.Fatalf("service %q was picked %d times in %d, its weight is %d", target.Service, seen[target.Service], total, target.Weight)
			}
		}
	})
}

// TestHeldKeepsTheFirstOfTheHighestVersion guards against a return to an older
// version and against a change of a version's content.
func TestHeldKeepsTheFirstOfTheHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		active := ActiveDocument{}
		var want *Document
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 6), 1, 30).Draw(t, "versions") {
			d := &Document{Version: v, Body: []byte{byte(rapid.IntRange(0, 255).Draw(t, "body"))}}
			if want == nil || v > want.Version {
				want = d
			}
			active.Publish(d)
			if active.Document() != want {
				t.Fatalf("version %d is in force, want version %d", active.Document().Version, want.Version)
			}
		}
	})
}
