package coretest

import (
	"math/rand/v2"
	"time"
)

// SoakSteps is the number of actions in each run of Soak.
const SoakSteps = 150

// Summary counts what happened in the runs of a soak.
type Summary struct {
	Seeds  int `json:"seeds"`
	Jobs   int `json:"jobs"`
	Starts int `json:"starts"`
	Faults int `json:"faults"`
}

// Failure is a run that violated a guarantee or an invariant, or panicked.
type Failure struct {
	Seed  uint64
	Trace uint64
	Err   error
}

// Soak runs seeds derived from base until the duration has passed, at least one,
// and calls report after each. It stops at the first failure and returns it, or
// nil if there was none. Violated invariants are failures only if they are fatal;
// see invariant.SetFatal.
func Soak(base uint64, duration time.Duration, report func(Summary)) (Summary, *Failure) {
	seeds := rand.New(rand.NewPCG(base, 2))
	var sum Summary
	for end := time.Now().Add(duration); ; {
		seed := seeds.Uint64()
		result, err := Run(seed, SoakSteps)
		sum.add(result)
		report(sum)
		if err != nil {
			return sum, &Failure{Seed: seed, Trace: result.Trace, Err: err}
		}
		if !time.Now().Before(end) {
			return sum, nil
		}
	}
}

func (s *Summary) add(r Result) {
	s.Seeds++
	s.Jobs += r.Submitted
	s.Starts += r.Starts
	s.Faults += r.Faults
}
