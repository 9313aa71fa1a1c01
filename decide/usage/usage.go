// Package usage decides what is reported of the requests of organisations: which window
// of time a request counts in, when a window's counts are whole, and their sum. It is
// pure.
package usage

import (
	"time"
)

// Window is a span of the time of day, by its number since 1970.
type Window uint64

// At returns the window of a time of day; length is that of all windows.
func At(t time.Time, length time.Duration) Window { return Window(t.UnixNano() / int64(length)) }

// End returns when a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts are requests by organisation.
type Counts map[string]uint64

// Word is what one process says of the requests that it has counted, all of its life.
type Word struct {
	// Complete is the newest window of which it has counted all requests.
	Complete Window `json:"c"`
	// Left: it has ended, and counts no more.
	Left    bool              `json:"x,omitempty"`
	Windows map[Window]Counts `json:"w,omitempty"`
}

// Patience says how long a window waits for the words of processes, after its end.
type Patience struct {
	// Least is waited for processes that nobody knows of yet.
	Least time.Duration
	// Most is waited for processes that have gone silent: a report that waits longer is
	// late.
	Most time.Duration
}

// heardWindows is how many windows back a process must have been complete to be waited
// for.
const heardWindows = 2

// Whole tells whether the counts of a window that ended some time ago can be summed up.
func Whole(w Window, words []Word, ended time.Duration, p Patience) bool {
	if ended < p.Least {
		return false
	}
	if ended >= p.Most {
		return true
	}
	for i := range words {
		if words[i].awaited(w) {
			return false
		}
	}
	return true
}

// awaited tells whether a process that lately counted has more to say of a window.
func (word *Word) awaited(w Window) bool {
	return !word.Left && word.Complete < w && word.Complete+heardWindows >= w
}

// Sum adds up the counts of a window.
func Sum(w Window, words []Word) Counts {
	total := Counts{}
	for i := range words {
		for organisation, n := range words[i].Windows[w] {
			total[organisation] += n
		}
	}
	return total
}

// Silent tells whether a process has said nothing of the windows from w on, so that its
// word is of no more use.
func (word *Word) Silent(w Window) bool {
	for counted := range word.Windows {
		if counted >= w {
			return false
		}
	}
	return word.Complete < w
}
