//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt, and keeps what the checks need.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	out   *bufio.Writer
	file  *os.File
	runs  []*taskRun
	open  map[string]*taskRun
	// labels holds the labels of the present life of each worker, announced the time of its
	// first acknowledged heartbeat.
	labels    map[string]string
	announced map[string]time.Time
}

// taskRun is a run of a task at a worker, from its start to its end.
type taskRun struct {
	worker, task, how string
	run               int
	from, to          time.Time
	// labels are those of the worker, which it had first announced at announced.
	labels    string
	announced time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), out: bufio.NewWriter(f), file: f, open: make(map[string]*taskRun), labels: make(map[string]string), announced: make(map[string]time.Time)}, nil
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// write adds a line at the present time.
func (r *recorder) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeAt(time.Now(), format, args...)
}

func (r *recorder) writeAt(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// logOf returns a function that takes the log lines of a process of the project. They are
// kept only if REVIEW_LOGS names a folder.
func (r *recorder) logOf(name string) func(string) {
	dir := os.Getenv("REVIEW_LOGS")
	if dir == "" {
		return func(string) {}
	}
	f, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return func(string) {}
	}
	return func(line string) { fmt.Fprintln(f, line) }
}

// workerLine takes a line of a worker's output.
func (r *recorder) workerLine(line string) {
	fields := strings.Fields(line)
	if len(fields) < 3 {
		return
	}
	ns, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return
	}
	at, kind, worker := time.Unix(0, ns), fields[1], fields[2]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeAt(at, "worker %s: %s %s", worker, kind, strings.Join(fields[3:], " "))
	switch kind {
	case "born":
		r.labels[worker] = fields[4]
		delete(r.announced, worker)
	case "heartbeat":
		if fields[4] == "200" && r.announced[worker].IsZero() {
			r.announced[worker] = at
		}
	case "start":
		run, _ := strconv.Atoi(fields[4])
		t := &taskRun{worker: worker, task: fields[3], run: run, from: at, labels: r.labels[worker], announced: r.announced[worker]}
		r.runs = append(r.runs, t)
		r.open[worker+" "+fields[3]+" "+fields[4]] = t
	case "end":
		key := worker + " " + fields[3] + " " + fields[4]
		if t := r.open[key]; t != nil {
			t.to, t.how = at, fields[5]
			delete(r.open, key)
		}
	}
}

// crashed notes that everything at a worker has ended with its process.
func (r *recorder) crashed(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.writeAt(now, "worker %s: killed", worker)
	for key, t := range r.open {
		if t.worker == worker {
			t.to, t.how = now, "crashed"
			delete(r.open, key)
		}
	}
}

// byTask returns the runs of each task in the order of their starts. A run that has not
// ended lasts until now.
func (r *recorder) byTask() map[string][]*taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]*taskRun)
	for _, t := range r.runs {
		if t.to.IsZero() {
			t.to, t.how = time.Now(), "running"
		}
		out[t.task] = append(out[t.task], t)
	}
	for _, runs := range out {
		slices.SortFunc(runs, func(a, b *taskRun) int { return a.from.Compare(b.from) })
	}
	return out
}
