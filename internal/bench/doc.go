// Package bench runs the real entry and agent daemons on loopback in one
// process, sends them a seeded trace of jobs under a named scenario, and
// compares the answer times with those that a single central queue would reach
// on the same trace.
//
// Only the network delay, the callers and the endpoints are simulated. Every
// caller and link connection passes through a relay that delays it. Injected
// faults close, reset or stall relays.
package bench
