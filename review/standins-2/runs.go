//go:build review2

package main

import (
	"sync"
	"time"
)

// runLog follows the runs at all workers.
var runLog = struct {
	mu      sync.Mutex
	running map[string][]*loggedRun
	all     []*loggedRun
}{running: make(map[string][]*loggedRun)}

type loggedRun struct {
	task, worker, spec string
	number             uint32
	started, ended     time.Time
	run                *taskRun
}

func runStarted(w *worker, t *taskRun, spec string) {
	runLog.mu.Lock()
	defer runLog.mu.Unlock()
	l := &loggedRun{task: t.task, worker: w.id, spec: spec, number: t.run, started: time.Now(), run: t}
	runLog.running[t.task] = append(runLog.running[t.task], l)
	runLog.all = append(runLog.all, l)
}

func runEnded(_ *worker, t *taskRun) {
	runLog.mu.Lock()
	defer runLog.mu.Unlock()
	for _, l := range runLog.running[t.task] {
		if l.run == t {
			l.ended = time.Now()
		}
	}
}

// runsOf returns copies of the runs whose task names begin with the job's id.
func runsOf(id string) []loggedRun {
	runLog.mu.Lock()
	defer runLog.mu.Unlock()
	var out []loggedRun
	for _, l := range runLog.all {
		if len(l.task) > len(id) && l.task[:len(id)] == id {
			out = append(out, *l)
		}
	}
	return out
}

// overlap returns the longest time for which two runs of one task of the job were in progress.
func overlap(id string) (longest time.Duration, task string) {
	runs := runsOf(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, until := a.started, time.Now()
			if b.started.After(from) {
				from = b.started
			}
			for _, e := range []time.Time{a.ended, b.ended} {
				if !e.IsZero() && e.Before(until) {
					until = e
				}
			}
			if d := until.Sub(from); d > longest {
				longest, task = d, a.task
			}
		}
	}
	return longest, task
}
