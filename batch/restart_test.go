package batch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/internal/virtualtime"
)

// restartLoad is the load on one stage in the seconds after all entry VMs of a
// zone have started again: requests at a steady rate, runners with one slot and
// a short queue. Each VM assembles its own calls until the VMs know each other,
// and one of them assembles all calls from then on.
type restartLoad struct {
	clock   *virtualtime.Clock
	spec    catalog.StageRunner
	runners []*loadedRunner
	// assemblers holds one assembler a VM. The first is the common one.
	assemblers []*Assembler
	knownAt    time.Duration
	inTime     int
	asked      int
}

// loadedRunner works off one call after the other.
type loadedRunner struct {
	freeAt  time.Duration
	waiting int
}

const (
	restartVMs      = 16
	restartRunners  = 4
	restartQueue    = 2
	restartSeconds  = 4
	piecesPerSecond = 60
	objective       = 1500 * time.Millisecond
)

// playRestart returns the share of pieces that were made within the objective.
func playRestart(seed uint64, knownAt time.Duration) float64 {
	l := &restartLoad{
		clock: &virtualtime.Clock{}, knownAt: knownAt,
		spec: catalog.StageRunner{Slots: 1, MaxBatch: 8, CallTime: 200 * time.Millisecond, PieceTime: 21 * time.Millisecond, Retention: 4 * time.Second},
	}
	var list []Runner
	for n := range restartRunners {
		list = append(list, Runner{ID: fmt.Sprint(n), Addr: fmt.Sprint(n)})
		l.runners = append(l.runners, &loadedRunner{})
	}
	for range restartVMs {
		a := NewAssembler(l.spec)
		a.SetRunners(list)
		l.assemblers = append(l.assemblers, a)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for n := range restartSeconds * piecesPerSecond {
		at := time.Duration(n) * time.Second / piecesPerSecond
		vm := random.IntN(restartVMs)
		l.clock.After(at, func() { l.arrive(vm, uint64(n+1)) })
	}
	l.clock.Run()
	return float64(l.inTime) / float64(l.asked)
}

func (l *restartLoad) now() time.Time { return start.Add(l.clock.Now()) }

func (l *restartLoad) arrive(vm int, ref uint64) {
	if l.clock.Now() >= l.knownAt {
		vm = 0
	}
	l.asked++
	l.assemblers[vm].Add(l.now(), Item{Ref: ref, Due: l.now().Add(objective), Deadline: l.now().Add(2 * objective)})
	l.dispatch(vm)
}

func (l *restartLoad) dispatch(vm int) {
	a := l.assemblers[vm]
	calls, _ := a.Next(l.now())
	for _, c := range calls {
		l.call(vm, c)
	}
	if wake := a.NextWake(l.now()); !wake.IsZero() {
		l.clock.After(max(wake.Sub(l.now()), time.Millisecond), func() { l.dispatch(vm) })
	}
}

// call lets a runner work off a call, or refuse it if its queue is full.
func (l *restartLoad) call(vm int, c Call) {
	var n int
	_, _ = fmt.Sscan(c.Runner, &n)
	r := l.runners[n]
	if r.waiting > restartQueue {
		l.finish(vm, c, CallResult{Refused: true})
		return
	}
	r.waiting++
	r.freeAt = max(r.freeAt, l.clock.Now()) + l.spec.Estimate(len(c.Items))
	l.clock.After(r.freeAt-l.clock.Now(), func() {
		r.waiting--
		result := CallResult{}
		for _, i := range c.Items {
			result.Results = append(result.Results, Result{Handle: fmt.Sprint("h", i.Ref)})
		}
		l.finish(vm, c, result)
	})
}

func (l *restartLoad) finish(vm int, c Call, r CallResult) {
	ended, _ := l.assemblers[vm].Done(l.now(), c, r)
	for _, e := range ended {
		if e.Result.Handle != "" && !l.now().After(e.Item.Due) {
			l.inTime++
		}
	}
	l.clock.After(0, func() { l.dispatch(vm) })
}

// The runners make 93 pieces a second in full calls and 18 in calls of one.
var _ = ginkgo.Describe("the load after a start of all VMs", func() {
	ginkgo.It("is served in time by one assembling VM, and not by many", func() {
		for seed := range uint64(3) {
			together, alone := playRestart(seed, 0), playRestart(seed, 2*time.Second)
			ginkgo.GinkgoWriter.Printf("seed %d: in time %.2f together, %.2f alone for two seconds\n", seed, together, alone)
			Expect(together).To(BeNumerically(">=", 0.95))
			Expect(alone).To(BeNumerically("<", together))
		}
	})
})
