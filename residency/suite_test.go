package residency

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "4301"); err != nil {
		panic(err)
	}
}

func TestResidency(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "residency")
}

// Guards against an intersection that allows what one of its sets does not.
func TestIntersectAllowsWhatBothAllow(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID), 2, 2).Draw(t, "lists")
		x, y := Of(lists[0]), Of(lists[1])
		both := x.Intersect(y)
		for _, name := range append(names, "unknown") {
			if both.Allows(name) != (x.Allows(name) && y.Allows(name)) {
				t.Fatalf("%v and %v: %s is allowed: %v", lists[0], lists[1], name, both.Allows(name))
			}
			if again := Of(both.List()); again.Allows(name) != both.Allows(name) {
				t.Fatalf("%v: %s is allowed after it was encoded: %v", both.List(), name, again.Allows(name))
			}
		}
	})
}

var _ = ginkgo.Describe("regions", func() {
	ginkgo.It("allow all regions if none is named", func() {
		Expect(Of(nil).Allows("")).To(BeTrue())
		Expect(Of([]string{}).Restricted()).To(BeFalse())
	})

	// Guards against taking two sets without a common region for no restriction.
	ginkgo.It("may allow none", func() {
		none := Of([]string{"a"}).Intersect(Of([]string{"b"}))
		Expect(none.Restricted()).To(BeTrue())
		Expect(none.Allows("a") || none.Allows("b") || none.Allows("")).To(BeFalse())
		Expect(none.Intersect(Regions{}).Restricted()).To(BeTrue())
	})

	ginkgo.It("leave out a region without a name", func() {
		Expect(Of([]string{"", "a"}).Allows("")).To(BeFalse())
	})
})
