package store

// Paths of the HTTP interface. Every call is a POST of a Request. It returns a
// Response, or a status code that identifies the error.
const (
	PathGet          = "/v1/get"
	PathList         = "/v1/list"
	PathListVersions = "/v1/list-versions"
	PathSwap         = "/v1/compare-and-swap"
	PathDelete       = "/v1/delete"
	PathGrant        = "/v1/lease/grant"
	PathKeepAlive    = "/v1/lease/keep-alive"
	PathRevoke       = "/v1/lease/revoke"
	PathWatch        = "/v1/watch"
)

// Request holds the arguments of any call; each call ignores the fields that it
// does not use.
type Request struct {
	Key     string  `json:"key,omitempty"`
	Prefix  string  `json:"prefix,omitempty"`
	Value   []byte  `json:"value,omitempty"`
	Version uint64  `json:"version,omitempty"`
	Lease   LeaseID `json:"lease,omitempty"`
	// TTLMillis is the TTL of a new lease, in milliseconds.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
}

// Response holds the results of any call; fields that a call does not set are
// omitted.
type Response struct {
	Version uint64   `json:"version,omitempty"`
	Lease   LeaseID  `json:"lease,omitempty"`
	Entries []Entry  `json:"entries,omitempty"`
	Deleted []string `json:"deleted,omitempty"`
	// DeletedAt holds the versions of Deleted, in the same order. A store of an older
	// version omits it.
	DeletedAt []uint64 `json:"deleted_at,omitempty"`
}

// WatchResponse returns the response of a watch.
func WatchResponse(c Changes) Response {
	r := Response{Version: c.Version, Entries: c.Entries}
	for _, d := range c.Deleted {
		r.Deleted, r.DeletedAt = append(r.Deleted, d.Key), append(r.DeletedAt, d.Version)
	}
	return r
}

// changes returns the changes in the response of a watch. A deletion without a version has
// that of the response.
func (r Response) changes() Changes {
	c := Changes{Version: r.Version, Entries: r.Entries}
	for i, key := range r.Deleted {
		d := Deletion{Key: key, Version: r.Version}
		if len(r.DeletedAt) == len(r.Deleted) {
			d.Version = r.DeletedAt[i]
		}
		c.Deleted = append(c.Deleted, d)
	}
	return c
}
