package bench

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the length of the windows over which shares are compared.
	shareWindow = 10 * time.Second
	// shareStep is the time between the starts of two consecutive windows.
	shareStep = 500 * time.Millisecond
)

// interval is a period of time, relative to the start of the trace.
type interval struct{ from, to time.Duration }

func (s interval) overlap(o interval) time.Duration {
	return max(0, min(s.to, o.to)-max(s.from, o.from))
}

// maxShareError returns the largest deviation of an account's slot time from
// its due share over any window, as a fraction of the due share. An account
// takes part in a window when it has waiting tasks throughout and no limit of its
// own; a window counts when two or more accounts take part.
func (r *benchRun) maxShareError(starts []taskStart) float64 {
	runs := r.runsByAccount(starts)
	backlog := r.backlogs(starts)
	worst := 0.0
	for from := time.Duration(0); from+shareWindow <= r.endedAt.Sub(r.startedAt); from += shareStep {
		worst = max(worst, r.shareError(interval{from, from + shareWindow}, runs, backlog))
	}
	return worst
}

func (r *benchRun) shareError(window interval, runs, backlog [][]interval) float64 {
	var used, weights float64
	usedBy := make(map[int]float64)
	for account := range backlog {
		if r.config.maxRunning[account] > 0 || !covers(backlog[account], window) {
			continue
		}
		for _, s := range runs[account] {
			usedBy[account] += s.overlap(window).Seconds()
		}
		used += usedBy[account]
		weights += r.config.weights[account]
	}
	if len(usedBy) < 2 || used == 0 {
		return 0
	}
	worst := 0.0
	for account, u := range usedBy {
		due := used * r.config.weights[account] / weights
		worst = max(worst, math.Abs(u-due)/due)
	}
	return worst
}

// covers reports whether one of the disjoint intervals contains the window.
func covers(intervals []interval, window interval) bool {
	return slices.ContainsFunc(intervals, func(s interval) bool { return s.from <= window.from && s.to >= window.to })
}

// runsByAccount returns the intervals of each account's finished runs.
func (r *benchRun) runsByAccount(starts []taskStart) [][]interval {
	runs := make([][]interval, len(r.config.weights))
	for _, s := range starts {
		if s.finished {
			account := r.jobs[s.id.job].account
			runs[account] = append(runs[account], interval{s.startedAt.Sub(r.startedAt), s.endedAt.Sub(r.startedAt)})
		}
	}
	return runs
}

// backlogs returns the disjoint intervals in which each account had a task that
// was sent and not started.
func (r *benchRun) backlogs(starts []taskStart) [][]interval {
	lastStart := make(map[int]time.Time)
	for _, s := range starts {
		if s.startedAt.After(lastStart[s.id.job]) {
			lastStart[s.id.job] = s.startedAt
		}
	}
	intervals := make([][]interval, len(r.config.weights))
	for i, j := range r.jobs {
		if last, ok := lastStart[i]; ok {
			s := interval{r.callers.outcomes[i].sentAt.Sub(r.startedAt), last.Sub(r.startedAt)}
			intervals[j.account] = append(intervals[j.account], s)
		}
	}
	for account := range intervals {
		intervals[account] = mergeIntervals(intervals[account])
	}
	return intervals
}

// mergeIntervals sorts the intervals in place and returns them with overlapping
// ones joined.
func mergeIntervals(intervals []interval) []interval {
	slices.SortFunc(intervals, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	var merged []interval
	for _, s := range intervals {
		if n := len(merged); n > 0 && s.from <= merged[n-1].to {
			merged[n-1].to = max(merged[n-1].to, s.to)
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

// limitExcess returns the largest number of running tasks by which an account
// exceeded its limit at any time.
func (r *benchRun) limitExcess(starts []taskStart) int {
	worst := 0
	for account, runs := range r.runsByAccount(starts) {
		if limit := r.config.maxRunning[account]; limit > 0 {
			worst = max(worst, maxOverlap(runs)-limit)
		}
	}
	return worst
}

// maxOverlap returns the largest number of intervals that overlap at one time.
func maxOverlap(intervals []interval) int {
	type edge struct {
		at    time.Duration
		delta int
	}
	edges := make([]edge, 0, 2*len(intervals))
	for _, s := range intervals {
		edges = append(edges, edge{s.from, 1}, edge{s.to, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
	now, most := 0, 0
	for _, e := range edges {
		now += e.delta
		most = max(most, now)
	}
	return most
}
