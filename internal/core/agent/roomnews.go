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
	// linkPause times the number of linked entries is the shortest time between two
	// reports of changed room to an entry that has tasks waiting for room, apart from
	// those that travel with other messages. It bounds an agent to 200 reports a
	// second, which three or four entries get as often as the loops tick.
	linkPause = 5 * time.Millisecond
	// unclaimedFactor multiplies the pause for an entry without waiting tasks. With a
	// few entries that makes the time that a job of short tasks can wait.
	unclaimedFactor = 3
	// roomGrain is the smallest change of a worker's cores that is reported.
	roomGrain = 0.5
	// plentyShare is the free part of a worker's cores from which on a change says
	// little: several tasks fit before and after it.
	plentyShare = 0.3
)

// roomNews tells whether the entry should hear of room that has appeared or gone.
func (c *Core) roomNews(now time.Time, e *entryState) bool {
	if !c.endpoint.leased || e.draining() {
		return false
	}
	pause := linkPause * time.Duration(len(c.entries.linked))
	if e.claim.Waiting == 0 {
		pause *= unclaimedFactor
	}
	if now.Sub(e.lastSent) < pause {
		return false
	}
	told, room := e.toldRoom.Cores, c.Room().Cores
	plenty := plentyShare * c.endpoint.size.Cores
	return math.Abs(room-told) >= roomGrain && min(room, told) < plenty
}
