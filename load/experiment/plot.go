package experiment

import (
	"fmt"
	"io"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

// Size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// curve is the attainment of one baseline by rate.
type curve struct {
	plotter.XYs
	plotter.YErrors
}

// WriteSVG plots attainment against load: the median of each baseline at each
// rate, with bars from the lowest to the highest run. Rows with an error are
// left out.
func WriteSVG(w io.Writer, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Attainment against load"
	p.X.Label.Text = "requests/s"
	p.Y.Label.Text = "attainment"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	names, curves := curvesOf(rows)
	for i, name := range names {
		if err := addCurve(p, i, name, curves[name]); err != nil {
			return fmt.Errorf("experiment: plot: %w", err)
		}
	}
	// The curves begin at the top left and end at the right.
	p.Legend.Left = true
	image, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("experiment: plot: %w", err)
	}
	if _, err := image.WriteTo(w); err != nil {
		return fmt.Errorf("experiment: plot: %w", err)
	}
	return nil
}

func addCurve(p *plot.Plot, i int, name string, c *curve) error {
	line, points, err := plotter.NewLinePoints(c.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(c)
	if err != nil {
		return err
	}
	line.Color, points.Color, bars.Color = plotutil.Color(i), plotutil.Color(i), plotutil.Color(i)
	points.Shape = plotutil.Shape(i)
	p.Add(line, points, bars)
	p.Legend.Add(name, line, points)
	return nil
}

// curvesOf groups rows by baseline and rate.
func curvesOf(rows []Row) ([]string, map[string]*curve) {
	values := map[string]map[float64][]float64{}
	for _, r := range rows {
		if r.Error != "" {
			continue
		}
		if values[r.Baseline] == nil {
			values[r.Baseline] = map[float64][]float64{}
		}
		values[r.Baseline][r.RatePerSecond] = append(values[r.Baseline][r.RatePerSecond], r.Attainment)
	}
	var names []string
	curves := map[string]*curve{}
	for name, byRate := range values {
		names = append(names, name)
		curves[name] = curveOf(byRate)
	}
	sort.Strings(names)
	return names, curves
}

func curveOf(byRate map[float64][]float64) *curve {
	rates := make([]float64, 0, len(byRate))
	for rate := range byRate {
		rates = append(rates, rate)
	}
	sort.Float64s(rates)
	c := &curve{}
	for _, rate := range rates {
		median, least, most := spread(byRate[rate])
		c.XYs = append(c.XYs, plotter.XY{X: rate, Y: median})
		c.YErrors = append(c.YErrors, struct{ Low, High float64 }{median - least, most - median})
	}
	return c
}
