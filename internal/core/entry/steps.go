package entry

// countSteps counts the unfinished tasks of each step.
func (j *job) countSteps() {
	j.unfinishedByStep = make([]int, len(j.spec.Steps))
	for _, t := range j.spec.Tasks {
		if t.Step < len(j.unfinishedByStep) {
			j.unfinishedByStep[t.Step]++
		}
	}
}

// stepReady reports whether the steps that a step comes after are done.
func (j *job) stepReady(step int) bool {
	if step >= len(j.spec.Steps) {
		return true
	}
	for _, before := range j.spec.Steps[step].After {
		if j.unfinishedByStep[before] > 0 {
			return false
		}
	}
	return true
}

// taskDone counts a finished task. When it was the last of its step, the tasks of steps
// that only waited for this step are queued, unless the job is ending: a task may complete
// before its stop takes effect.
func (c *Core) taskDone(j *job, task int) {
	step := j.spec.Tasks[task].Step
	if step >= len(j.unfinishedByStep) {
		return
	}
	if j.unfinishedByStep[step]--; j.unfinishedByStep[step] > 0 || j.phase != jobOpen {
		return
	}
	for i := range j.tasks {
		next := j.spec.Tasks[i].Step
		if j.follows(next, step) && j.stepReady(next) {
			c.queue.push(j, i)
		}
	}
}

func (j *job) follows(next, step int) bool {
	for _, before := range j.spec.Steps[next].After {
		if before == step {
			return true
		}
	}
	return false
}

// step returns the step of a task. A job without steps has one without constraints.
func (j *job) step(task int) Step {
	if i := j.spec.Tasks[task].Step; i < len(j.spec.Steps) {
		return j.spec.Steps[i]
	}
	return Step{}
}

// runningAt counts the tasks of the step that are dispatched to the worker.
func (j *job) runningAt(w *worker, step int) int {
	n := 0
	for i := range j.tasks {
		if a := j.tasks[i].attempt; a != nil && a.worker == w && j.spec.Tasks[i].Step == step {
			n++
		}
	}
	return n
}
