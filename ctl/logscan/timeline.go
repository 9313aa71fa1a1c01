package logscan

import (
	"image/color"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Second holds the counts of one second.
type Second struct {
	At           time.Time `json:"at"`
	Waiting      int       `json:"waiting"` // maximum number of samples that waited for a slot
	Running      int       `json:"running"` // samples that ran at the end of the second
	Refused      int       `json:"refused"`
	Lost         int       `json:"lost"`   // failed or late
	OwnerChanges int       `json:"owners"` // batch jobs whose owner changed
	WithoutLog   int       `json:"away"`   // maximum number of processes that could not read the log
}

// maxSeconds is the maximum length of the timeline: two days.
const maxSeconds = 2 * 24 * 60 * 60

// Timeline holds the seconds of the logs, from the first line to the last.
type Timeline struct {
	Seconds        []Second
	runningSamples int
	withoutLog     int // processes that can't read the log
}

// second returns the second of a time and adds the seconds up to it. Lines come in the
// order of time, so it returns the last second for an earlier time; likewise for a time
// beyond maxSeconds.
func (t *Timeline) second(at time.Time) *Second {
	at = at.Truncate(time.Second)
	if len(t.Seconds) == 0 {
		t.Seconds = append(t.Seconds, Second{At: at})
	}
	last := &t.Seconds[len(t.Seconds)-1]
	for last.At.Before(at) && len(t.Seconds) < maxSeconds {
		t.Seconds = append(t.Seconds, Second{At: last.At.Add(time.Second), Running: t.runningSamples, WithoutLog: t.withoutLog})
		last = &t.Seconds[len(t.Seconds)-1]
	}
	return last
}

func (t *Timeline) addWaiting(at time.Time, n int) {
	s := t.second(at)
	s.Waiting = max(s.Waiting, n)
}

func (t *Timeline) addRunning(at time.Time, change int) {
	t.runningSamples += change
	t.second(at).Running = t.runningSamples
}

func (t *Timeline) addOwnerChange(at time.Time) { t.second(at).OwnerChanges++ }

func (t *Timeline) setWithoutLog(at time.Time, n int) {
	t.withoutLog = n
	s := t.second(at)
	s.WithoutLog = max(s.WithoutLog, n)
}

func (t *Timeline) addLoss(at time.Time, outcome Outcome) {
	if outcome == OutcomeRefused {
		t.second(at).Refused++
		return
	}
	t.second(at).Lost++
}

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// curves defines the lines of the plot.
var curves = []struct {
	name  string
	color color.Color
	value func(Second) int
}{
	{"waiting", color.RGBA{R: 0x9a, G: 0x9a, B: 0x9a, A: 0xff}, func(s Second) int { return s.Waiting }},
	{"running", color.RGBA{R: 0x2f, G: 0x6f, B: 0xab, A: 0xff}, func(s Second) int { return s.Running }},
	{"refused", color.RGBA{R: 0xe0, G: 0x8b, B: 0x2d, A: 0xff}, func(s Second) int { return s.Refused }},
	{"lost", color.RGBA{R: 0xb0, G: 0x4a, B: 0x4a, A: 0xff}, func(s Second) int { return s.Lost }},
	{"new owners", color.RGBA{R: 0x7d, G: 0x5b, B: 0xa6, A: 0xff}, func(s Second) int { return s.OwnerChanges }},
	{"processes without the log", color.RGBA{R: 0x00, G: 0x00, B: 0x00, A: 0xff}, func(s Second) int { return s.WithoutLog }},
}

// Plot writes the timeline to an image file, whose format follows from the file name's
// extension.
func (t *Timeline) Plot(file string) error {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	for _, c := range curves {
		points := make(plotter.XYs, len(t.Seconds))
		for i, s := range t.Seconds {
			points[i] = plotter.XY{X: s.At.Sub(t.Seconds[0].At).Seconds(), Y: float64(c.value(s))}
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
	p.Y.Max = max(1, p.Y.Max) // the plot library can't draw an empty range
	return errors.Annotate(p.Save(plotWidth, plotHeight, file), file)
}
