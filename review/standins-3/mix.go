//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

type jobInfo struct {
	j         job
	requires  []string
	anti      []int
	counts    []int
	rejected  bool
	started   bool
	cancelled time.Time
}

// mix plays random faults for a time.
func mix(s *system, seed uint64, long time.Duration, faults string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	guards := rng.IntN(2) == 0
	var mu sync.Mutex
	jobs := make(map[string]*jobInfo)
	drained := make(map[*worker]time.Time)
	s.check = func(w *worker, r *workerRun, used float64) {
		parts := strings.Split(r.task, ".")
		mu.Lock()
		defer mu.Unlock()
		i := jobs[parts[0]]
		if i == nil {
			return
		}
		i.started = true
		st := 0
		fmt.Sscan(parts[2], &st)
		if i.rejected {
			s.fail("REFUSED", "%s begins, its job was rejected", r.task)
		}
		if need := i.requires[st]; need != "" && !strings.Contains(strings.Join(w.labels, ","), need) {
			s.fail("ROUTE", "%s needs %s, %v has %v", r.task, need, w, w.labels)
		}
		if n := i.anti[st]; n > 0 {
			here := 0
			for _, o := range w.runs {
				if strings.HasPrefix(o.task, parts[0]+".0."+parts[2]+".") {
					here++
				}
			}
			if here > n {
				s.fail("ROUTE", "%s: %d tasks of the step at %v, %d allowed", r.task, here, w, n)
			}
		}
		if !w.guards && used > w.cpu {
			s.fail("LIMIT", "%s brings %v to %v of %v", r.task, w, used, w.cpu)
		}
		if st > 0 {
			for k := range i.counts[st-1] {
				done := false
				name := fmt.Sprintf("%s.0.%d.%d", parts[0], st-1, k)
				s.mu.Lock()
				for _, h := range s.history[name] {
					done = done || h.how == "done"
				}
				s.mu.Unlock()
				if !done {
					s.fail("ORDER", "%s begins before %s is done", r.task, name)
				}
			}
		}
		if !i.cancelled.IsZero() && time.Since(i.cancelled) > 3*time.Second {
			s.fail("UNASKED", "%s begins %v after its cancel", r.task, time.Since(i.cancelled))
		}
		if t, ok := drained[w]; ok && time.Since(t) > 2*time.Second {
			s.fail("DRAIN", "%s begins %v after the drain of %v", r.task, time.Since(t), w)
		}
	}
	for _, w := range s.workers {
		w.mu.Lock()
		w.guards = guards
		w.mu.Unlock()
	}
	end := time.Now().Add(long)
	var group sync.WaitGroup
	for range 14 {
		crng := rand.New(rand.NewPCG(seed, rng.Uint64()))
		group.Go(func() {
			c := newClient()
			for time.Now().Before(end) {
				load := workload{Ms: 20 + crng.IntN(400)}
				if crng.IntN(6) == 0 {
					load.Ms = 2600
				}
				var steps []step
				info := &jobInfo{}
				for k := range 1 + crng.IntN(3) {
					st := step{Count: 1 + crng.IntN(4), CPU: []float64{1000, 3000}[crng.IntN(2)], MemMB: 64, EstimateMs: float64(min(load.Ms, 500))}
					if k > 0 {
						st.CPU = steps[0].CPU
						st.After = []int{k - 1}
					}
					if crng.IntN(2) == 0 {
						st.AntiAffinity = 1 + crng.IntN(2)
					}
					if crng.IntN(3) == 0 {
						st.Requires = []string{"a", "b"}[crng.IntN(2)]
					}
					steps = append(steps, st)
					info.requires, info.anti, info.counts = append(info.requires, st.Requires), append(info.anti, st.AntiAffinity), append(info.counts, st.Count)
				}
				j := s.newJob(load, time.Duration(2000+crng.IntN(8000))*time.Millisecond, steps...)
				info.j = j
				mu.Lock()
				jobs[j.id] = info
				mu.Unlock()
				cancelled := make(chan bool, 1)
				doCancel := crng.IntN(5) == 0
				if doCancel {
					after, at := time.Duration(crng.IntN(500))*time.Millisecond, s.entries[crng.IntN(len(s.entries))]
					group.Go(func() {
						time.Sleep(after)
						st := s.cancel(at.front, j.id)
						if st == 200 || st == 410 {
							mu.Lock()
							info.cancelled = time.Now()
							mu.Unlock()
						}
						cancelled <- true
					})
				}
				limit, rejected := time.Now().Add(j.wait), true
				for time.Now().Before(limit) && time.Now().Before(end) {
					at := s.entries[crng.IntN(len(s.entries))]
					try := j
					try.wait = time.Until(limit)
					leave := context.Background()
					var stop context.CancelFunc = func() {}
					if crng.IntN(6) == 0 {
						leave, stop = context.WithTimeout(leave, time.Duration(50+crng.IntN(900))*time.Millisecond)
					}
					status, body := s.post(leave, c, at.front, try)
					stop()
					if doCancel {
						<-cancelled
						rejected = rejected && (status == 429 || status == 503)
						break
					}
					if status == 200 {
						rejected = false
						if strings.Contains(body, "completed") {
							for st, n := range info.counts {
								for k := range n {
									name, ok := fmt.Sprintf("%s.0.%d.%d", j.id, st, k), false
									s.mu.Lock()
									for _, h := range s.history[name] {
										ok = ok || h.how == "done"
									}
									s.mu.Unlock()
									if !ok {
										s.fail("MIXED", "%s is completed, %s is not done", j.id, name)
									}
								}
							}
						}
						break
					}
					if status == 429 || status == 503 {
						if crng.IntN(2) == 0 {
							break
						}
						time.Sleep(time.Second)
						continue
					}
					rejected = false
					if status != 0 && status != 504 && status != 502 {
						s.fail("ANSWER", "%s is answered %d", j.id, status)
						break
					}
					time.Sleep(1300 * time.Millisecond)
				}
				if rejected {
					mu.Lock()
					info.rejected = true
					if info.started {
						s.fail("REFUSED", "%s was rejected and has begun", j.id)
					}
					mu.Unlock()
				}
				time.Sleep(time.Duration(crng.IntN(200)) * time.Millisecond)
			}
		})
	}
	kinds := strings.Split(faults, ",")
	time.Sleep(time.Second)
	for time.Now().Before(end.Add(-2 * time.Second)) {
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
		w := s.workers[rng.IntN(len(s.workers))]
		a, e := s.agents[rng.IntN(len(s.agents))], s.entries[rng.IntN(len(s.entries))]
		if rng.IntN(2) == 0 {
			for i := range s.workers {
				if s.workers[i] == w {
					a = s.agents[i]
				}
			}
		}
		restart := func(p *process, sig syscall.Signal) {
			p.signal(sig)
			group.Go(func() {
				if p.wait(7 * time.Second) {
					time.Sleep(200 * time.Millisecond)
					_ = p.start()
				}
			})
		}
		switch k := kinds[rng.IntN(len(kinds))]; k {
		case "kill-agent":
			if a.wait(0) {
				continue
			}
			restart(a, syscall.SIGKILL)
		case "kill-entry":
			if e.wait(0) {
				continue
			}
			restart(e, syscall.SIGKILL)
		case "term-agent":
			if a.wait(0) {
				continue
			}
			restart(a, syscall.SIGTERM)
		case "term-entry":
			if e.wait(0) {
				continue
			}
			restart(e, syscall.SIGTERM)
		case "freeze-agent", "freeze-entry":
			p := a
			if k == "freeze-entry" {
				p = e
			}
			if p.wait(0) {
				continue
			}
			d := time.Duration(100+rng.IntN(4200)) * time.Millisecond
			p.signal(syscall.SIGSTOP)
			group.Go(func() { time.Sleep(d); p.signal(syscall.SIGCONT) })
		case "crash", "crash-kind":
			w.crash()
			pause := time.Duration(200+rng.IntN(1500)) * time.Millisecond
			same := rng.IntN(2) == 0
			lab, cpu := []string{"a"}, 8000.0
			if k == "crash-kind" && rng.IntN(2) == 0 {
				lab, cpu = []string{"b"}, 4000
			}
			n := rng.IntN(100000)
			group.Go(func() {
				time.Sleep(pause)
				w.mu.Lock()
				if w.up {
					w.mu.Unlock()
					return
				}
				if !same {
					w.id = fmt.Sprintf("i-%d", n)
				}
				w.labels, w.cpu = lab, cpu
				w.mu.Unlock()
				mu.Lock()
				delete(drained, w)
				mu.Unlock()
				_ = w.start()
			})
		case "late":
			until := time.Now().Add(time.Duration(300+rng.IntN(3000)) * time.Millisecond)
			lrng := rand.New(rand.NewPCG(rng.Uint64(), 1))
			share := 1 + lrng.IntN(6)
			w.mu.Lock()
			w.late = func() time.Duration {
				if time.Now().After(until) || lrng.IntN(share) != 0 {
					return 0
				}
				return time.Duration(2000+lrng.IntN(4000)) * time.Millisecond
			}
			w.mu.Unlock()
		case "lost":
			until := time.Now().Add(time.Duration(300+rng.IntN(3000)) * time.Millisecond)
			w.mu.Lock()
			w.lost = func() bool { return time.Now().Before(until) && rand.IntN(3) == 0 }
			w.mu.Unlock()
		case "busy":
			until := time.Now().Add(time.Duration(300+rng.IntN(2000)) * time.Millisecond)
			w.mu.Lock()
			w.busy = until
			w.mu.Unlock()
		case "drain":
			w.mu.Lock()
			up := w.up && !w.draining
			w.draining = true
			w.mu.Unlock()
			if !up {
				continue
			}
			lag := time.Duration(rng.IntN(4000)) * time.Millisecond
			n := rng.IntN(100000)
			group.Go(func() {
				acked := w.beat(context.Background())
				if acked {
					mu.Lock()
					drained[w] = time.Now()
					mu.Unlock()
				}
				s.logf("%v drains, acknowledged %v", w, acked)
				time.Sleep(2*time.Second + lag)
				w.mu.Lock()
				still := w.up && w.draining
				w.mu.Unlock()
				if !still {
					return
				}
				w.deregister()
				w.crash()
				time.Sleep(300 * time.Millisecond)
				mu.Lock()
				delete(drained, w)
				mu.Unlock()
				w.mu.Lock()
				if w.up {
					w.mu.Unlock()
					return
				}
				w.id = fmt.Sprintf("i-%d", n)
				w.mu.Unlock()
				_ = w.start()
			})
		case "config":
			s.putConfig(guards, queues...)
		case "store":
			until := time.Now().Add(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
			s.store.mu.Lock()
			s.store.refuse = func(*http.Request) bool { return time.Now().Before(until) }
			s.store.mu.Unlock()
		}
	}
	group.Wait()
}
