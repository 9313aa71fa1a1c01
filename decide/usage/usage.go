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
	// Process names one start of a process.
	Process string `json:"p"`
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
	// Return is how long after an outage of the store it takes all processes to say what
	// they counted meanwhile.
	Return time.Duration
}

// Age is how long ago things were.
type Age struct {
	Ended    time.Duration // the window's end
	Followed time.Duration // the last outage of the store
}

// Whole tells whether the counts of a window can be summed up. done is the window that
// was summed up last.
func Whole(w, done Window, words []Word, age Age, p Patience) bool {
	if age.Ended < p.Least {
		return false
	}
	if age.Ended >= p.Most && age.Followed >= p.Return {
		return true
	}
	for i := range words {
		if words[i].awaited(w, done) {
			return false
		}
	}
	return true
}

// awaited tells whether a process has more to say of a window: one that was heard of by
// the time that the last one was summed up.
func (word *Word) awaited(w, done Window) bool {
	return !word.Left && word.Complete < w && word.Complete+1 >= done
}

// Merge brings the words of each process together. Counts only grow, so that of two
// words the larger numbers are the newer ones, in whichever order the words came.
func Merge(words []Word) []Word {
	byProcess := map[string]*Word{}
	for i := range words {
		word := &words[i]
		merged := byProcess[word.Process]
		if merged == nil {
			merged = &Word{Process: word.Process, Windows: map[Window]Counts{}}
			byProcess[word.Process] = merged
		}
		merged.Complete = max(merged.Complete, word.Complete)
		merged.Left = merged.Left || word.Left
		for w, counts := range word.Windows {
			merged.take(w, counts)
		}
	}
	out := make([]Word, 0, len(byProcess))
	for _, word := range byProcess {
		out = append(out, *word)
	}
	return out
}

func (word *Word) take(w Window, counts Counts) {
	if word.Windows[w] == nil {
		word.Windows[w] = Counts{}
	}
	for organisation, n := range counts {
		word.Windows[w][organisation] = max(word.Windows[w][organisation], n)
	}
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

// First returns the first window in which a request was counted, at most w.
func First(words []Word, w Window) Window {
	for i := range words {
		for counted := range words[i].Windows {
			w = min(w, counted)
		}
	}
	return w
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
