// Package crashlog decides which tasks crash the workers that start them, and which job
// types have such tasks.
//
// It is made for a task that crashes each worker that starts it: the worker is gone for
// seconds, and the tasks of other jobs that ran there are lost with it. Started again and
// again, one such task takes a whole service out of use. The tasks that merely shared the
// worker must not be blamed for it, and a crash says nothing about which of them was the
// cause.
//
// The rule counts the crashes under each task by its name, which a job that is sent again
// keeps, and gives a task up after maxCrashes. Which job type has such tasks shows sooner: a
// task that crashes its worker does so at about the same point of its run, so that at each
// crash a task of that type had run for about the same time. A job type for which that is
// improbable to be chance is confined to a part of the workers, as long as workers go on to
// crash at that point of its tasks' runs. Such crashes are no evidence against other job
// types. The rule is judged by the workers lost, and by the sound jobs given up.
//
// The package does no I/O and reads no clock. A Log is not safe for concurrent use.
package crashlog

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/mathext"

	"github.com/poplarlever/poplarlever/internal/core/msg"
)

const (
	// maxCrashes is the number of crashes under a task after which it is given up, and
	// maxUnconfirmed that number if some came before the worker had answered the start.
	maxCrashes, maxUnconfirmed = 2, 3
	// keep is how long a task is remembered after the latest crash under it. It is longer
	// than callers send a job again.
	keep = 30 * time.Second
	// maxTasks bounds the tasks remembered.
	maxTasks = 4096
	// compared is the number of latest crashes that are compared, and comparedFor the time
	// within which they happened.
	compared    = 12
	comparedFor = 5 * time.Second
	// minHits is the number of crashes at which a job type must have been at the same point.
	minHits = 3
	// tolerance and minTolerance say which run times count as the same point.
	tolerance    = 0.15
	minTolerance = time.Millisecond
	// background times a run time is the span in which other tasks of the type show how
	// probable a hit by chance is.
	background = 4
	// improbable is the probability of chance below which a job type is confined.
	improbable = 3e-3
	// confineFor is how long a job type stays confined after the latest crash that it
	// explains.
	confineFor = 5 * time.Second
)

// JobType names a job type of a service.
type JobType struct{ Service, Name string }

// crashID identifies a crash.
type crashID struct {
	worker   string
	instance int64
}

// record holds the crashes under a task. confirmed counts those after the worker had
// answered the start.
type record struct {
	crashes   []crashID
	confirmed int
	latest    time.Time
}

// event is a crash of a worker.
type event struct {
	id      crashID
	at      time.Time
	service string
	tasks   []msg.CrashedTask
	// explained is set when a confined job type explains the crash.
	explained bool
}

// confinement says until when a job type is confined, and at which point of their runs its
// tasks crash workers.
type confinement struct {
	until time.Time
	point time.Duration
}

// hit reports whether a task of the type had run for about this time.
func (e *event) hit(jobType string, point time.Duration) bool {
	return slices.ContainsFunc(e.tasks, func(t msg.CrashedTask) bool {
		return t.JobType == jobType && (t.RunTime-point).Abs() <= widthOf(point)
	})
}

// hitByOtherJob reports whether a task of the type, of a job that was not counted before, had
// run for about this time, and counts its job. The tasks of one job start together: when
// workers that share a rack crash at the same moment, these have run for the same time.
func (e *event) hitByOtherJob(jobType string, point time.Duration, counted map[string]bool) bool {
	hit := false
	for _, t := range e.tasks {
		if t.JobType == jobType && (t.RunTime-point).Abs() <= widthOf(point) && !counted[jobOf(t.Name)] {
			counted[jobOf(t.Name)] = true
			hit = true
		}
	}
	return hit
}

// jobOf returns the name of a task's job, with which the names of its tasks begin.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// widthOf returns by how much run times at the same point may differ.
func widthOf(point time.Duration) time.Duration {
	return max(minTolerance, time.Duration(tolerance*float64(point)))
}

// Log holds the recent crashes of all workers. The zero value is empty.
type Log struct {
	tasks map[string]*record
	// order lists the tasks by their first crash, oldest first.
	order []string
	// events lists the latest crashes, oldest first.
	events   []event
	confined map[JobType]confinement
}

// Crashed records a crash of a worker, and returns the job types that are confined from now
// on. A crash that was recorded before changes nothing.
func (l *Log) Crashed(now time.Time, service, worker string, c msg.WorkerCrash) []JobType {
	if l.tasks == nil {
		l.tasks, l.confined = make(map[string]*record), make(map[JobType]confinement)
	}
	e := event{id: crashID{worker, c.Instance}, at: now, service: service, tasks: c.Tasks}
	if slices.ContainsFunc(l.events, func(o event) bool { return o.id == e.id }) {
		return nil
	}
	for _, t := range c.Tasks {
		if t.Name == "" {
			continue
		}
		l.add(now, t, e.id)
	}
	if l.events = append(l.events, e); len(l.events) > compared {
		l.events = slices.Delete(l.events, 0, 1)
	}
	return l.confine(now, &l.events[len(l.events)-1])
}

// confine extends the confinement of a job type that explains the newest crash or, if there
// is none, confines the one that most probably does, if any.
func (l *Log) confine(now time.Time, newest *event) []JobType {
	for j, k := range l.confined {
		if j.Service == newest.service && newest.hit(j.Name, k.point) {
			newest.explained = true
			l.confined[j] = confinement{now.Add(confineFor), k.point}
		}
	}
	if newest.explained {
		return nil
	}
	least, cause := improbable, msg.CrashedTask{}
	for _, t := range newest.tasks {
		if p := l.chance(now, newest, t); p < least {
			least, cause = p, t
		}
	}
	jobType := JobType{newest.service, cause.JobType}
	if least >= improbable {
		return nil
	}
	for i := range l.events {
		e := &l.events[i]
		e.explained = e.explained || e.service == newest.service && e.hit(cause.JobType, cause.RunTime)
	}
	_, already := l.confined[jobType]
	l.confined[jobType] = confinement{now.Add(confineFor), cause.RunTime}
	if already {
		return nil
	}
	return []JobType{jobType}
}

// chance returns the probability that tasks of this type had run for about as long at so
// many of the latest crashes without being their cause.
func (l *Log) chance(now time.Time, newest *event, t msg.CrashedTask) float64 {
	width := widthOf(t.RunTime)
	span := max(background*t.RunTime, 2*width)
	crashes, hits, others := 0, 0, 0
	counted := make(map[string]bool)
	for i := range l.events {
		e := &l.events[i]
		if e.explained || e.service != newest.service || now.Sub(e.at) > comparedFor {
			continue
		}
		crashes++
		if e.hitByOtherJob(t.JobType, t.RunTime, counted) {
			hits++
		}
		for _, o := range e.tasks {
			if o.JobType == t.JobType && (o.RunTime-t.RunTime).Abs() > width && o.RunTime <= span {
				others++
			}
		}
	}
	if hits < minHits {
		return 1
	}
	// At least one task in all is assumed, so that few crashes prove little.
	rate := (float64(others) + 1) / float64(crashes) / (span - 2*width + 1).Seconds()
	chance := 1 - math.Exp(-rate*(2*width).Seconds())
	// The newest crash is a hit by choice, of as many as it has tasks.
	return float64(len(newest.tasks)) * tail(hits-1, crashes-1, chance)
}

// tail returns the probability of at least this many hits in so many trials.
func tail(hits, trials int, chance float64) float64 {
	return mathext.RegIncBeta(float64(hits), float64(trials-hits+1), min(chance, 1))
}

// add records a crash under a task.
func (l *Log) add(now time.Time, t msg.CrashedTask, id crashID) {
	r := l.tasks[t.Name]
	if r == nil {
		if len(l.order) >= maxTasks {
			l.forgetOldest()
		}
		r = &record{}
		l.tasks[t.Name] = r
		l.order = append(l.order, t.Name)
	}
	if slices.Contains(r.crashes, id) {
		return
	}
	r.crashes, r.latest = append(r.crashes, id), now
	if !t.Unconfirmed {
		r.confirmed++
	}
}

func (l *Log) forgetOldest() {
	delete(l.tasks, l.order[0])
	l.order = slices.Delete(l.order, 0, 1)
}

// Suspect reports whether a worker crashed under the task.
func (l *Log) Suspect(name string) bool { return l.tasks[name] != nil }

// GiveUp reports whether so many workers crashed under the task that it must not start
// again.
func (l *Log) GiveUp(name string) bool {
	r := l.tasks[name]
	return r != nil && (r.confirmed >= maxCrashes || len(r.crashes) >= maxUnconfirmed)
}

// Confining reports whether a job type of the service is confined.
func (l *Log) Confining(service string) bool {
	for j := range l.confined {
		if j.Service == service {
			return true
		}
	}
	return false
}

// Confined reports whether tasks of the job type may use a part of the workers only.
func (l *Log) Confined(j JobType) bool {
	_, ok := l.confined[j]
	return ok
}

// Expire forgets old crashes, and returns the job types that are not confined any more.
func (l *Log) Expire(now time.Time) []JobType {
	for len(l.order) > 0 {
		r := l.tasks[l.order[0]]
		if now.Sub(r.latest) < keep {
			break
		}
		l.forgetOldest()
	}
	var released []JobType
	for j, k := range l.confined {
		if !now.Before(k.until) {
			delete(l.confined, j)
			released = append(released, j)
		}
	}
	slices.SortFunc(released, compare)
	return released
}

func compare(a, b JobType) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
}
