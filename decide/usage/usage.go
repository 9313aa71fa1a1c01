// Package usage decides what is reported of the requests of organisations: which window
// of time a request counts in, when a window's counts are whole, and their sum. It is
// pure.
package usage

import (
	"time"
)

// Window is a span of the time of day, by its number since 1970.
type Window uint64

// WindowAt returns the window of a time of day; length is that of all windows.
func WindowAt(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// End returns when a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts are requests by organisation.
type Counts map[string]uint64

// Tally is what one process has counted in all of its life.
type Tally struct {
	// Process names one start of a process.
	Process string `json:"p"`
	// Complete is the newest window of which it has counted all requests.
	Complete Window `json:"c"`
	// Ended: it has ended, and counts no more.
	Ended   bool              `json:"x,omitempty"`
	Windows map[Window]Counts `json:"w,omitempty"`
}

// WaitLimits says how long a window waits for the tallies of processes, after its end.
type WaitLimits struct {
	// Min is waited for processes that nobody knows of yet.
	Min time.Duration
	// Max is waited for processes that have gone silent: a report that waits longer is
	// late.
	Max time.Duration
	// AfterOutage is how long after an outage of the store it takes all processes to publish
	// what they counted meanwhile.
	AfterOutage time.Duration
}

// Age is how long ago things were.
type Age struct {
	SinceEnd    time.Duration // the window's end
	SinceOutage time.Duration // the last outage of the store
}

// Ready tells whether the counts of a window can be summed up. done is the window that
// was summed up last.
func Ready(w, lastSummed Window, tallies []Tally, age Age, limits WaitLimits) bool {
	if age.SinceEnd < limits.Min {
		return false
	}
	reported, pending := false, false
	for i := range tallies {
		reported = reported || tallies[i].Complete >= w
		pending = pending || tallies[i].isAwaited(w, lastSummed)
	}
	if pending {
		return age.SinceEnd >= limits.Max && age.SinceOutage >= limits.AfterOutage
	}
	return reported || age.SinceOutage >= limits.AfterOutage
}

// isAwaited tells whether a process has more to publish of a window: one that was heard of by
// the time that the last one was summed up.
func (tally *Tally) isAwaited(w, lastSummed Window) bool {
	return !tally.Ended && tally.Complete < w && tally.Complete+1 >= lastSummed
}

// Merge brings the tallies of each process together. Counts only grow, so that of two
// tallies the larger numbers are the newer ones, in whichever order the tallies came.
func Merge(tallies []Tally) []Tally {
	byProcess := map[string]*Tally{}
	for i := range tallies {
		tally := &tallies[i]
		merged := byProcess[tally.Process]
		if merged == nil {
			merged = &Tally{Process: tally.Process, Windows: map[Window]Counts{}}
			byProcess[tally.Process] = merged
		}
		merged.Complete = max(merged.Complete, tally.Complete)
		merged.Ended = merged.Ended || tally.Ended
		for w, counts := range tally.Windows {
			merged.mergeCounts(w, counts)
		}
	}
	merged := make([]Tally, 0, len(byProcess))
	for _, tally := range byProcess {
		merged = append(merged, *tally)
	}
	return merged
}

func (tally *Tally) mergeCounts(w Window, counts Counts) {
	if tally.Windows[w] == nil {
		tally.Windows[w] = Counts{}
	}
	for organisation, n := range counts {
		tally.Windows[w][organisation] = max(tally.Windows[w][organisation], n)
	}
}

// Sum adds up the counts of a window.
func Sum(w Window, tallies []Tally) Counts {
	total := Counts{}
	for i := range tallies {
		for organisation, n := range tallies[i].Windows[w] {
			total[organisation] += n
		}
	}
	return total
}

// Stale tells whether a process has published nothing of the windows from w on, so that
// its tally is of no more use.
func (tally *Tally) Stale(w Window) bool {
	for window := range tally.Windows {
		if window >= w {
			return false
		}
	}
	return tally.Complete < w
}
