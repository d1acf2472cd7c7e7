//go:build review2

package main

import (
	"net/http"
	"time"
)

func init() { cases["config"] = caseConfig }

// configApply is configApplyMs of the small deployments.
const configApply = 2 * time.Second

// caseConfig changes the configuration: one route goes, two come. One of the new ones wants
// its jobs done within two days.
func caseConfig() {
	kept, dropped, added, weekly := newRoute("keep11"), newRoute("gone22"), newRoute("come33"), newRoute("week44")
	weekly.TargetDurationMs = 60
	if trouble {
		weekly.TargetDurationMs = (48 * time.Hour).Milliseconds()
	}
	s := newSystem(3, 3, configuration(7, kept, dropped))
	body, deadline := job(50), 1500*time.Millisecond
	for _, e := range s.entries {
		waitFor(10*time.Second, "no job is served before the change", func() bool {
			status, _ := call("POST", e.callers, hostName, kept.Prefix+newID(), deadline, body)
			return status == http.StatusOK
		})
	}
	s.store.put("op/config", configuration(9, kept, added, weekly))
	record("operator: version 9 is acknowledged")
	time.Sleep(configApply + time.Second)
	late := 0
	for range 10 {
		for _, e := range s.entries {
			for _, r := range []route{added, weekly} {
				if status, _ := call("POST", e.callers, hostName, r.Prefix+newID(), deadline, body); status == http.StatusNotFound {
					late++
				}
			}
			if status, _ := call("POST", e.callers, hostName, dropped.Prefix+newID(), deadline, body); status == http.StatusOK {
				late++
			}
			if status, _ := call("POST", e.callers, hostName, kept.Prefix+newID(), deadline, body); status != http.StatusOK {
				stopRun("the route that stays is not served")
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	verdict(late > 0, "%d of 90 requests, sent %v and more after version 9 was acknowledged, are handled as only version 7 allows", late, configApply+time.Second)
}
