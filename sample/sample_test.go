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

// applyDocument returns the settings tree after a deployment's document is
// applied to empty settings.
func applyDocument(d *Deployment) *settings.Tree {
	empty := settings.NewTree()
	ops, err := settings.ParseDocument(d.Name+".yaml", []byte(d.SettingsDocument()), empty)
	Expect(err).NotTo(HaveOccurred())
	tree, result := empty.Apply(settings.Change{ID: "first", Operator: "test", Base: empty.Version(), Ops: ops})
	Expect(result.State).To(Equal(settings.Accepted), result.Detail)
	return tree
}

var _ = ginkgo.Describe("sample deployments", func() {
	for _, name := range []string{standin.PresetGuild, standin.PresetNilegate, standin.PresetDev} {
		ginkgo.It("have a document that empty settings accept and that changes nothing when applied again: "+name, func() {
			d, err := ByName(name)
			Expect(err).NotTo(HaveOccurred())
			tree := applyDocument(d)
			Expect(tree.Version()).To(Equal(uint64(1)))
			ops, err := settings.ParseDocument("again.yaml", []byte(d.SettingsDocument()), tree)
			Expect(err).NotTo(HaveOccurred())
			Expect(ops).To(BeEmpty(), "operations of the same document on its own settings")
		})

		ginkgo.It("bind each workspace to every target of the mix, without which the load would only measure refusals: "+name, func() {
			d, err := ByName(name)
			Expect(err).NotTo(HaveOccurred())
			tree := applyDocument(d)
			Expect(d.Workspaces).NotTo(BeEmpty())
			for _, w := range d.Workspaces {
				ws, ok := tree.WorkspaceByToken(keys.TokenDigest(w.Token))
				Expect(ok).To(BeTrue())
				Expect(ws.Name).To(Equal(w.Name))
				for _, p := range d.Mix {
					bound := slices.Concat(ws.Pipelines, ws.Services)
					Expect(bound).To(ContainElement(p.Target), string(p.Kind))
				}
			}
		})

		ginkgo.It("name exactly the pools that the fleet runs: "+name, func() {
			d, err := ByName(name)
			Expect(err).NotTo(HaveOccurred())
			var fleetPools, documentPools []string
			for _, p := range d.Fleet.Pools {
				fleetPools = append(fleetPools, p.Name)
			}
			for _, p := range applyDocument(d).Pools() {
				documentPools = append(documentPools, p.Name)
			}
			Expect(documentPools).To(ConsistOf(fleetPools))
		})
	}

	ginkgo.It("reject an unknown name with an error that lists the known ones", func() {
		_, err := ByName("none")
		Expect(err).To(MatchError(ContainSubstring("use guild, nilegate or dev")))
	})
})
