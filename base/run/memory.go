package run

import "runtime/debug"

const (
	// gcPercent is the heap growth between two garbage collections, in percent, that budget.ForVM reckons with. Memory is the
	// scarcer resource of a process that uses it.
	gcPercent = 25
	// heapPart is the part of a process's memory beyond which the garbage collector runs more often. The rest is for what the
	// runtime does not count.
	heapPart = 0.7
	// leastUncounted is the least that is left for what the runtime does not count, in bytes: the program's text, and what the
	// kernel holds of connections. On a small VM it is more than the rest.
	leastUncounted = 28e6
	// leastHeapPart is the part of the smallest VMs.
	leastHeapPart = 0.3
)

// SaveMemory makes the garbage collector trade processor time for memory.
func SaveMemory() { debug.SetGCPercent(gcPercent) }

// LimitMemory makes the garbage collector trade processor time for memory, the more the closer the process is to memoryMB; 0: not
// told.
func LimitMemory(memoryMB float64) {
	if memoryMB > 0 {
		SaveMemory()
		debug.SetMemoryLimit(heapLimit(memoryMB * 1e6))
	}
}

// heapLimit returns the limit of the heap in a memory, both in bytes.
func heapLimit(memory float64) int64 {
	return int64(min(heapPart*memory, max(leastHeapPart*memory, memory-leastUncounted)))
}
