package entry

import (
	"math/rand/v2"
	"time"

	"damaskbridge.example/damaskbridge/admission"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/routing"
	"damaskbridge.example/damaskbridge/settings"
)

// percent converts percentages to fractions.
const percent = 100

// applySettings applies the settings of the root branch that concern pools.
// Settings that concern single requests are read from the request's branch.
func (s *Server) applySettings(tree *settings.Tree) {
	s.runners.router.SetOptions(routingOptions(s.opts, tree))
	s.runners.members.SetSlowStart(max(tree.Duration("", settings.SlowStart), time.Millisecond))
	s.gates.SetOptions(admissionOptions(tree))
	for _, p := range tree.Pools() {
		if p.Kind == settings.KindGenerate {
			s.gates.SetPoolOptions(p.Name, engineAdmissionOptions(tree))
		}
	}
	s.retryBudgets.setOptions(retryBudgetOptions(tree))
	s.planner.SetHedgePercentile(float64(tree.Int("", settings.HedgePercentile)) / percent)
	s.client.SetProgressTimeout(tree.Duration("", settings.UpstreamProgressTimeout))
}

func routingOptions(o Options, tree *settings.Tree) routing.Options {
	r := routing.DefaultOptions(o.Region)
	r.CrossRegion = tree.Bool("", settings.CrossRegionAllowed)
	r.RegionPenaltyMS = float64(tree.Duration("", settings.CrossRegionPenalty).Milliseconds())
	r.Ejection.MaxPercent = int(tree.Int("", settings.EjectionMaxPercent))
	return r
}

func admissionOptions(tree *settings.Tree) admission.Options {
	a := admission.DefaultOptions()
	a.Limiter.Min = float64(tree.Int("", settings.AdmissionMinLimit))
	a.Limiter.Max = max(a.Limiter.Min, float64(tree.Int("", settings.AdmissionMaxLimit)))
	a.Limiter.Initial = min(a.Limiter.Max, max(a.Limiter.Min, a.Limiter.Initial))
	a.MaxQueued = int(tree.Int("", settings.AdmissionQueue))
	return a
}

// engineTolerance is the ratio by which the time to the first token may exceed
// its long-term minimum before an engine pool's limit falls. Engines batch, so
// their first token is delayed long before their throughput is exhausted. With
// the tolerance of other pools, 40% of chats were rejected at a load that engines
// without a limit served in time.
const engineTolerance = 32

func engineAdmissionOptions(tree *settings.Tree) admission.Options {
	a := admissionOptions(tree)
	a.Limiter.Tolerance = engineTolerance
	return a
}

func retryBudgetOptions(tree *settings.Tree) retry.BudgetOptions {
	b := retry.DefaultBudgetOptions()
	b.Fraction = float64(tree.Int("", settings.RetryBudgetPercent)) / percent
	return b
}

// newRouter returns the router selected by o.Policy.
func newRouter(o Options) (*routing.ConcurrentRouter, error) {
	rng := rand.New(rand.NewPCG(uint64(o.Seed), 1))
	opts := routing.DefaultOptions(o.Region)
	if o.Policy.RoutingBaseline == "" {
		return routing.NewConcurrentRouter(opts, rng), nil
	}
	return routing.NewBaseline(o.Policy.RoutingBaseline, opts, rng)
}
