package cbormode

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
)

func TestDeterministicEncodesEqualMapsAsEqualBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	forward, backward := map[string]int{}, map[string]int{}
	for i := range 100 {
		forward[string(rune('a'+i))] = i
		backward[string(rune('a'+99-i))] = 99 - i
	}
	a, err := Deterministic.Marshal(forward)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b, err := Deterministic.Marshal(backward)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a).To(gomega.Equal(b))
}

// Guards against state of the target size that can be stored and not be read.
func TestLargeDecodesLongArraysAndRejectsDuplicateKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	const length = 330_000
	b, err := Deterministic.Marshal(make([]int, length))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var list []int
	g.Expect(cbor.Unmarshal(b, &list)).NotTo(gomega.Succeed())
	g.Expect(Large.Unmarshal(b, &list)).To(gomega.Succeed())
	g.Expect(list).To(gomega.HaveLen(length))
	twice := []byte{0xa2, 0x01, 0x01, 0x01, 0x02} // {1: 1, 1: 2}
	g.Expect(Large.Unmarshal(twice, &map[int]int{})).NotTo(gomega.Succeed())
}
