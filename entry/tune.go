package entry

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/settings"
)

// percent is the whole of a percentage.
const percent = 100

// tune puts the settings of the tree's root that concern pools into effect.
// What concerns single requests is read from their branch with each request.
func (s *Server) tune(tree *settings.Tree) {
	s.runners.router.Tune(routingOptions(s.opts, tree))
	s.runners.members.TuneSlowStart(max(tree.Duration("", settings.SlowStart), time.Millisecond))
	s.gates.Tune(admissionOptions(tree))
	for _, p := range tree.Pools() {
		if p.Kind == settings.Generate {
			s.gates.TunePool(p.Name, engineAdmission(tree))
		}
	}
	s.budgets.tune(budgetOptions(tree))
	s.times.TuneHedge(float64(tree.Int("", settings.HedgePercentile)) / percent)
	s.client.TuneProgress(tree.Duration("", settings.UpstreamProgressWindow))
}

func routingOptions(o Options, tree *settings.Tree) routing.Options {
	r := routing.DefaultOptions(o.Region)
	r.CrossRegion = tree.Bool("", settings.CrossRegionAllowed)
	r.RegionPenaltyMS = float64(tree.Duration("", settings.CrossRegionPenaltyMS).Milliseconds())
	r.Ejection.MaxPercent = int(tree.Int("", settings.EjectionMaxPercent))
	return r
}

func admissionOptions(tree *settings.Tree) admission.Options {
	a := admission.DefaultOptions()
	a.Limiter.Min = float64(tree.Int("", settings.AdmissionMinLimit))
	a.Limiter.Max = max(a.Limiter.Min, float64(tree.Int("", settings.AdmissionMaxLimit)))
	a.Limiter.Initial = min(a.Limiter.Max, max(a.Limiter.Min, a.Limiter.Initial))
	a.Queue = int(tree.Int("", settings.AdmissionQueue))
	return a
}

// engineTolerance is how far the time to the first token may rise above its
// long-term minimum before an engine pool's limit falls. Engines batch, so their
// first token comes later long before their throughput ends; with the tolerance
// of other pools, four in ten chats were rejected at a load that engines without
// any limit answered in time.
const engineTolerance = 32

func engineAdmission(tree *settings.Tree) admission.Options {
	a := admissionOptions(tree)
	a.Limiter.Tolerance = engineTolerance
	return a
}

func budgetOptions(tree *settings.Tree) retry.BudgetOptions {
	b := retry.DefaultBudgetOptions()
	b.Part = float64(tree.Int("", settings.RetryBudgetPercent)) / percent
	return b
}

// newRouter makes the router of the policy.
func newRouter(o Options) (*routing.Shared, error) {
	rng := rand.New(rand.NewPCG(uint64(o.Seed), 1))
	opts := routing.DefaultOptions(o.Region)
	if o.Policy.Picker == "" {
		return routing.NewShared(opts, rng), nil
	}
	return routing.NewBaseline(o.Policy.Picker, opts, rng)
}
