package run

import "runtime/debug"

const (
	// gcPercent is the heap growth between two garbage collections, in percent, that budget.ForVM reckons with. Memory is the
	// scarcer resource of a process that uses it.
	gcPercent = 25
	// heapPart is the part of a process's memory beyond which the garbage collector runs more often. The rest is for the
	// program's text and what the runtime does not count.
	heapPart = 0.7
)

// SaveMemory makes the garbage collector trade processor time for memory.
func SaveMemory() { debug.SetGCPercent(gcPercent) }

// LimitMemory makes the garbage collector trade processor time for memory, the more the closer the process is to memoryMB; 0: not
// told.
func LimitMemory(memoryMB float64) {
	if memoryMB > 0 {
		SaveMemory()
		debug.SetMemoryLimit(int64(heapPart * memoryMB * 1e6))
	}
}
