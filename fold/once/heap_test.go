package once

import "runtime"

// liveHeapBytes returns the size of the heap in bytes after a garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
