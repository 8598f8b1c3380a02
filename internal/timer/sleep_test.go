package timer

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	g.Expect(Sleep(ctx, time.Millisecond)).To(gomega.BeTrue())
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", time.Millisecond))
	g.Expect(Sleep(ctx, -time.Hour)).To(gomega.BeTrue())
	time.AfterFunc(time.Millisecond, cancel)
	g.Expect(Sleep(ctx, time.Hour)).To(gomega.BeFalse())
	g.Expect(Sleep(ctx, 0)).To(gomega.BeFalse())
}

func TestEveryRepeatsUntilItsContextEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Millisecond, func() {
		if calls++; calls == 3 {
			cancel()
		}
	})
	g.Expect(calls).To(gomega.BeNumerically(">=", 3))
}
