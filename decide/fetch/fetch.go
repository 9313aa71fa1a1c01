// Package fetch decides how much data a process requests with one read of a log whose
// bandwidth all processes share. It is designed for a fleet that restarts after a power
// loss, where every process reads the same history at the same time. The package has no
// clock and does no I/O.
//
// With large reads, the processes would request more at once than the log can deliver
// before their deadlines. Each read would time out, its data would be discarded after
// the log has spent bandwidth on it, and all processes would retry, so that few of them
// ever reach the end of the history.
package fetch

import "time"

// Sizes of reads, in KB.
const (
	// initialKB is the size of a process's first read. With it, some hundred processes
	// that start at the same time request a fraction of the log's bandwidth for a
	// second, and a single process reaches the largest size within four answers.
	initialKB = 64
	// minKB limits the number of calls for a long history, because the log limits calls
	// too.
	minKB = 32
	// maxKB is the largest answer that the log gives.
	maxKB = 1024
)

const (
	// QuickAnswer is the longest duration of an answer after which the next read is
	// twice as large. A log that takes a quarter of a second for any answer, however
	// small, is read in large pieces, because small ones would not arrive sooner.
	QuickAnswer = 300 * time.Millisecond
	// SlowAnswer is the duration of an answer above which the next read is half as
	// large. It is well below the timeout of a read.
	SlowAnswer = 600 * time.Millisecond
)

// Window is the size of a process's next read. The zero value is ready to use. It is
// not safe for concurrent use.
type Window struct {
	kb int // 0 if nothing was read yet
}

// KB returns how many KB the next read should request.
func (w *Window) KB() int {
	if w.kb == 0 {
		return initialKB
	}
	return w.kb
}

// RecordAnswer records that a read of asked KB returned got bytes after took. An answer
// that is not full carries no information: the read may have waited for its first
// record, and a larger one would have returned no more.
func (w *Window) RecordAnswer(asked, got int, took time.Duration) {
	switch {
	case got < minFullBytesPerKB*asked:
	case took > SlowAnswer:
		w.shrink(asked)
	case took <= QuickAnswer:
		w.kb = min(maxKB, max(w.KB(), 2*asked))
	}
}

// minFullBytesPerKB is the number of bytes per requested KB from which an answer counts
// as full. Records are not split, so the next record may not have fitted.
const minFullBytesPerKB = 512

// RecordTimeout records that a read of asked KB was cancelled before its answer was
// complete.
func (w *Window) RecordTimeout(asked int) { w.shrink(asked) }

// LargerKB returns how many KB to request after a read of asked KB returned nothing
// although there are records, which means that the next record is larger than asked. It
// returns 0 if a record of this size cannot be read.
func LargerKB(asked int) int {
	if asked >= maxKB {
		return 0
	}
	return min(maxKB, 2*asked)
}

// shrink halves the size that was too large. Concurrent reads are answered one after
// the other with the same outcome, so they count only once.
func (w *Window) shrink(asked int) {
	w.kb = max(minKB, min(w.KB(), asked/2))
}
