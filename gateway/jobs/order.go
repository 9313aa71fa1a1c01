package jobs

import (
	"time"

	"dandelionsill.org/decide/place"
	"dandelionsill.org/fold/jobs"
)

// noDue is how long until results are due where the job's route does not tell: any
// time is good.
const noDue = time.Hour

// learnLength notes the length of a whole text; r.mu is held.
func (r *Runner) learnLength(w *work) {
	lengths := r.lengths[w.model()]
	if lengths == nil {
		lengths = &place.Lengths{}
		r.lengths[w.model()] = lengths
	}
	lengths.Learn(float64(w.size.Expected), float64(len(w.events)))
}

// guess returns the likely events of an item's text; false: too few of its model
// are known, and the hint, in tokens, only tells the longer of two.
func (r *Runner) guess(w *work) (float64, bool) {
	hint := float64(w.size.Expected)
	if lengths := r.lengths[w.model()]; lengths != nil {
		if events, known := lengths.Guess(hint); known {
			return events, true
		}
	}
	return hint, false
}

// left guesses the events of an item that are still to be made. One that is scored,
// or whose result is on its way, still belongs to a group that is not whole.
func (r *Runner) left(w *work) float64 {
	if w.whole || w.phase == ended {
		return 0
	}
	guess, _ := r.guess(w)
	return place.Left(guess, float64(len(w.events)))
}

// order ranks the samples of a service by what can be made in time, where it is
// known what that is. Until then older jobs go first.
func (r *Runner) order(works []*work, samples []place.Sample, engines []place.Engine, now time.Time) {
	own := ownLoad(works)
	room := place.RoomOf(engines, own)
	if room.Free == 0 || room.Rate == 0 {
		return
	}
	var steps []place.Step
	at := map[string]int{}
	for i, w := range works {
		if _, known := r.guess(w); !known {
			return
		}
		step, known := at[w.job.ID]
		if !known {
			step = len(steps)
			at[w.job.ID] = step
			s := r.step(w.job, now)
			s.Model = w.model()
			s.Rate = room.RateFor(engines, own, s.Model, w.job.MinVersion)
			steps = append(steps, s)
		}
		samples[i].Step, samples[i].Due = step, steps[step].Due
		samples[i].Group, samples[i].Must = groupOf(w)
	}
	place.Order(steps, samples, room)
}

// ownLoad counts the items that run at each engine.
func ownLoad(works []*work) map[string]int {
	load := map[string]int{}
	for _, w := range works {
		if w.phase == running {
			load[w.server]++
		}
	}
	return load
}

func (r *Runner) step(j *jobs.Job, now time.Time) place.Step {
	due := noDue
	if route := r.routeOf(j); route != nil && route.Due > 0 {
		due = route.Due
	}
	r.book.mu.Lock()
	defer r.book.mu.Unlock()
	return place.Step{Turn: turn(j), Due: (due - r.book.age(j, now)).Seconds(), Need: j.Need()}
}

// groupOf names the group with which an item counts; one without counts by itself.
func groupOf(w *work) (name string, again bool) {
	if w.item.Group == "" || w.job.Groups == 0 {
		return w.item.ID, false
	}
	return w.item.Group, w.job.Again(w.item.Group)
}
