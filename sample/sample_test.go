package sample

import (
	"slices"
	"testing"

	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/standin"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSample(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sample")
}

// applied gives the tree after a deployment's document on empty settings.
func applied(d *Deployment) *settings.Tree {
	empty := settings.NewTree()
	ops, err := settings.ParseDocument(d.Name+".yaml", []byte(d.Document()), empty)
	Expect(err).NotTo(HaveOccurred())
	tree, result := empty.Apply(settings.Change{ID: "first", Operator: "test", Base: empty.Version(), Ops: ops})
	Expect(result.State).To(Equal(settings.Accepted), result.Detail)
	return tree
}

var _ = ginkgo.Describe("deployments", func() {
	for _, name := range []string{standin.PresetGuild, standin.PresetNilegate, standin.PresetDev} {
		ginkgo.It("have a document that empty settings accept: "+name, func() {
			d, err := Named(name)
			Expect(err).NotTo(HaveOccurred())
			tree := applied(d)
			Expect(tree.Version()).To(Equal(uint64(1)))
			again, err := settings.ParseDocument("again.yaml", []byte(d.Document()), tree)
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(BeEmpty(), "the same document changes nothing")
		})

		ginkgo.It("bind every request of the mix, or the load would only measure refusals: "+name, func() {
			d, err := Named(name)
			Expect(err).NotTo(HaveOccurred())
			tree := applied(d)
			Expect(d.Workspaces).NotTo(BeEmpty())
			for _, w := range d.Workspaces {
				ws, ok := tree.WorkspaceByToken(keys.Digest(w.Token))
				Expect(ok).To(BeTrue())
				Expect(ws.Name).To(Equal(w.Name))
				for _, p := range d.Mix {
					bound := slices.Concat(ws.Pipelines, ws.Services)
					Expect(bound).To(ContainElement(p.Target), string(p.Kind))
				}
			}
		})

		ginkgo.It("name only pools that the fleet runs: "+name, func() {
			d, err := Named(name)
			Expect(err).NotTo(HaveOccurred())
			var fleet, named []string
			for _, p := range d.Fleet.Pools {
				fleet = append(fleet, p.Name)
			}
			for _, p := range applied(d).Pools() {
				named = append(named, p.Name)
			}
			Expect(named).To(ConsistOf(fleet))
		})
	}

	ginkgo.It("refuse an unknown name and list those that there are", func() {
		_, err := Named("none")
		Expect(err).To(MatchError(ContainSubstring("use guild, nilegate or dev")))
	})
})
