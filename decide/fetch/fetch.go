// Package fetch decides how much a process asks for with one read of a log whose
// bandwidth all processes share. It answers the load of a fleet that starts again
// after it has lost power: every process reads the same past at one moment. The
// package has no clock and does no I/O.
//
// With large reads they ask for more at once than the log gives before their deadlines.
// Each read is then given up, what it would have brought is thrown away after the log
// has spent its bandwidth on it, and all of them ask again, so that few ever read the
// past to its end.
package fetch

import "time"

// Sizes of reads, in KB.
const (
	// first is the size of a process's first read. Some hundred processes that start
	// at one moment ask for a fraction of a second's bandwidth with it, and a process
	// alone reaches the largest size within four answers.
	initialKB = 64
	// least keeps the number of calls for a long past small: the log bounds calls too.
	minKB = 32
	// most is the largest answer that the log gives.
	maxKB = 1024
)

const (
	// Quick is how long an answer may take for the next read to be twice as large. A
	// log that takes a quarter of a second for any answer, however small, is read in
	// large pieces, since small ones would not bring them sooner.
	QuickAnswer = 300 * time.Millisecond
	// Slow is from when on the next read is half as large: well before any read is
	// given up.
	SlowAnswer = 600 * time.Millisecond
)

// Window is the size of a process's next read. Its zero value is ready. It is not safe
// for concurrent use.
type Window struct {
	kb int // 0: nothing was read yet
}

// KB returns how many KB the next read should ask for.
func (w *Window) KB() int {
	if w.kb == 0 {
		return initialKB
	}
	return w.kb
}

// Answered notes that a read of asked KB brought got bytes after it had taken some
// time. An answer that is not full says nothing: the read may have waited for its
// first record, and a larger one would have brought no more.
func (w *Window) RecordAnswer(asked, got int, took time.Duration) {
	switch {
	case got < minFullBytesPerKB*asked:
	case took > SlowAnswer:
		w.shrink(asked)
	case took <= QuickAnswer:
		w.kb = min(maxKB, max(w.KB(), 2*asked))
	}
}

// fullShare is the bytes of each KB asked for from which on an answer counts as full:
// records are not cut, so that the last one may not have fitted.
const minFullBytesPerKB = 512

// CutOff notes that a read of asked KB was given up before its answer was whole.
func (w *Window) RecordTimeout(asked int) { w.shrink(asked) }

// Larger returns how many KB to ask for where a read of asked KB brought nothing
// although there are records: the next one is larger than that. 0: a record of this
// size can't be read.
func LargerKB(asked int) int {
	if asked >= maxKB {
		return 0
	}
	return min(maxKB, 2*asked)
}

// shrink halves the size that was too large. Reads that ran side by side are answered
// one after the other and tell the same thing, once.
func (w *Window) shrink(asked int) {
	w.kb = max(minKB, min(w.KB(), asked/2))
}
