package bodybudget

// Reason says why a request or a connection was refused, dropped or closed for the sake of the
// process's memory or descriptors. Zero means that it was not.
type Reason uint8

const (
	// NoMemory means that a request was refused because the memory of requests is used up.
	NoMemory Reason = iota + 1
	// StalledMemory means that a body made no progress while others needed its memory.
	StalledMemory
	// StalledConnection means that a body made no progress while its connection was needed.
	StalledConnection
	// Largest means that an incomplete body was the largest one while small requests needed
	// its memory.
	Largest
	// TimedOut means that no byte of a body arrived for a long time.
	TimedOut
	// TooLarge means that a body exceeds the largest size.
	TooLarge
	// IdleConnection means that a connection without a request was closed for another one.
	IdleConnection
	// NoConnection means that a connection, or the request of one, was refused because the
	// process has as many as it may have.
	NoConnection
	// TooManyLinks means that a connection has more links, or the process more connections
	// with links, than it may have.
	TooManyLinks

	reasonEnd
)

var reasonNames = [reasonEnd]string{
	"none", "no_memory", "stalled_memory", "stalled_connection", "largest", "timed_out", "too_large",
	"idle_connection", "no_connection", "too_many_links",
}

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	if r < reasonEnd {
		return reasonNames[r]
	}
	return "none"
}

// Error makes a reason an error.
func (r Reason) Error() string { return "the request was ended: " + r.String() }

// Reasons returns all reasons in order of declaration.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonEnd-1)
	for r := Reason(1); r < reasonEnd; r++ {
		all = append(all, r)
	}
	return all
}
