package logscan

import (
	"image/color"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Second is what happened in one second.
type Second struct {
	At      time.Time `json:"at"`
	Waiting int       `json:"waiting"` // the most samples that waited for a place
	Running int       `json:"running"` // samples that ran at its end
	Refused int       `json:"refused"`
	Lost    int       `json:"lost"`   // failed or late
	OwnerChanges  int       `json:"owners"` // batch jobs that got another owner
	WithoutLog    int       `json:"away"`   // the most processes that could not follow the log
}

// secondsMost bounds the timeline: two days.
const secondsMost = 2 * 24 * 60 * 60

// Timeline is the seconds of the logs, from the first line to the last.
type Timeline struct {
	Seconds []Second
	run     int
	lost    int // processes that can't follow the log
}

// at returns the second of a time. Lines come in the order of time; those of before
// the first or far behind it count for the end that is nearer.
func (t *Timeline) at(at time.Time) *Second {
	at = at.Truncate(time.Second)
	if len(t.Seconds) == 0 {
		t.Seconds = append(t.Seconds, Second{At: at})
	}
	last := &t.Seconds[len(t.Seconds)-1]
	for last.At.Before(at) && len(t.Seconds) < secondsMost {
		t.Seconds = append(t.Seconds, Second{At: last.At.Add(time.Second), Running: t.run, WithoutLog: t.lost})
		last = &t.Seconds[len(t.Seconds)-1]
	}
	return last
}

func (t *Timeline) waiting(at time.Time, n int) {
	s := t.at(at)
	s.Waiting = max(s.Waiting, n)
}

func (t *Timeline) running(at time.Time, change int) {
	t.run += change
	t.at(at).Running = t.run
}

func (t *Timeline) owner(at time.Time) { t.at(at).OwnerChanges++ }

func (t *Timeline) away(at time.Time, n int) {
	t.lost = n
	s := t.at(at)
	s.WithoutLog = max(s.WithoutLog, n)
}

func (t *Timeline) lose(at time.Time, fate Outcome) {
	if fate == OutcomeRefused {
		t.at(at).Refused++
		return
	}
	t.at(at).Lost++
}

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// curves are the lines of the plot.
var curves = []struct {
	name  string
	color color.Color
	of    func(Second) int
}{
	{"waiting", color.RGBA{R: 0x9a, G: 0x9a, B: 0x9a, A: 0xff}, func(s Second) int { return s.Waiting }},
	{"running", color.RGBA{R: 0x2f, G: 0x6f, B: 0xab, A: 0xff}, func(s Second) int { return s.Running }},
	{"refused", color.RGBA{R: 0xe0, G: 0x8b, B: 0x2d, A: 0xff}, func(s Second) int { return s.Refused }},
	{"lost", color.RGBA{R: 0xb0, G: 0x4a, B: 0x4a, A: 0xff}, func(s Second) int { return s.Lost }},
	{"new owners", color.RGBA{R: 0x7d, G: 0x5b, B: 0xa6, A: 0xff}, func(s Second) int { return s.OwnerChanges }},
	{"processes without the log", color.RGBA{R: 0x00, G: 0x00, B: 0x00, A: 0xff}, func(s Second) int { return s.WithoutLog }},
}

// Plot writes the timeline as an image; the file's ending says which kind.
func (t *Timeline) Plot(file string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	for _, c := range curves {
		points := make(plotter.XYs, len(t.Seconds))
		for i, s := range t.Seconds {
			points[i] = plotter.XY{X: s.At.Sub(t.Seconds[0].At).Seconds(), Y: float64(c.of(s))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = c.color
		line.StepStyle = plotter.PostStep
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	p.Y.Max = max(1, p.Y.Max) // an empty range can't be drawn
	return errors.Annotate(p.Save(plotWidth, plotHeight, file), file)
}
