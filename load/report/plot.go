package report

import (
	"image/color"
	"path/filepath"
	"slices"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 24 * vg.Centimeter
	plotHeight    = 13 * vg.Centimeter
	maxBarWidth   = 14.0 // points
	barWidthShare = 0.8  // share of the plot width that the bars take
	headroom      = 1.7  // factor on the highest bar; leaves space for the legend
)

var barColors = []color.Color{
	color.RGBA{R: 0x9a, G: 0x9a, B: 0x9a, A: 0xff},
	color.RGBA{R: 0x2f, G: 0x6f, B: 0xab, A: 0xff},
	color.RGBA{R: 0xe0, G: 0x8b, B: 0x2d, A: 0xff},
	color.RGBA{R: 0x5a, G: 0xa0, B: 0x4f, A: 0xff},
	color.RGBA{R: 0xb0, G: 0x4a, B: 0x4a, A: 0xff},
	color.RGBA{R: 0x7d, G: 0x5b, B: 0xa6, A: 0xff},
	color.RGBA{R: 0x4f, G: 0xa3, B: 0xa5, A: 0xff},
	color.RGBA{R: 0xc9, G: 0xa2, B: 0x27, A: 0xff},
}

// measure defines the value of a row that one plot shows.
type measure struct {
	file, title, unit string
	value             func(Row) float64
}

var measures = []measure{
	{"step_p50", "median step", "ms", func(r Row) float64 { return r.StepP50MS }},
	{"ideal_ratio", "median step over the ideal", "ratio", func(r Row) float64 { return r.IdealRatio }},
	{"idle", "trainer idle share", "share", func(r Row) float64 { return r.TrainerIdleShare }},
	{"staleness", "mean staleness", "versions", func(r Row) float64 { return r.StalenessMeanVersions }},
	{"app_p99", "application calls, p99", "ms", func(r Row) float64 { return r.AppP99MS }},
}

// Plots writes one SVG and one PNG file for each deployment and measure into
// dir: a group of bars for each scenario, with one bar for each policy that shows
// the mean over the seeds.
func Plots(dir string, rows []Row) error {
	for _, deployment := range distinct(rows, func(r Row) string { return r.Deployment }) {
		selected := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Deployment != deployment })
		for _, m := range measures {
			if err := m.plot(dir, deployment, selected); err != nil {
				return errors.Annotatef(err, "plot %s of %s", m.file, deployment)
			}
		}
	}
	return nil
}

func (m measure) plot(dir, deployment string, rows []Row) error {
	p := plot.New()
	p.Title.Text = deployment + ": " + m.title
	p.Y.Label.Text = m.unit
	p.Y.Min = 0
	p.Legend.Top = true
	scenarios := distinct(rows, func(r Row) string { return r.Scenario })
	policies := distinct(rows, func(r Row) string { return r.Policy })
	barWidth := min(maxBarWidth, barWidthShare*plotWidth.Points()/float64(len(scenarios)*len(policies)))
	highest := 0.0
	for i, policy := range policies {
		values := make(plotter.Values, len(scenarios))
		for k, scenario := range scenarios {
			values[k] = m.mean(rows, scenario, policy)
			highest = max(highest, values[k])
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Trace(err)
		}
		bars.LineStyle.Width = 0
		bars.Color = barColors[i%len(barColors)]
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(scenarios...)
	p.X.Min, p.X.Max = -0.5, float64(len(scenarios))-0.5
	p.Y.Max = max(1e-9, headroom*highest) // an empty range cannot be drawn
	for _, suffix := range []string{".svg", ".png"} {
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, deployment+"-"+m.file+suffix)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// mean returns the mean of the measure over the seeds, 0 if there is no such row.
func (m measure) mean(rows []Row, scenario, policy string) float64 {
	sum, n := 0.0, 0
	for _, r := range rows {
		if r.Scenario == scenario && r.Policy == policy {
			sum += m.value(r)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// distinct returns the values of key in the order of their first occurrence.
func distinct(rows []Row, key func(Row) string) []string {
	var list []string
	for _, r := range rows {
		if k := key(r); !slices.Contains(list, k) {
			list = append(list, k)
		}
	}
	return list
}
