package bounded

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against numbers that wrap around in later sums and products, or that differ
// between kinds of machines.
func TestCount(t *testing.T) {
	for text, want := range map[string]int{
		"7": 7, "878416384463000": MaxWhole, "99999999999999999999": MaxWhole,
		"-5": 0, "-99999999999999999999": 0, "x": 0,
	} {
		NewWithT(t).Expect(Counts(text)).To(Equal([]int{want}), text)
	}
	NewWithT(t).Expect(Counts("1, 2,,3")).To(Equal([]int{1, 2, 0, 3}))
	NewWithT(t).Expect(Counts("")).To(BeNil())
}

func TestParseMilliseconds(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1.5": 1500 * time.Microsecond, "1e300": MaxDuration, "1e400": MaxDuration, "Inf": MaxDuration,
		"NaN": 0, "-1e300": 0, "-1e400": 0, "x": 0, "": 0,
	} {
		NewWithT(t).Expect(ParseMilliseconds(text)).To(Equal(want), text)
	}
}

func TestWhole(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Whole(1.9)).To(BeEquivalentTo(1))
	g.Expect(Whole(math.Inf(1))).To(BeEquivalentTo(MaxWhole))
	g.Expect(Whole(-1e300)).To(BeEquivalentTo(-MaxWhole))
	g.Expect(Seconds(-1e300)).To(Equal(-MaxDuration))
	g.Expect(Milliseconds(math.NaN())).To(BeZero())
}
