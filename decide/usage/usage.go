// Package usage decides how the requests of organisations are reported: which window of time
// a request counts in, when the counts of a window are complete, and their sum. It does no
// I/O and reads no clock.
package usage

import (
	"time"
)

// Window identifies a window of time by its number since the Unix epoch (1970). All windows
// have the same length.
type Window uint64

// WindowAt returns the window that contains t; length is the length of all windows.
func WindowAt(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// End returns the end of a window, which is also the start of the next one.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts are the numbers of requests by organisation.
type Counts map[string]uint64

// Tally holds what one process has counted since it started.
type Tally struct {
	// Process identifies one incarnation of a process.
	Process string `json:"p"`
	// Complete is the newest window for which the process has counted all requests.
	Complete Window `json:"c"`
	// Ended is set once the process has stopped counting.
	Ended   bool              `json:"x,omitempty"`
	Windows map[Window]Counts `json:"w,omitempty"`
}

// WaitLimits holds how long after its end a window waits for the tallies of processes.
type WaitLimits struct {
	// Min is the wait for processes that have not published any tally yet.
	Min time.Duration
	// Max is the wait for processes that no longer publish: a report that waits longer is
	// late.
	Max time.Duration
	// AfterOutage is the time after an outage of the store within which all processes
	// publish what they counted during the outage.
	AfterOutage time.Duration
}

// Age holds the times that have passed since the events that Ready depends on.
type Age struct {
	SinceEnd    time.Duration // the window's end
	SinceOutage time.Duration // the last outage of the store
}

// Ready reports whether the counts of a window can be summed up. lastSummed is the window
// that was summed up last.
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

// isAwaited reports whether a process is expected to publish more counts of a window. One
// that is more than one window behind lastSummed is taken to have stopped publishing.
func (tally *Tally) isAwaited(w, lastSummed Window) bool {
	return !tally.Ended && tally.Complete < w && tally.Complete+1 >= lastSummed
}

// Merge merges the tallies of each process into one. Counts only increase, so that of two
// tallies the larger numbers are the newer ones, in whichever order the tallies were read.
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
	result := make([]Tally, 0, len(byProcess))
	for _, tally := range byProcess {
		result = append(result, *tally)
	}
	return result
}

// mergeCounts merges counts of a window into the tally.
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

// Stale reports whether a tally contains nothing about window w and later windows, so that
// it is no longer needed.
func (tally *Tally) Stale(w Window) bool {
	for window := range tally.Windows {
		if window >= w {
			return false
		}
	}
	return tally.Complete < w
}
