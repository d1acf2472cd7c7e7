//go:build review

// Command standin plays the cases of the review. It starts the project's programs as
// separate processes and stands in for the users' platform: store, load balancer, workers
// and clients, as the users' pages describe them. All addresses are loopback addresses.
//
//	standin worker ...       one worker process
//	standin CASE             a case; TROUBLE=0 in the environment leaves out the disruption
//
// A case exits with 0 if the rule held, 1 if it was broken, and 2 if it could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin worker|CASE")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play))
}
