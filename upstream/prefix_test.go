package upstream

import (
	"strings"

	"damaskbridge.example/damaskbridge/standin/content"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("PrefixChain", func() {
	It("computes the same block hashes as the engines, on which prefix affinity relies", func() {
		text := strings.Repeat("the gate at kilometre nine is stuck. ", 20)
		own := PrefixChain([]Message{{Role: "user", Content: text}})
		engine := content.PrefixChain(content.Prompt([]content.Message{{Role: "user", Content: text}}))
		Expect(own).To(Equal(engine))
		Expect(own).NotTo(BeEmpty())
	})
})
