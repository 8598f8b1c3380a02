package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"damaskbridge.example/damaskbridge/load"
)

// Row is the result of one run.
type Row struct {
	Scenario      string  `json:"scenario"`
	Baseline      string  `json:"baseline"`
	Seed          uint64  `json:"seed"`
	RatePerSecond float64 `json:"rate_per_second"`
	Requests      int     `json:"requests"`
	Attainment    float64 `json:"attainment"`
	// Violations counts outcomes that the invariants exclude: wrong,
	// incomplete without notice, falsely refused, duplicate and lost keys.
	Violations int                  `json:"violations"`
	Outcomes   map[load.Outcome]int `json:"outcomes"`
	Report     *load.Report         `json:"report,omitempty"`
	// Unfinished is set if the load ended before the scenario's last action did,
	// so that a part of the scenario did not take place.
	Unfinished bool `json:"unfinished,omitempty"`
	// Error says why the run is not valid, or was skipped.
	Error string `json:"error,omitempty"`
}

func (r *Row) fill(p *load.Report) {
	if p == nil {
		return
	}
	r.Requests = p.Requests
	r.Attainment = p.Attainment
	r.Outcomes = p.Outcomes
	r.Report = p
	r.Violations = p.Outcomes[load.Wrong] + p.Outcomes[load.Duplicate] + p.FalseRefusals + len(p.LostKeys)
}

// Summary compares the rows of one scenario and baseline.
type Summary struct {
	Scenario   string  `json:"scenario"`
	Baseline   string  `json:"baseline"`
	Runs       int     `json:"runs"`
	Median     float64 `json:"median_attainment"`
	Min        float64 `json:"min_attainment"`
	Max        float64 `json:"max_attainment"`
	Violations int     `json:"violations"`
	Unfinished int     `json:"unfinished"`
	Errors     int     `json:"errors"`
}

// Summarize returns one summary for each scenario and baseline, in the order of
// the rows. Rows with an error count only as such.
func Summarize(rows []Row) []Summary {
	type name struct{ scenario, baseline string }
	var order []name
	groups := map[name][]Row{}
	for _, r := range rows {
		n := name{r.Scenario, r.Baseline}
		if groups[n] == nil {
			order = append(order, n)
		}
		groups[n] = append(groups[n], r)
	}
	var all []Summary
	for _, n := range order {
		s := Summary{Scenario: n.scenario, Baseline: n.baseline}
		var values []float64
		for _, r := range groups[n] {
			if r.Error != "" {
				s.Errors++
				continue
			}
			s.Violations += r.Violations
			if r.Unfinished {
				s.Unfinished++
			}
			values = append(values, r.Attainment)
		}
		s.Runs = len(values)
		s.Median, s.Min, s.Max = spread(values)
		all = append(all, s)
	}
	return all
}

func spread(values []float64) (median, least, most float64) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sort.Float64s(values)
	n := len(values)
	median = (values[(n-1)/2] + values[n/2]) / 2
	return median, values[0], values[n-1]
}

// WriteTable writes the summaries for people.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tbaseline\truns\tmedian\tmin\tmax\tviolations\tunfinished\terrors")
	for _, s := range Summarize(rows) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\n", s.Scenario, s.Baseline, s.Runs, s.Median, s.Min, s.Max, s.Violations, s.Unfinished, s.Errors)
	}
	for _, r := range rows {
		if r.Error != "" {
			fmt.Fprintf(t, "%s/%s seed %d: %s\n", r.Scenario, r.Baseline, r.Seed, r.Error)
		}
	}
	return t.Flush()
}

// WriteJSON writes one row on each line.
func WriteJSON(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	for _, r := range rows {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// inOrder returns the actions by time; those of the same time keep their order.
func inOrder(actions []Action) []Action {
	sorted := append([]Action{}, actions...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At < sorted[j].At })
	return sorted
}
