package entry

import (
	"net"
	"slices"
	"strings"
)

// Route maps requests for a host and a path prefix to a job type.
type Route struct {
	Host, PathPrefix string
	Service, JobType string
}

// Host is the host of a route or of a request, in a form in which equal ones compare equal.
// Port is empty if none is named.
type Host struct{ Name, Port string }

// ParseHost parses a host with or without a port. Letter case, a final dot and the brackets
// of an IPv6 address make no difference.
func ParseHost(s string) Host {
	name, port, err := net.SplitHostPort(s)
	if err != nil {
		name, port = strings.TrimSuffix(strings.TrimPrefix(s, "["), "]"), ""
	}
	return Host{strings.TrimSuffix(strings.ToLower(name), "."), port}
}

// Router finds the route of a request. It is immutable and safe for concurrent use.
type Router struct{ hosts map[Host]*hostRoutes }

// hostRoutes holds the routes of a host.
type hostRoutes struct {
	byPrefix map[string]Route
	// lengths are the lengths of the prefixes, in bytes, the longest first.
	lengths []int
}

// NewRouter returns a router. Of two routes with one host and prefix, the first counts.
func NewRouter(routes []Route) *Router {
	r := &Router{hosts: make(map[Host]*hostRoutes)}
	for _, route := range routes {
		host := ParseHost(route.Host)
		if r.hosts[host] == nil {
			r.hosts[host] = &hostRoutes{byPrefix: make(map[string]Route)}
		}
		r.hosts[host].add(route)
	}
	return r
}

// Find returns the route of the host with the longest prefix of the path, and whether there
// is one. A route that names the port of the host goes before one that names none.
func (r *Router) Find(host, path string) (Route, bool) {
	h := ParseHost(host)
	if route, found := r.hosts[h].find(path); found || h.Port == "" {
		return route, found
	}
	return r.hosts[Host{Name: h.Name}].find(path)
}

func (h *hostRoutes) add(route Route) {
	if _, taken := h.byPrefix[route.PathPrefix]; taken {
		return
	}
	h.byPrefix[route.PathPrefix] = route
	n := len(route.PathPrefix)
	at, known := slices.BinarySearchFunc(h.lengths, n, func(length, n int) int { return n - length })
	if !known {
		h.lengths = slices.Insert(h.lengths, at, n)
	}
}

func (h *hostRoutes) find(path string) (Route, bool) {
	if h == nil {
		return Route{}, false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if route, found := h.byPrefix[path[:n]]; found {
			return route, true
		}
	}
	return Route{}, false
}
