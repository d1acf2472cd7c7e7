//go:build review

// Command review-3 plays the cases of review/ with the project's own programs and stand-ins
// for the platform's store, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
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
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		s.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "in-turn":
		err = caseInTurn(s, trouble)
	case "frozen":
		err = caseFrozen(s, trouble)
	case "suspended":
		err = caseSuspended(s, trouble)
	case "late-copy":
		err = caseLateCopy(s, trouble)
	case "refused":
		err = caseRefused(s, trouble)
	default:
		err = fmt.Errorf("there is no case %q", os.Args[1])
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
