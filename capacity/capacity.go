// Package capacity measures what the processes of a deployment use, idle and
// under load, as the slopes of docs/CAPACITY.md.
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

// Options describe a measurement.
type Options struct {
	Deployment string
	Controls   int
	Entries    int
	// Rates are the loads in requests a second; 0 measures idle processes.
	Rates []float64
	// Each is the time of one measurement.
	Each time.Duration
	// Changes is the number of settings changes to time, 0 for none.
	Changes int
	Out     io.Writer
}

// Row is what the processes of one role used at one rate.
type Row struct {
	Role string
	Rate float64
	// CPUPercent, RSSBytes and CallBytesPerSecond are for one process: lowest,
	// median and highest over the role's processes.
	CPUPercent         Spread
	RSSBytes           Spread
	CallBytesPerSecond Spread
	// ByMethod is the median of the calls' bytes a second, by method.
	ByMethod map[string]float64
}

// Spread is the lowest, median and highest of some values.
type Spread struct{ Low, Median, High float64 }

func spread(values []float64) Spread {
	slices.Sort(values)
	return Spread{Low: values[0], Median: values[len(values)/2], High: values[len(values)-1]}
}

// startLimit limits the building and start of the deployment.
const startLimit = 2 * time.Minute

// Run builds the programs, starts a deployment and measures it at each rate.
func Run(ctx context.Context, o Options) error {
	d, err := sample.Named(o.Deployment)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "damask-capacity-")
	if err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := e2e.Build(dir); err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	s, err := e2e.Start(starting, e2e.Options{Deployment: d, Controls: o.Controls, Entries: o.Entries, Binaries: dir, Dir: dir})
	if err != nil {
		return err
	}
	defer s.Close()
	var rows []Row
	for _, rate := range o.Rates {
		at, err := measure(ctx, s, d, rate, o.Each)
		if err != nil {
			return err
		}
		rows = append(rows, at...)
	}
	if err := write(o.Out, rows); err != nil {
		return err
	}
	return timeChanges(ctx, s, o)
}

// measure gives the rows of one rate.
func measure(ctx context.Context, s *e2e.System, d *sample.Deployment, rate float64, each time.Duration) ([]Row, error) {
	before, err := s.Usages(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := run(ctx, s, d, rate, each); err != nil {
		return nil, err
	}
	after, err := s.Usages(ctx)
	if err != nil {
		return nil, err
	}
	took := time.Since(start)
	var rows []Row
	for _, role := range []string{"entry", "control"} {
		rows = append(rows, rowOf(role, rate, took, before, after))
	}
	return rows, nil
}

// run sends the load, or waits where the rate is 0.
func run(ctx context.Context, s *e2e.System, d *sample.Deployment, rate float64, each time.Duration) error {
	if rate == 0 {
		select {
		case <-time.After(each):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r, err := load.Run(ctx, load.Options{
		Entries: s.Targets(), Workspaces: d.Workspaces, Mix: d.Mix, RatePerSecond: rate, Duration: each,
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

func rowOf(role string, rate float64, took time.Duration, before, after []e2e.Usage) Row {
	row := Row{Role: role, Rate: rate, ByMethod: make(map[string]float64)}
	var cpu, rss, bytes []float64
	methods := make(map[string][]float64)
	for i := range after {
		if after[i].Role != role {
			continue
		}
		ticks := after[i].CPUTicks - before[i].CPUTicks
		// A tick is a hundredth of a second, so ticks over seconds is percent.
		cpu = append(cpu, float64(ticks)/took.Seconds())
		rss = append(rss, float64(after[i].RSSBytes))
		sum := 0.0
		for m, n := range after[i].CallBytes {
			perSecond := float64(n-before[i].CallBytes[m]) / took.Seconds()
			methods[m] = append(methods[m], perSecond)
			sum += perSecond
		}
		bytes = append(bytes, sum)
	}
	row.CPUPercent, row.RSSBytes, row.CallBytesPerSecond = spread(cpu), spread(rss), spread(bytes)
	for m, values := range methods {
		row.ByMethod[m] = spread(values).Median
	}
	return row
}

// write prints the rows as a table.
func write(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "role\trequests/s\tCPU % (low median high)\tRSS MB\tcall bytes/s\tby method")
	const mb = 1e6
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f %.1f %.1f\t%.1f %.1f %.1f\t%.0f %.0f %.0f\t%s\n", r.Role, r.Rate,
			r.CPUPercent.Low, r.CPUPercent.Median, r.CPUPercent.High,
			r.RSSBytes.Low/mb, r.RSSBytes.Median/mb, r.RSSBytes.High/mb,
			r.CallBytesPerSecond.Low, r.CallBytesPerSecond.Median, r.CallBytesPerSecond.High, methods(r.ByMethod))
	}
	return w.Flush()
}

// methods lists the methods that carry bytes, the largest first.
func methods(by map[string]float64) string {
	names := make([]string, 0, len(by))
	for m, n := range by {
		if n >= 1 {
			names = append(names, m)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(by[b] - by[a]) })
	parts := make([]string, 0, len(names))
	for _, m := range names {
		parts = append(parts, fmt.Sprintf("%s %.0f", m, by[m]))
	}
	return strings.Join(parts, ", ")
}
