package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/linkpb"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// Result holds the figures of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Tasks    int    `json:"tasks"`
	// Jobs = Complete + Failed + Refused. A job whose connection broke counts
	// as failed.
	Jobs     int `json:"jobs"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	Refused  int `json:"refused"`
	// Partial counts complete answers with a missing, wrong or misplaced
	// result, and answers with any other outcome that hold results.
	Partial int `json:"partial"`
	// DoubleStarts counts starts of a task beyond its first.
	DoubleStarts int `json:"double_starts"`
	// NotRunViolations counts jobs answered with the verdict "not run" although a
	// task had started.
	NotRunViolations int `json:"not_run_violations"`
	// GuardedDoubleRuns counts idempotency keys that ran twice.
	GuardedDoubleRuns int `json:"guarded_double_runs"`
	// The OverUnloaded fields divide each complete job's answer time by that on
	// an idle fleet.
	OverUnloadedMean float64 `json:"over_unloaded_mean"`
	OverUnloadedP50  float64 `json:"over_unloaded_p50"`
	OverUnloadedP99  float64 `json:"over_unloaded_p99"`
	// The OverCentral fields divide the mean (p99) of over_unloaded by that of a
	// single central queue.
	OverCentralMean float64 `json:"over_central_mean"`
	OverCentralP99  float64 `json:"over_central_p99"`
	// LargestOverArrivalP99 divides the p99 of the answer time of the largest
	// 1% of jobs by that under a single central queue in order of arrival.
	LargestOverArrivalP99 float64 `json:"largest_over_arrival_p99"`
	JobsLostUnstarted     int     `json:"jobs_lost_unstarted"`
	// MessagesPerTask counts all link messages except control messages.
	MessagesPerTask float64 `json:"messages_per_task"`
	// WastedPerTask counts those beyond one request and one answer per task.
	WastedPerTask float64 `json:"wasted_per_task"`
	// Control bytes per second sent and received by one entry or agent, including
	// the framing of Connect and HTTP/2 and excluding that of TCP.
	ControlBytesPerSEntry float64 `json:"control_bytes_per_s_entry"`
	ControlBytesPerSAgent float64 `json:"control_bytes_per_s_agent"`
	MaxShareError         float64 `json:"max_share_error"`
	// LimitExcess is the largest number of running tasks above an account's limit.
	LimitExcess int `json:"limit_excess"`
	// ConfigSpreadS is the number of seconds until every agent followed a new
	// revision.
	ConfigSpreadS    float64 `json:"config_spread_s"`
	StartsAfterLeave int     `json:"starts_after_leave"`
	// CutOff counts runs at endpoints that did not end, except on killed workers.
	CutOff int `json:"cut_off"`
}

const (
	// frameOverhead is the size in bytes of Connect's envelope and HTTP/2's frame
	// header. It is counted for each message, although messages may share a frame.
	frameOverhead = 5 + 9
	// leaveGracePeriod is how long after its leave an endpoint may receive work.
	leaveGracePeriod = 3 * time.Second
	// largestFraction is the fraction of the jobs, those with the most tasks, that
	// is checked for starvation.
	largestFraction = 0.01
)

// controlKinds are the link messages that carry configuration, presence and
// heartbeats, not work.
var controlKinds = map[string]bool{
	"hello": true, "welcome": true, "heartbeat": true, "table": true, "leaving": true, "rejected": true,
}

func (r *benchRun) buildResult(w io.Writer) Result {
	starts := r.fleet.recorder.snapshot()
	out := Result{Scenario: r.options.Scenario, Policy: r.options.Policy, Seed: r.options.Seed, Jobs: len(r.jobs)}
	byJob := startsByJob(starts)
	for i := range r.jobs {
		out.Tasks += len(r.jobs[i].tasks)
		r.countAnswer(&out, i, byJob[i])
	}
	r.compareAnswerTimes(&out, starts)
	r.countMessages(&out, starts, w)
	out.MaxShareError = r.maxShareError(starts)
	out.LimitExcess = r.limitExcess(starts)
	out.ConfigSpreadS = r.propagationTime.Seconds()
	for _, s := range starts {
		if left, ok := r.fleet.recorder.leftAt[s.worker]; ok && s.startedAt.Sub(left) > leaveGracePeriod {
			out.StartsAfterLeave++
		}
		if _, killed := r.fleet.recorder.killedAt[s.worker]; !s.finished && !killed {
			out.CutOff++
		}
	}
	return out
}

func startsByJob(starts []taskStart) map[int][]taskStart {
	byJob := make(map[int][]taskStart)
	for _, s := range starts {
		byJob[s.id.job] = append(byJob[s.id.job], s)
	}
	return byJob
}

// countAnswer checks one job's answer against the starts of its tasks.
func (r *benchRun) countAnswer(out *Result, job int, starts []taskStart) {
	runs := make(map[int]int)
	for _, s := range starts {
		runs[s.id.task]++
	}
	for _, n := range runs {
		out.DoubleStarts += n - 1
	}
	answer := r.callers.outcomes[job].answer
	switch answer.GetOutcome() {
	case pb.Outcome_OUTCOME_COMPLETE:
		out.Complete++
		if !r.resultsMatch(job, answer) {
			out.Partial++
		}
		return
	case pb.Outcome_OUTCOME_REFUSED:
		out.Refused++
	default:
		out.Failed++
		if r.lostBeforeStart(answer, starts) {
			out.JobsLostUnstarted++
		}
	}
	if len(answer.GetResults()) > 0 {
		out.Partial++
	}
	if answer.GetFailure().GetVerdict() == pb.Verdict_VERDICT_NOT_RUN && len(starts) > 0 {
		out.NotRunViolations++
	}
}

// resultsMatch reports whether each result is the echo of its task's payload.
func (r *benchRun) resultsMatch(job int, answer *pb.SubmitResponse) bool {
	if len(answer.GetResults()) != len(r.jobs[job].tasks) || answer.GetJobId() != jobName(job) {
		return false
	}
	for i, result := range answer.GetResults() {
		if p, ok := decodePayload(result.GetPayload()); !ok || p.id != (taskID{job, i}) {
			return false
		}
	}
	return true
}

// lostBeforeStart reports whether the job failed because of a lost worker
// although no killed worker had started one of its tasks.
func (r *benchRun) lostBeforeStart(answer *pb.SubmitResponse, starts []taskStart) bool {
	if answer.GetFailure().GetReason() != verdict.WorkerLost.String() {
		return false
	}
	return !slices.ContainsFunc(starts, func(s taskStart) bool {
		_, dead := r.fleet.recorder.killedAt[s.worker]
		return dead
	})
}

// compareAnswerTimes sets the figures that relate answer times to those of an
// idle fleet and of a single central queue. It covers the complete jobs; the
// central queue serves the whole trace with the measured run times.
func (r *benchRun) compareAnswerTimes(out *Result, starts []taskStart) {
	queued := r.queuedJobs(starts)
	slots := r.options.Workers * r.options.Slots
	best := simulateCentralQueue(queued, slots, fewestUnfinishedFirst)
	arrival := simulateCentralQueue(queued, slots, byArrival)
	var product, baseline, largest, largestArrival []float64
	large := r.largestJobs()
	for i, q := range queued {
		o := &r.callers.outcomes[i]
		if o.answer.GetOutcome() != pb.Outcome_OUTCOME_COMPLETE {
			continue
		}
		alone := float64(simulateCentralQueue([]queuedJob{{index: i, runTimes: q.runTimes}}, slots, fewestUnfinishedFirst)[i])
		taken := o.answeredAt.Sub(o.sentAt)
		product = append(product, float64(taken)/alone)
		baseline = append(baseline, float64(best[i])/alone)
		if large[i] {
			largest = append(largest, taken.Seconds())
			largestArrival = append(largestArrival, arrival[i].Seconds())
		}
	}
	out.OverUnloadedMean, out.OverUnloadedP50, out.OverUnloadedP99 = mean(product), quantile(product, 0.5), quantile(product, 0.99)
	out.OverCentralMean = ratio(out.OverUnloadedMean, mean(baseline))
	out.OverCentralP99 = ratio(out.OverUnloadedP99, quantile(baseline, 0.99))
	out.LargestOverArrivalP99 = ratio(quantile(largest, 0.99), quantile(largestArrival, 0.99))
}

// queuedJobs returns the trace with the measured send times and run times. A task
// that did not end has the run time of the trace.
func (r *benchRun) queuedJobs(starts []taskStart) []queuedJob {
	queued := make([]queuedJob, len(r.jobs))
	for i, j := range r.jobs {
		queued[i] = queuedJob{index: i, sent: r.callers.outcomes[i].sentAt.Sub(r.startedAt)}
		for _, t := range j.tasks {
			queued[i].runTimes = append(queued[i].runTimes, t.runTime)
		}
	}
	for _, s := range starts {
		if s.finished {
			queued[s.id.job].runTimes[s.id.task] = s.endedAt.Sub(s.startedAt)
		}
	}
	return queued
}

// largestJobs returns the indexes of the jobs with the most tasks, at least one.
func (r *benchRun) largestJobs() map[int]bool {
	sizes := make([]int, len(r.jobs))
	for i := range sizes {
		sizes[i] = i
	}
	slices.SortStableFunc(sizes, func(a, b int) int { return len(r.jobs[b].tasks) - len(r.jobs[a].tasks) })
	large := make(map[int]bool)
	for _, i := range sizes[:min(len(sizes), int(math.Ceil(largestFraction*float64(len(sizes)))))] {
		large[i] = true
	}
	return large
}

func mean(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return stat.Mean(x, nil)
}

func quantile(x []float64, p float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return stat.Quantile(p, stat.Empirical, slices.Sorted(slices.Values(x)), nil)
}

// ratio returns a/b, or zero when b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// countMessages sets the figures about link messages and writes the tallies to w.
func (r *benchRun) countMessages(out *Result, starts []taskStart, w io.Writer) {
	fromEntry := subtractTallies(r.fleet.counter.FromEntry(), r.entryTalliesBefore)
	fromAgent := subtractTallies(r.fleet.counter.FromAgent(), r.agentTalliesBefore)
	started := make(map[taskID]bool)
	for _, s := range starts {
		started[s.id] = true
	}
	var work, wasted, control int64
	for _, t := range slices.Concat(fromEntry, fromAgent) {
		fmt.Fprintf(w, "messages %s: %d, %d bytes\n", t.Kind, t.Messages, t.Bytes)
		if controlKinds[t.Kind] {
			control += t.Bytes + t.Messages*frameOverhead
			continue
		}
		work += t.Messages
		wasted += wastedMessages(t, int64(len(started)))
	}
	seconds := r.endedAt.Sub(r.startedAt).Seconds()
	out.MessagesPerTask = ratio(float64(work), float64(len(started)))
	out.WastedPerTask = ratio(float64(wasted), float64(len(started)))
	out.ControlBytesPerSEntry = float64(control) / seconds / float64(r.options.Entries)
	out.ControlBytesPerSAgent = float64(control) / seconds / float64(r.options.Workers)
}

// wastedMessages counts the messages beyond one request and one answer per task.
func wastedMessages(t linkpb.Tally, tasks int64) int64 {
	if t.Kind == "dispatch" || t.Kind == "result" {
		return max(0, t.Messages-tasks)
	}
	return t.Messages
}

func subtractTallies(now, before []linkpb.Tally) []linkpb.Tally {
	out := slices.Clone(now)
	for i := range out {
		out[i].Messages -= before[i].Messages
		out[i].Bytes -= before[i].Bytes
	}
	return out
}
