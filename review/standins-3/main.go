//go:build review

// Command review-3 plays the cases of review/ with the project's own programs and stand-ins
// for the platform's store, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func main() {
	record := "record.txt"
	if len(os.Args) > 2 {
		record = os.Args[2]
	}
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := 2
	defer func() { os.Exit(code) }()
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "in-turn":
		err = caseInTurn(s, trouble)
	case "frozen":
		err = caseFrozen(s, trouble)
	case "suspended":
		err = caseSuspended(s, trouble)
	case "refused":
		err = caseRefused(s, trouble)
	case "mix", "config-mix":
		seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
		seconds, _ := strconv.Atoi(os.Args[4])
		s.putConfig(false, queues...)
		if err := s.build(3, 4, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return
		}
		if err := s.ready(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return
		}
		if os.Args[1] == "config-mix" {
			configMix(s, seed, time.Duration(seconds)*time.Second, os.Args[5])
		} else {
			mix(s, seed, time.Duration(seconds)*time.Second, os.Args[5])
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	code = 0
	s.mu.Lock()
	for _, b := range s.broken {
		fmt.Println(b)
		code = 1
	}
	s.mu.Unlock()
}
