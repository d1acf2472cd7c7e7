// Package processtest runs the program as separate processes, kills, suspends and
// stops them, and compares the answers that callers got with the tasks that ran. It
// contains only tests.
package processtest
