package entry

import (
	"github.com/poplarlever/poplarlever/internal/core/limits"
)

// applyAllotments applies the allotments of the accounts with a limit.
func (c *Core) applyAllotments() {
	allotted := make(map[string]int)
	for name, a := range c.policy.Accounts {
		if a.MaxRunning == 0 {
			continue
		}
		allotted[name] = c.evenShare(a.MaxRunning)
		if c.allotted != nil {
			allotted[name] = min(a.MaxRunning, c.allotted[name])
		}
	}
	c.usage.Allot(allotted)
}

// evenShare returns this entry's part of a limit that is split evenly over the known
// entries. The first entries by name get one more each until the remainder is used up.
// Each entry gets at least one, so that no caller waits at an entry without a share; a
// limit below the number of entries is thus exceeded by the difference.
func (c *Core) evenShare(limit int) int {
	before, entries := 0, 1
	for _, p := range c.peers {
		if p.Name == c.cfg.Name {
			continue
		}
		entries++
		if p.Name < c.cfg.Name {
			before++
		}
	}
	share := limit / entries
	if before < limit%entries {
		share++
	}
	return min(limit, max(1, share))
}

// Needs returns what the entry uses and could use of each account with a limit.
func (c *Core) Needs() map[string]limits.Need {
	needs := make(map[string]limits.Need)
	for name, a := range c.policy.Accounts {
		if a.MaxRunning != 0 {
			needs[name] = limits.Need{
				Limit: max(0, a.MaxRunning), Used: c.usage.Account(name).Count(), Waiting: c.queue.queuedTasks(name),
			}
		}
	}
	return needs
}

// holdUsage keeps counting an attempt that is given up until it can no longer be running.
func (c *Core) holdUsage(a *attempt) {
	c.usage.Hold(a.id, a.job.spec.Account, a.latestEnd)
}
