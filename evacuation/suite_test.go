package evacuation

import (
	"flag"
	"reflect"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "4302"); err != nil {
		panic(err)
	}
}

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "evacuation")
}

// Guards against an order that is held up inside the system and undoes a later one,
// and against a table that changes under its readers.
func TestHeldUpOrdersUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table *Table
		var heldUp []Order
		wanted := map[string]bool{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(heldUp) > 0 && rapid.Bool().Draw(t, "late") {
				late := rapid.SampledFrom(heldUp).Draw(t, "order")
				if late.Revision == table.Revision(late.Zone) {
					// Nothing has overtaken it.
					wanted[late.Zone] = late.Start
				}
				table, _ = table.Apply(int64(step), &late)
			} else {
				o := Order{Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), Start: rapid.Bool().Draw(t, "start")}
				o.Revision = table.Revision(o.Zone)
				heldUp = append(heldUp, o)
				if rapid.Bool().Draw(t, "arrives") {
					before, copied := table, table.Evacuated()
					var outcome Outcome
					table, outcome = table.Apply(int64(step), &o)
					wanted[o.Zone] = o.Start
					if outcome != InForce {
						t.Fatalf("an order on the newest revision ended with %d", outcome)
					}
					if !reflect.DeepEqual(before.Evacuated(), copied) {
						t.Fatalf("the table before has changed")
					}
				}
			}
			for zone, evacuated := range wanted {
				if table.IsEvacuated(zone) != evacuated {
					t.Fatalf("%s is evacuated: %v; the last order in time says %v", zone, !evacuated, evacuated)
				}
			}
		}
	})
}

var _ = ginkgo.Describe("the table of evacuations", func() {
	ginkgo.It("acknowledges a resent order without a change", func() {
		start := &Order{Zone: "a", Start: true}
		first, outcome := (*Table)(nil).Apply(1, start)
		Expect(outcome).To(Equal(InForce))
		again, outcome := first.Apply(2, start)
		Expect(outcome).To(Equal(InForce))
		Expect(again).To(BeIdenticalTo(first))
	})

	ginkgo.It("has an order fail that another one has overtaken", func() {
		table, _ := (*Table)(nil).Apply(1, &Order{Zone: "a", Start: true})
		table, _ = table.Apply(2, &Order{Zone: "a", Revision: 1})
		Expect(table.EndedUnixMS("a")).To(BeEquivalentTo(2))
		_, outcome := table.Apply(3, &Order{Zone: "a", Start: true})
		Expect(outcome).To(Equal(Outdated))
	})

	ginkgo.It("takes no data centre without a name", func() {
		_, outcome := (*Table)(nil).Apply(1, &Order{Start: true})
		Expect(outcome).To(Equal(Unacceptable))
	})
})
