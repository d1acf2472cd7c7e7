//go:build review2

package main

import (
	"net/http"
	"time"
)

func init() { cases["host"] = caseHost }

// caseHost adds a queue whose host is written with capitals. Clients send the host as the
// configuration has it.
func caseHost() {
	kept, added := newRoute("keep11"), newRoute("come33")
	if trouble {
		added.Host = "Nony24.Example"
	}
	s := newSystem(3, 3, configuration(7, kept))
	body, deadline := job(50), 1500*time.Millisecond
	s.store.put("op/config", configuration(9, kept, added))
	record("operator: version 9 is acknowledged")
	time.Sleep(configApply + time.Second)
	refused, sent := 0, 0
	for range 10 {
		for _, e := range s.entries {
			sent++
			if status, _ := call("POST", e.callers, added.Host, added.Prefix+newID(), deadline, body); status == http.StatusNotFound {
				refused++
			}
			if status, _ := call("POST", e.callers, hostName, kept.Prefix+newID(), deadline, body); status != http.StatusOK {
				stopRun("the route that stays is not served")
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	verdict(refused > 0, "%d of %d requests, sent %v and more after version 9 was acknowledged, are refused with 404 though the route is there", refused, sent, configApply+time.Second)
}
