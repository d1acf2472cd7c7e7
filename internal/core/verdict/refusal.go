package verdict

// IsRefusal reports whether the reason is one for which a job is not accepted,
// rather than one for which an accepted job fails.
func (r Reason) IsRefusal() bool { return r >= MalformedJob && r < DeadlineExceeded }
