//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// play runs a case, with or without the disruption, and returns what breaks the rule.
type play func(rec *recorder, trouble bool) (broken []string, err error)

var cases = map[string]play{
	"step-after-reset":      stepAfterReset,
	"step-after-cancel":     stepAfterCancel,
	"cancel-at-other-entry": cancelAtOtherEntry,
	"label-of-earlier-life": labelOfEarlierLife,
	"cancel-after-freeze":   cancelAfterFreeze,
}

// runCase runs a case with its record in the folder CASE_DIR.
func runCase(p play) int {
	dir := os.Getenv("CASE_DIR")
	if dir == "" {
		dir = "."
	}
	rec, err := newRecorder(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case begins, disruption: %v", trouble)
	broken, err := p(rec, trouble)
	if err != nil {
		rec.write("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		rec.write("BROKEN %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	rec.write("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endOnSignal ends the processes of a case that is stopped from outside.
func endOnSignal(s *system) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		s.close()
		os.Exit(exitNotRun)
	}()
}

// overlapSlack is by how much two runs of one task may seem to overlap in the record.
const overlapSlack = 100 * time.Millisecond

// twice returns the tasks that ran twice at the same time.
func twice(rec *recorder) []string {
	var broken []string
	for task, runs := range rec.byTask() {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				end := a.to
				if b.to.Before(end) {
					end = b.to
				}
				if both := end.Sub(b.from); both > overlapSlack {
					broken = append(broken, fmt.Sprintf("TWICE: task %s run %d at %s and run %d at %s at the same time for %d ms, from %.3f s",
						task, a.run, a.worker, b.run, b.worker, both.Milliseconds(), b.from.Sub(rec.began).Seconds()))
				}
			}
		}
	}
	return broken
}

// stepAfterReset plays jobs of two steps while, every 2.5 s, part of the clients'
// connections of one entry are reset.
func stepAfterReset(rec *recorder, trouble bool) ([]string, error) {
	const (
		resets     = 16
		resetEvery = 2500 * time.Millisecond
		resetShare = 0.55
		jobsPerS   = 90
		deadline   = 20
	)
	s, err := newSystem(rec, 3, 2, 64000)
	defer s.close()
	if err != nil {
		return nil, err
	}
	endOnSignal(s)
	var balancers []*balancer
	for _, e := range s.entries {
		b, err := startBalancer(e.callers)
		if err != nil {
			return nil, err
		}
		balancers = append(balancers, b)
	}
	var clients sync.WaitGroup
	client := func(zone int) {
		j := newJob(deadline, step{count: 1, ms: 100 + rand.IntN(200)}, step{count: 1, ms: 3500, after: []int{0}})
		end := time.Now().Add(deadline * time.Second)
		for try := 0; ; try++ {
			b := balancers[(zone+try)%len(balancers)]
			rec.write("client sends %s to %s (try %d)", j.id, s.entries[(zone+try)%len(balancers)].name, try+1)
			a := j.post(b.address, time.Until(end))
			rec.write("client of %s gets %s", j.id, a)
			if !a.mayHaveRun() || time.Until(end) < 2*retransmitAfter {
				return
			}
			time.Sleep(retransmitAfter)
		}
	}
	stop := time.Now().Add(resets*resetEvery + resetEvery/2)
	nextReset := time.Now().Add(resetEvery)
	for n := 0; time.Now().Before(stop); n++ {
		clients.Go(func() { client(n % len(balancers)) })
		if trouble && time.Now().After(nextReset) {
			nextReset = nextReset.Add(resetEvery)
			at := rand.IntN(len(balancers))
			rec.write("reset of %d connections of clients at %s", balancers[at].reset(resetShare), s.entries[at].name)
		}
		time.Sleep(time.Second / jobsPerS)
	}
	clients.Wait()
	// What runs without a client is seen to its end.
	time.Sleep(4 * time.Second)
	return twice(rec), nil
}

const (
	// cancelTime is the time that the system has to end a cancelled job (cancel_ms), and
	// ackTime the time for the acknowledgement (ackMs).
	cancelTime = 3 * time.Second
	ackTime    = 4 * time.Second
	// stopGrace is how long a stop takes at a worker (stopGraceMs).
	stopGrace = 50 * time.Millisecond
	// cancelShare and cancelFor are the part of the jobs that are cancelled and for how long
	// (the site's longest give_up).
	cancelShare = 0.35
	cancelFor   = 12 * time.Second
)

// cancelled is a job whose client has cancelled it.
type cancelled struct {
	job *job
	// limit is when no task of it may start any more.
	limit time.Time
}

// unasked returns the tasks of cancelled jobs that started too late or ran on.
func unasked(rec *recorder, all []cancelled) []string {
	limits := make(map[string]time.Time)
	for _, c := range all {
		limits[c.job.id] = c.limit
	}
	var broken []string
	for task, runs := range rec.byTask() {
		limit, ok := limits[task[:16]]
		if !ok {
			continue
		}
		for _, r := range runs {
			switch {
			case r.from.After(limit):
				broken = append(broken, fmt.Sprintf("UNASKED: task %s run %d starts at %s %d ms after the limit for its cancelled job",
					task, r.run, r.worker, r.from.Sub(limit).Milliseconds()))
			case r.to.After(limit.Add(stopGrace + overlapSlack)):
				broken = append(broken, fmt.Sprintf("UNASKED: task %s run %d of a cancelled job runs on at %s for %d ms after the limit",
					task, r.run, r.worker, r.to.Sub(limit).Milliseconds()))
			}
		}
	}
	return broken
}

// stepAfterCancel plays jobs of three steps, a third of which their clients cancel while the
// first step runs.
func stepAfterCancel(rec *recorder, trouble bool) ([]string, error) {
	const (
		lasts    = cancelFor
		jobsPerS = 90
		deadline = 20
	)
	s, err := newSystem(rec, 3, 2, 64000)
	defer s.close()
	if err != nil {
		return nil, err
	}
	endOnSignal(s)
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		all     []cancelled
	)
	client := func(e *entry) {
		j := newJob(deadline, step{count: 1, ms: 100 + rand.IntN(200)}, step{count: 1, ms: 3500, after: []int{0}}, step{count: 1, ms: 500, after: []int{1}})
		if trouble && rand.Float64() < cancelShare {
			clients.Go(func() {
				time.Sleep(time.Duration(50+rand.IntN(250)) * time.Millisecond)
				a := j.cancel(e.callers)
				rec.write("client cancels %s at %s and gets %s", j.id, e.name, a)
				if a.status/100 == 2 {
					mu.Lock()
					defer mu.Unlock()
					all = append(all, cancelled{j, time.Now().Add(cancelTime)})
				}
			})
		}
		rec.write("client sends %s to %s", j.id, e.name)
		rec.write("client of %s gets %s", j.id, j.post(e.callers, deadline*time.Second))
	}
	stop := time.Now().Add(lasts)
	for n := 0; time.Now().Before(stop); n++ {
		clients.Go(func() { client(s.entries[n%len(s.entries)]) })
		time.Sleep(time.Second / jobsPerS)
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	rec.write("%d jobs were cancelled", len(all))
	return unasked(rec, all), nil
}

// cancelAtOtherEntry plays clients, a third of which cancel their jobs. Half of these have
// moved to another failure domain in between, where the balancer sends their new connections.
func cancelAtOtherEntry(rec *recorder, trouble bool) ([]string, error) {
	const (
		jobs     = 60
		steps    = 6
		deadline = 40
	)
	s, err := newSystem(rec, 3, 2, 64000)
	defer s.close()
	if err != nil {
		return nil, err
	}
	endOnSignal(s)
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		all     []cancelled
	)
	for n := range jobs {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			home, place := s.entries[n%len(s.entries)], s.entries[n%len(s.entries)]
			cancels := n%3 == 0
			if trouble && n%2 == 0 {
				place = s.entries[(n+1)%len(s.entries)]
			}
			list := []step{{count: 2, ms: 2500}}
			for i := 1; i < steps; i++ {
				list = append(list, step{count: 2, ms: 2500, after: []int{i - 1}})
			}
			j := newJob(deadline, list...)
			clients.Go(func() {
				if !cancels {
					return
				}
				time.Sleep(time.Second)
				if place != home {
					rec.write("client of %s has moved from %s to %s", j.id, home.zone, place.zone)
				}
				sent := time.Now()
				a := j.cancel(place.callers)
				rec.write("client cancels %s at %s and gets %s", j.id, place.name, a)
				limit := time.Now().Add(cancelTime)
				if a.status/100 != 2 {
					// Even if this does not acknowledge the cancelling.
					limit = sent.Add(ackTime + cancelTime)
				}
				mu.Lock()
				defer mu.Unlock()
				all = append(all, cancelled{j, limit})
			})
			rec.write("client sends %s to %s", j.id, home.name)
			rec.write("client of %s gets %s", j.id, j.post(home.callers, deadline*time.Second))
		})
	}
	clients.Wait()
	return unasked(rec, all), nil
}

// labelOfEarlierLife plays jobs that need workers of kind a. One worker after the other
// crashes and starts again under its ID, as one of kind b or a by turns. The agent beside it
// is killed 4.5 s later.
func labelOfEarlierLife(rec *recorder, trouble bool) ([]string, error) {
	const (
		crashes    = 8
		crashEvery = 8 * time.Second
		jobsPerS   = 40
	)
	s, err := newSystem(rec, 2, 3, 16000)
	defer s.close()
	if err != nil {
		return nil, err
	}
	endOnSignal(s)
	var clients sync.WaitGroup
	stop := time.Now().Add(crashes * crashEvery)
	clients.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			e := s.entries[n%len(s.entries)]
			clients.Go(func() {
				j := newJob(5, step{count: 2, ms: 300, cpu: 1000, requires: "a"})
				rec.write("client sends %s to %s", j.id, e.name)
				rec.write("client of %s gets %s", j.id, j.post(e.callers, 5*time.Second))
			})
			time.Sleep(time.Second / jobsPerS)
		}
	})
	for n := 0; trouble && n < crashes; n++ {
		d := s.sides[n%2]
		time.Sleep(2 * time.Second)
		s.crashWorker(d)
		time.Sleep(500 * time.Millisecond)
		d.labels = map[string]string{"a": "b", "b": "a"}[d.labels]
		d.firstHeartbeat = time.Duration(rand.IntN(750)) * time.Millisecond
		if err := s.startWorker(d); err != nil {
			return nil, err
		}
		time.Sleep(4500 * time.Millisecond)
		rec.write("agent of %s killed", d.name)
		d.agent.kill()
		time.Sleep(300 * time.Millisecond)
		if err := s.startAgent(d); err != nil {
			return nil, err
		}
		rec.write("agent of %s started", d.name)
	}
	clients.Wait()
	return withoutLabel(rec), nil
}

// withoutLabel returns the starts at workers of another kind than the task needs. Every task
// needs kind a.
func withoutLabel(rec *recorder) []string {
	var broken []string
	for task, runs := range rec.byTask() {
		for _, r := range runs {
			if r.labels != "b" {
				continue
			}
			known := "before its first heartbeat"
			if !r.announced.IsZero() {
				known = fmt.Sprintf("%d ms after a heartbeat with that kind was acknowledged", r.from.Sub(r.announced).Milliseconds())
			}
			broken = append(broken, fmt.Sprintf("ROUTE: task %s run %d starts at %s, which is of kind b, %s; it needs kind a", task, r.run, r.worker, known))
		}
	}
	return broken
}

// cancelAfterFreeze plays jobs of two steps. In waves, part of them are cancelled by their
// clients 200 ms after they were sent, on a second connection, while one entry after the
// other stands still for a time.
func cancelAfterFreeze(rec *recorder, trouble bool) ([]string, error) {
	const (
		waves     = 5
		waveEvery = cancelFor + 4*time.Second
		freezes   = 3
		freezeFor = 2200 * time.Millisecond
		freezeGap = 1600 * time.Millisecond
		jobsPerS  = 140
		deadline  = 20 * time.Second
	)
	s, err := newSystem(rec, 3, 2, 64000)
	defer s.close()
	if err != nil {
		return nil, err
	}
	endOnSignal(s)
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		all     []cancelled
	)
	began := time.Now()
	client := func(e *entry) {
		j := newJob(0, step{count: 1, ms: 3500, cpu: 100}, step{count: 1, ms: 1000, cpu: 100, after: []int{0}})
		cancels := time.Since(began)%waveEvery < cancelFor && rand.Float64() < cancelShare
		clients.Go(func() {
			if !cancels {
				return
			}
			time.Sleep(200 * time.Millisecond)
			a := j.cancel(e.callers)
			rec.write("client cancels %s at %s and gets %s", j.id, e.name, a)
			if a.status/100 == 2 {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, cancelled{j, time.Now().Add(cancelTime)})
			}
		})
		rec.write("client sends %s to %s", j.id, e.name)
		rec.write("client of %s gets %s", j.id, j.post(e.callers, deadline))
	}
	stop := began.Add(waves * waveEvery)
	clients.Go(func() {
		for n := 0; trouble && n < waves*freezes; n++ {
			at := time.Duration(n/freezes)*waveEvery + time.Duration(n%freezes)*(freezeFor+freezeGap) + freezeGap/2
			time.Sleep(time.Until(began.Add(at)))
			e := s.entries[n%len(s.entries)]
			rec.write("%s stands still", e.name)
			_ = e.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(freezeFor)
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			rec.write("%s goes on", e.name)
		}
	})
	for n := 0; time.Now().Before(stop); n++ {
		clients.Go(func() { client(s.entries[n%len(s.entries)]) })
		time.Sleep(time.Second / jobsPerS)
	}
	clients.Wait()
	rec.write("%d jobs were cancelled with 2xx", len(all))
	return startedLate(rec, all), nil
}

// startedLate returns the tasks of cancelled jobs that started after the limit.
func startedLate(rec *recorder, all []cancelled) []string {
	var broken []string
	tasks := rec.byTask()
	for _, c := range all {
		for task, runs := range tasks {
			if task[:16] != c.job.id {
				continue
			}
			for _, r := range runs {
				if r.from.After(c.limit) {
					broken = append(broken, fmt.Sprintf("UNASKED: task %s run %d starts at %s %d ms after the limit for its cancelled job",
						task, r.run, r.worker, r.from.Sub(c.limit).Milliseconds()))
				}
			}
		}
	}
	return broken
}
