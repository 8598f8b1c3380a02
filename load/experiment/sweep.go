package experiment

import (
	"context"
	"fmt"
)

// Sweep is a steady run at each of several rates, to see where attainment
// falls and whether it collapses past saturation.
type Sweep struct {
	Plan
	// Rates are requests per second, in rising order.
	Rates []float64
}

// Run makes all runs and hands out each row as soon as it is known. The plan's
// scenarios are not used.
func (s Sweep) Run(ctx context.Context, each func(Row)) ([]Row, error) {
	var rows []Row
	for _, rate := range s.Rates {
		p := s.Plan
		p.Scenarios = []Scenario{{Name: fmt.Sprintf("%s_%g", Steady, rate)}}
		p.Load.RatePerSecond = rate
		got, err := p.Run(ctx, each)
		rows = append(rows, got...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}
