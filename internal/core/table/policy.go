package table

import (
	"strconv"
	"time"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// Policy converts a valid table to the policy of the entry core.
func Policy(revision uint64, t Table) entry.Policy {
	p := entry.Policy{
		Revision: revision,
		Services: make(map[string]entry.ServicePolicy),
		Accounts: make(map[string]entry.AccountPolicy),
	}
	for _, k := range t.Keys() {
		cells := t.rows[k]
		switch k.Kind {
		case Service:
			p.Services[k.Name] = servicePolicy(cells)
		case Job:
			service := p.Services[k.Service]
			service.JobTypes[k.Name] = jobTypePolicy(cells, service)
			if cells[ColumnHost] != "" && cells[ColumnPathPrefix] != "" {
				p.Routes = append(p.Routes, entry.Route{
					Host: cells[ColumnHost], PathPrefix: cells[ColumnPathPrefix], Service: k.Service, JobType: k.Name,
				})
			}
		case Account:
			p.Accounts[k.Name] = accountPolicy(cells)
		}
	}
	return p
}

func servicePolicy(c Cells) entry.ServicePolicy {
	return entry.ServicePolicy{
		JobTypes:        make(map[string]entry.JobTypePolicy),
		MaxPayload:      integer(c[ColumnMaxPayload]),
		DefaultDeadline: duration(c[ColumnDefaultDeadline]),
	}
}

func jobTypePolicy(c Cells, service entry.ServicePolicy) entry.JobTypePolicy {
	p := entry.JobTypePolicy{
		MaxTasks:        integer(c[ColumnMaxTasks]),
		MaxPayload:      integer(c[ColumnMaxPayload]),
		DefaultDeadline: duration(c[ColumnDefaultDeadline]),
		Priority:        integer(c[ColumnPriority]),
		MaxAttempts:     integer(c[ColumnMaxAttempts]),
		ResponseTarget:  duration(c[ColumnResponseTarget]),
		ResponseFactor:  number(c[ColumnResponseFactor]),
	}
	if p.ResponseFactor == 0 {
		p.ResponseFactor = 1
	}
	if p.MaxPayload == 0 {
		p.MaxPayload = service.MaxPayload
	}
	if p.DefaultDeadline == 0 {
		p.DefaultDeadline = service.DefaultDeadline
	}
	return p
}

func accountPolicy(c Cells) entry.AccountPolicy {
	p := entry.AccountPolicy{
		Weight:      number(c[ColumnWeight]),
		MaxRunning:  integer(c[ColumnMaxRunning]),
		MaxQueued:   integer(c[ColumnMaxQueued]),
		TokenSHA256: c[ColumnTokenSHA256],
	}
	if p.Weight == 0 {
		p.Weight = 1
	}
	return p
}

// The parsing functions ignore errors: the cells of a valid table parse, and an empty
// cell means zero.

func integer(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

func number(s string) float64 {
	f, _ := strconv.ParseFloat(s, 64)
	return f
}

func duration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}
