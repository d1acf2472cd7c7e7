//go:build review2

package main

import (
	"encoding/json"
	"fmt"
)

// route is a queue of the operator's configuration.
type route struct {
	Name             string  `json:"name"`
	Host             string  `json:"host"`
	Prefix           string  `json:"prefix"`
	Kind             string  `json:"kind"`
	TimeoutMs        int64   `json:"timeoutMs"`
	TargetDurationMs int64   `json:"targetDurationMs"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service"`
	MaxAttempts      int     `json:"maxAttempts"`
	StretchFactor    float64 `json:"stretchFactor"`
}

const hostName = "nony24.example"

// newRoute returns a route like those of the users' site files.
func newRoute(name string) route {
	return route{
		Name: "r-" + name, Host: hostName, Prefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMs: 1500, TargetDurationMs: 60,
		Service: serviceName, MaxAttempts: 4, StretchFactor: 1.6,
	}
}

// configuration returns the value of op/config.
func configuration(version int, routes ...route) []byte {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": true, "spare": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		stopRun("%v", err)
	}
	return value
}

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"memMb"`
	EstimateMs   int    `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

// job returns the body of a job that is answered when it has ended. Each task runs for ms.
func job(ms int, steps ...step) []byte {
	if len(steps) == 0 {
		steps = []step{{Count: 2, CPU: 3100, MemMB: 64, EstimateMs: ms}}
	}
	body, err := json.Marshal(map[string]any{"spec": fmt.Sprintf("%d job", ms), "bestEffort": true, "steps": steps})
	if err != nil {
		stopRun("%v", err)
	}
	return body
}

var lastJob uint64

// newID returns the ID of a new job.
func newID() string {
	lastJob++
	return fmt.Sprintf("5c0e7a21%08x", lastJob)
}
