// Package capacity measures the CPU time, memory and internal traffic of a
// deployment's processes, idle and under load. docs/CAPACITY.md takes
// the slopes of usage against load from its results.
package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"damaskbridge.example/damaskbridge/e2e"
	"damaskbridge.example/damaskbridge/load"
	"damaskbridge.example/damaskbridge/sample"
)

// Options configures Run.
type Options struct {
	// Deployment is the name of a sample deployment.
	Deployment string
	// Controls and Entries are the numbers of control and entry VMs.
	Controls int
	Entries  int
	// Rates are the loads in requests per second; 0 measures idle processes.
	Rates []float64
	// Duration is the duration of one measurement.
	Duration time.Duration
	// Changes is the number of settings changes to time, 0 for none.
	Changes int
	// Out receives the results as text.
	Out io.Writer
}

// Row is the resource usage of the processes of one role at one rate.
type Row struct {
	// Role is "entry" or "control".
	Role string
	// Rate is in requests per second.
	Rate float64
	// CPUPercent, RSSBytes and CallBytesPerSecond are per process, as the
	// lowest, median and highest of the role's processes. CPUPercent is of one
	// CPU.
	CPUPercent         Spread
	RSSBytes           Spread
	CallBytesPerSecond Spread
	// MethodBytesPerSecond is the median of the calls' bytes per second, by method.
	MethodBytesPerSecond map[string]float64
}

// Spread is the lowest, median and highest of a set of values. Of an even
// number of values the median is the upper of the two in the middle.
type Spread struct{ Low, Median, High float64 }

// newSpread returns the spread of values, of which there must be at least one.
// It sorts them in place.
func newSpread(values []float64) Spread {
	slices.Sort(values)
	return Spread{Low: values[0], Median: values[len(values)/2], High: values[len(values)-1]}
}

// startTimeout bounds the start of the deployment.
const startTimeout = 2 * time.Minute

// Run builds the programs, starts the deployment, measures it at each rate,
// times settings changes and writes the results to Out.
func Run(ctx context.Context, o Options) error {
	d, err := sample.ByName(o.Deployment)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "damask-capacity-")
	if err != nil {
		return fmt.Errorf("capacity: create the data directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := e2e.Build(dir); err != nil {
		return err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s, err := e2e.Start(startCtx, e2e.Options{Deployment: d, Controls: o.Controls, Entries: o.Entries, Binaries: dir, Dir: dir})
	if err != nil {
		return err
	}
	defer s.Close()
	var rows []Row
	for _, rate := range o.Rates {
		measured, err := measure(ctx, s, d, rate, o.Duration)
		if err != nil {
			return err
		}
		rows = append(rows, measured...)
	}
	if err := writeTable(o.Out, rows); err != nil {
		return err
	}
	return timeChanges(ctx, s, o)
}

// measure runs the load of one rate and returns a row for each role.
func measure(ctx context.Context, s *e2e.System, d *sample.Deployment, rate float64, duration time.Duration) ([]Row, error) {
	before, err := s.Usages(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := runLoad(ctx, s, d, rate, duration); err != nil {
		return nil, err
	}
	after, err := s.Usages(ctx)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	var rows []Row
	for _, role := range []string{"entry", "control"} {
		rows = append(rows, newRow(role, rate, elapsed, before, after))
	}
	return rows, nil
}

// runLoad sends the load for the duration, or only waits if the rate is 0. An
// attainment below 1 is an error.
func runLoad(ctx context.Context, s *e2e.System, d *sample.Deployment, rate float64, duration time.Duration) error {
	if rate == 0 {
		select {
		case <-time.After(duration):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r, err := load.Run(ctx, load.Options{
		Entries: s.Targets(), Workspaces: d.Workspaces, Mix: d.Mix, RatePerSecond: rate, Duration: duration,
		Seed: 1, Settle: time.Millisecond,
	})
	if err != nil {
		return err
	}
	if r.Attainment < 1 {
		return fmt.Errorf("capacity: attainment %.4f at %v requests/s; lower the rate", r.Attainment, rate)
	}
	return nil
}

// newRow returns the row of a role from the usage of all processes, in the same
// order, before and after a measurement.
func newRow(role string, rate float64, elapsed time.Duration, before, after []e2e.Usage) Row {
	row := Row{Role: role, Rate: rate, MethodBytesPerSecond: make(map[string]float64)}
	var cpu, rss, callBytes []float64
	byMethod := make(map[string][]float64)
	for i := range after {
		if after[i].Role != role {
			continue
		}
		ticks := after[i].CPUTicks - before[i].CPUTicks
		// A tick is 10 ms, so ticks per second are percent of one CPU.
		cpu = append(cpu, float64(ticks)/elapsed.Seconds())
		rss = append(rss, float64(after[i].RSSBytes))
		total := 0.0
		for m, n := range after[i].CallBytes {
			perSecond := float64(n-before[i].CallBytes[m]) / elapsed.Seconds()
			byMethod[m] = append(byMethod[m], perSecond)
			total += perSecond
		}
		callBytes = append(callBytes, total)
	}
	row.CPUPercent, row.RSSBytes, row.CallBytesPerSecond = newSpread(cpu), newSpread(rss), newSpread(callBytes)
	for m, values := range byMethod {
		row.MethodBytesPerSecond[m] = newSpread(values).Median
	}
	return row
}

// writeTable writes the rows as a table.
func writeTable(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "role\trequests/s\tCPU % (low median high)\tRSS MB\tcall bytes/s\tby method")
	const mb = 1e6
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f %.1f %.1f\t%.1f %.1f %.1f\t%.0f %.0f %.0f\t%s\n", r.Role, r.Rate,
			r.CPUPercent.Low, r.CPUPercent.Median, r.CPUPercent.High,
			r.RSSBytes.Low/mb, r.RSSBytes.Median/mb, r.RSSBytes.High/mb,
			r.CallBytesPerSecond.Low, r.CallBytesPerSecond.Median, r.CallBytesPerSecond.High, formatMethods(r.MethodBytesPerSecond))
	}
	return w.Flush()
}

// formatMethods lists the methods with at least one byte per second, in falling
// order.
func formatMethods(bytesPerSecond map[string]float64) string {
	names := make([]string, 0, len(bytesPerSecond))
	for m, n := range bytesPerSecond {
		if n >= 1 {
			names = append(names, m)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(bytesPerSecond[b] - bytesPerSecond[a]) })
	parts := make([]string, 0, len(names))
	for _, m := range names {
		parts = append(parts, fmt.Sprintf("%s %.0f", m, bytesPerSecond[m]))
	}
	return strings.Join(parts, ", ")
}
