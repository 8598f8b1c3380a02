package capacity

import (
	"context"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/e2e"
)

// timeChanges applies settings changes one after the other and writes the times
// from the operator's call until each change is accepted and until it is in
// effect on every entry VM.
func timeChanges(ctx context.Context, s *e2e.System, o Options) error {
	if o.Changes == 0 {
		return nil
	}
	operator := s.Operator()
	var accepted, inEffect []float64
	for i := range o.Changes {
		version, err := operator.CurrentVersion(ctx)
		if err != nil {
			return err
		}
		doc := fmt.Appendf(nil, "branches:\n  capacity:\n    deadline.default: %dms\n", 1000+i)
		start := time.Now()
		reply, err := operator.ApplyDocument(ctx, fmt.Sprintf("capacity-%d", i), version.Version, "change.yaml", doc)
		if err != nil {
			return err
		}
		accepted = append(accepted, millisecondsSince(start))
		if _, err := operator.WaitInEffect(ctx, reply.Version); err != nil {
			return err
		}
		inEffect = append(inEffect, millisecondsSince(start))
	}
	a, e := newSpread(accepted), newSpread(inEffect)
	_, err := fmt.Fprintf(o.Out, "%d changes: accepted after %.0f %.0f %.0f ms, in effect everywhere after %.0f %.0f %.0f ms (low median high)\n",
		o.Changes, a.Low, a.Median, a.High, e.Low, e.Median, e.High)
	return err
}

// millisecondsSince returns the time since start in milliseconds.
func millisecondsSince(start time.Time) float64 {
	return float64(time.Since(start).Microseconds()) / 1000
}
