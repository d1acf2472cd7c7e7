package command

import "runtime/debug"

// garbagePercent lets the heap grow to five times the live data between two
// collections. An entry's live data is small, so that collections would otherwise
// follow each other closely.
const garbagePercent = 400

// limitMemory makes a process collect garbage less often, as long as it uses less
// than half of the given memory, in bytes. Zero leaves the runtime's defaults.
func limitMemory(limit int) {
	if limit == 0 {
		return
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(limit / 2))
}
