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
}
