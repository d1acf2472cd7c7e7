package agent

import (
	"math"
	"time"
)

// Thousands of short tasks a second change the room of every leased worker all the
// time, and reporting each change to every entry costs an entry more than its own
// tasks. So only a change that can affect an entry's next decision is reported at
// once. The cost to measure is the number of messages that an entry receives for
// each task that it runs.

const (
	// reportIntervalPerLink, times the number of linked entries, is the shortest time
	// between two reports of changed room to an entry that has tasks waiting for room,
	// apart from those carried by other messages. It limits an agent to 200 reports a
	// second, which allows three or four entries a report at each tick of the loop.
	reportIntervalPerLink = 5 * time.Millisecond
	// noClaimFactor multiplies the interval for an entry without waiting tasks. With a
	// few entries the result is the time that a job of short tasks can wait.
	noClaimFactor = 3
	// waitsPerReport times the time that the entry lets a dispatch wait is the shortest
	// interval for it. That time grows with the delay with which the entry reads messages,
	// and a report that the next one overtakes before it is read only adds to the delay.
	waitsPerReport = 4
	// minRoomChange is the smallest change of a worker's free cores that is reported.
	minRoomChange = 0.5
	// scarceShare is the free share of a worker's cores below which changes are
	// reported. Above it several tasks fit before and after a change.
	scarceShare = 0.3
)

// roomReportDue reports whether a changed room has to be reported to the entry.
func (c *Core) roomReportDue(now time.Time, e *entryState) bool {
	if !c.endpoint.leased || e.draining() {
		return false
	}
	interval := reportIntervalPerLink * time.Duration(len(c.entries.linked))
	if e.claim.Waiting == 0 {
		interval *= noClaimFactor
	}
	interval = max(interval, waitsPerReport*e.waitForRoom)
	if now.Sub(e.lastSent) < interval {
		return false
	}
	reported, room := e.reportedRoom.Cores, c.roomFor(e).Cores
	scarce := scarceShare * c.endpoint.size.Cores
	return math.Abs(room-reported) >= minRoomChange && min(room, reported) < scarce
}
