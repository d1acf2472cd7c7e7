package agent

import (
	"math"
	"time"
)

// This file answers one load pattern: thousands of short tasks a second change
// the room of every leased worker all the time, and telling every entry of each
// change costs an entry more than its own tasks. An entry hears at once only of
// what can change its next decision. The rule is judged by the messages that an
// entry receives for each task that it runs.

const (
	// claimedPause and unclaimedPause are the shortest times between two reports of
	// changed room to an entry, apart from those that travel with other messages:
	// for one that has tasks waiting for room, and for one that has none. The first
	// is a tick of the loops; the second is the time that a job with short tasks can
	// wait.
	claimedPause   = 20 * time.Millisecond
	unclaimedPause = 60 * time.Millisecond
	// roomGrain is the smallest change of a worker's cores that is reported.
	roomGrain = 0.5
	// plentyShare is the free part of a worker's cores from which on a change says
	// little: several tasks fit before and after it.
	plentyShare = 0.3
)

// roomNews tells whether the entry should hear of room that has appeared or gone.
func (c *Core) roomNews(now time.Time, e *entryState) bool {
	if !c.endpoint.leased {
		return false
	}
	pause := unclaimedPause
	if e.claim.Waiting > 0 {
		pause = claimedPause
	}
	if now.Sub(e.lastSent) < pause {
		return false
	}
	told, room := e.toldRoom.Cores, c.Room().Cores
	plenty := plentyShare * c.endpoint.size.Cores
	return math.Abs(room-told) >= roomGrain && min(room, told) < plenty
}
