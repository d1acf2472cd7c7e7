package command

import "runtime/debug"

// gcPercent lets the heap grow to five times the live data between two garbage
// collections. An entry has little live data, so the default would make
// collections frequent.
const gcPercent = 400

// limitMemory makes garbage collections less frequent while the process uses less
// than half of limit, in bytes. Zero keeps the runtime's defaults.
func limitMemory(limit int) {
	if limit == 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(limit / 2))
}

// limitAgentMemory makes the runtime collect garbage early enough to stay within half of limit,
// in bytes. Zero keeps the runtime's defaults.
func limitAgentMemory(limit int) {
	if limit != 0 {
		debug.SetMemoryLimit(int64(limit / 2))
	}
}
