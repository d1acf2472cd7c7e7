package bench

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// queuedJob is a job as the central queue sees it.
type queuedJob struct {
	index int
	// sentAt is the time from the start of the trace to the caller's request.
	sent     time.Duration
	runTimes []time.Duration
}

// jobOrder reports whether waiting job a is served before b.
type jobOrder func(a, b *centralJob) bool

// fewestUnfinishedFirst serves the job with the fewest unfinished tasks first.
func fewestUnfinishedFirst(a, b *centralJob) bool {
	return cmp.Or(cmp.Compare(a.unfinished, b.unfinished), cmp.Compare(a.index, b.index)) < 0
}

// byArrival serves jobs in order of arrival.
func byArrival(a, b *centralJob) bool { return a.index < b.index }

type centralJob struct {
	queuedJob
	unfinished int
	next       int
	heapIndex  int
}

// simulateCentralQueue computes the answer time of each job, by index, under one
// queue that sees every slot. A task holds its slot for the queue's message to the
// worker, its run and the message back.
func simulateCentralQueue(jobs []queuedJob, slots int, before jobOrder) map[int]time.Duration {
	c := &centralQueue{free: slots, answers: make(map[int]time.Duration, len(jobs))}
	c.waiting.less = before
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b queuedJob) int { return cmp.Compare(a.sent, b.sent) })
	for i, j := range sorted {
		j := &centralJob{queuedJob: j, unfinished: len(j.runTimes), heapIndex: -1}
		heap.Push(&c.events, centralEvent{at: j.sent + callerDelay, sequence: i, arrived: j})
	}
	c.sequence = len(sorted)
	for c.events.Len() > 0 {
		c.step()
	}
	return c.answers
}

type centralQueue struct {
	free     int
	sequence int
	events   centralEventHeap
	waiting  centralJobHeap
	answers  map[int]time.Duration
}

// step handles all events of one instant, then assigns the free slots.
func (c *centralQueue) step() {
	now := c.events[0].at
	for c.events.Len() > 0 && c.events[0].at == now {
		e := heap.Pop(&c.events).(centralEvent)
		if e.arrived != nil {
			heap.Push(&c.waiting, e.arrived)
			continue
		}
		c.free++
		c.finishTask(now, e.ended)
	}
	for c.free > 0 && c.waiting.Len() > 0 {
		c.startTask(now, c.waiting.jobs[0])
	}
}

func (c *centralQueue) finishTask(now time.Duration, j *centralJob) {
	j.unfinished--
	if j.heapIndex >= 0 {
		heap.Fix(&c.waiting, j.heapIndex)
	}
	if j.unfinished == 0 {
		c.answers[j.index] = now + callerDelay - j.sent
	}
}

func (c *centralQueue) startTask(now time.Duration, j *centralJob) {
	c.free--
	run := j.runTimes[j.next]
	j.next++
	if j.next == len(j.runTimes) {
		heap.Remove(&c.waiting, j.heapIndex)
		j.heapIndex = -1
	}
	heap.Push(&c.events, centralEvent{at: now + domainDelay + run + domainDelay, sequence: c.sequence, ended: j})
	c.sequence++
}

type centralEvent struct {
	at       time.Duration
	sequence int
	arrived  *centralJob
	ended    *centralJob
}

type centralEventHeap []centralEvent

func (h centralEventHeap) Len() int { return len(h) }
func (h centralEventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h centralEventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *centralEventHeap) Push(x any)   { *h = append(*h, x.(centralEvent)) }
func (h *centralEventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type centralJobHeap struct {
	jobs []*centralJob
	less jobOrder
}

func (h *centralJobHeap) Len() int           { return len(h.jobs) }
func (h *centralJobHeap) Less(i, j int) bool { return h.less(h.jobs[i], h.jobs[j]) }
func (h *centralJobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].heapIndex, h.jobs[j].heapIndex = i, j
}
func (h *centralJobHeap) Push(x any) {
	j := x.(*centralJob)
	j.heapIndex = len(h.jobs)
	h.jobs = append(h.jobs, j)
}
func (h *centralJobHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}
