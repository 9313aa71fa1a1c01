package jobs

import (
	"time"

	"dandelionsill.org/decide/place"
	"dandelionsill.org/fold/jobs"
)

// defaultDue is how long until results are due if the job's route does not set it: long enough
// to put no pressure on the job.
const defaultDue = time.Hour

// observeLength records the length of a complete text; r.mu is held.
func (r *Runner) observeLength(a *activeItem) {
	lengths := r.lengths[a.model()]
	if lengths == nil {
		lengths = &place.LengthEstimator{}
		r.lengths[a.model()] = lengths
	}
	lengths.Observe(float64(a.size.ExpectedOutput), float64(len(a.events)))
}

// estimateEvents returns the estimated number of events of an item's text. It returns false if
// too few texts of its model are known: the number is then the hint, in tokens, which can only
// be compared with other hints.
func (r *Runner) estimateEvents(a *activeItem) (float64, bool) {
	hint := float64(a.size.ExpectedOutput)
	if lengths := r.lengths[a.model()]; lengths != nil {
		if events, known := lengths.Estimate(hint); known {
			return events, true
		}
	}
	return hint, false
}

// remainingEvents estimates how many events of an item are still to be generated; 0 for a complete
// text. An item that is being scored, or whose result is being appended, still belongs to an
// incomplete group.
func (r *Runner) remainingEvents(a *activeItem) float64 {
	if a.complete || a.phase == ended {
		return 0
	}
	estimate, _ := r.estimateEvents(a)
	return place.Remaining(estimate, float64(len(a.events)))
}

// rankSamples ranks the samples of a service by which of them can be completed in time. Until
// lengths, slots and rates are known, older jobs go first.
func (r *Runner) rankSamples(active []*activeItem, samples []place.Sample, engines []place.Engine, now time.Time) {
	own := ownLoad(active)
	capacity := place.CapacityOf(engines, own)
	if capacity.FreeSlots == 0 || capacity.Rate == 0 {
		return
	}
	var steps []place.Step
	stepOf := map[string]int{}
	for i, a := range active {
		if _, known := r.estimateEvents(a); !known {
			return
		}
		step, known := stepOf[a.job.ID]
		if !known {
			step = len(steps)
			stepOf[a.job.ID] = step
			s := r.describeStep(a.job, now)
			s.Model = a.model()
			s.Rate = capacity.RateFor(engines, own, s.Model, a.job.MinVersion)
			steps = append(steps, s)
		}
		samples[i].Step, samples[i].Due = step, steps[step].Due
		samples[i].Group, samples[i].Required = groupOf(a)
	}
	place.Order(steps, samples, capacity)
}

// ownLoad counts the running items at each engine.
func ownLoad(active []*activeItem) map[string]int {
	load := map[string]int{}
	for _, a := range active {
		if a.phase == running {
			load[a.server]++
		}
	}
	return load
}

func (r *Runner) describeStep(j *jobs.Job, now time.Time) place.Step {
	due := defaultDue
	if route := r.routeAt(j.Host, j.Path); route != nil && route.Due > 0 {
		due = route.Due
	}
	r.index.mu.Lock()
	defer r.index.mu.Unlock()
	return place.Step{AgeRank: ageRank(j), Due: (due - r.index.age(j, now)).Seconds(), Need: j.Need()}
}

// groupOf returns the group to which an item counts, and whether the job's trainer requires
// that group because it submitted it again. An item without a group counts as a group of its own.
func groupOf(a *activeItem) (name string, required bool) {
	if a.item.Group == "" || a.job.Groups == 0 {
		return a.item.ID, false
	}
	return a.item.Group, a.job.IsResubmitted(a.item.Group)
}
