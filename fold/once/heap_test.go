package once

import "runtime"

// liveHeapBytes is the live liveHeapBytes in bytes after a collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
