package verdict

// WorkerHealth says how an entry uses a worker.
type WorkerHealth uint8

const (
	// Failing means that the worker fails more of its work than its peers. It gets trial
	// tasks only.
	Failing WorkerHealth = iota + 1
	// Slow means that tasks take much longer at the worker than elsewhere. It gets trial
	// tasks only.
	Slow
	// Stalled means that the worker's tasks make no progress, according to its agent. It gets
	// trial tasks only.
	Stalled
	// Sound means that the worker is used like the others again.
	Sound

	healthEnd
)

var healthNames = [healthEnd]string{"unspecified", "failing", "slow", "stalled", "sound"}

// String returns the name used in logs and metrics.
func (h WorkerHealth) String() string {
	if h < healthEnd {
		return healthNames[h]
	}
	return "unspecified"
}

// WorkerHealths returns all values in order of declaration.
func WorkerHealths() []WorkerHealth { return []WorkerHealth{Failing, Slow, Stalled, Sound} }
