package agentd

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"net/netip"
	"net/url"

	"github.com/joomcode/errorx"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 64 << 10
	// maxLeaveBytes bounds the body of a leave request.
	maxLeaveBytes = 1 << 10
	// maxSlots bounds the slots of one worker.
	maxSlots = 1024
	// maxTextBytes bounds each name and URL in an announcement.
	maxTextBytes = 200
)

// errMalformedAnnouncement is the type of all errors of invalid announcements.
var errMalformedAnnouncement = errorx.NewNamespace("announcement").NewType("malformed")

// Announcement is the body of POST /v1/announce. The endpoint repeats it at
// least once a second.
type Announcement struct {
	Service     string `json:"service"`
	URL         string `json:"url"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Join increases each time the endpoint starts to accept tasks; the Unix time in
	// milliseconds will do. Without it, an endpoint that has left can return only
	// after announceTimeout.
	Join uint64 `json:"join,omitempty"`
	// Number increases with each announcement of one Join.
	Number uint64 `json:"number,omitempty"`
	// Leaving is set in announcements between a leave and the next join.
	Leaving bool `json:"leaving,omitempty"`
	// Running lists the attempts that the endpoint is running, by the names from
	// HeaderAttempt.
	Running      []string `json:"running,omitempty"`
	Cores        float64  `json:"cores,omitempty"`
	MemoryBytes  uint64   `json:"memory_bytes,omitempty"`
	Accelerators uint32   `json:"accelerators,omitempty"`
}

// readAnnouncement decodes and validates one announcement. Missing Connections are
// set to maxConnections.
func readAnnouncement(r io.Reader) (Announcement, error) {
	var in Announcement
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, errMalformedAnnouncement.Wrap(err, "the announcement cannot be decoded")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return in, errMalformedAnnouncement.New("the announcement is followed by other data")
	}
	if in.Connections == 0 {
		in.Connections = maxConnections
	}
	return in, in.validate()
}

func (a Announcement) validate() error {
	switch {
	case a.Service == "" || len(a.Service) > maxTextBytes:
		return errMalformedAnnouncement.New("service has to have 1 to %d bytes", maxTextBytes)
	case a.Slots < 1 || a.Slots > maxSlots:
		return errMalformedAnnouncement.New("slots have to be 1 to %d", maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return errMalformedAnnouncement.New("connections have to be 1 to %d", maxConnections)
	case len(a.Running) > maxSlots:
		return errMalformedAnnouncement.New("more than %d running attempts are listed", maxSlots)
	case a.Cores < 0 || math.IsInf(a.Cores, 0):
		return errMalformedAnnouncement.New("cores have to be zero or more")
	}
	return validateURL(a.URL)
}

// validateURL accepts only addresses of this machine, so that an announcement cannot
// direct tasks to another machine.
func validateURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || len(text) > maxTextBytes || u.Scheme != "http" || u.User != nil || u.Fragment != "" || u.Port() == "" {
		return errMalformedAnnouncement.New("url has to be http with a numeric address and a port")
	}
	address, err := netip.ParseAddr(u.Hostname())
	if err != nil {
		return errMalformedAnnouncement.New("url has to name a numeric address, not %q", u.Hostname())
	}
	if !address.IsLoopback() && !isLocalAddress(address) {
		return errMalformedAnnouncement.New("url names %s, which is not on this machine", address)
	}
	return nil
}

func isLocalAddress(address netip.Addr) bool {
	own, err := net.InterfaceAddrs()
	if err != nil {
		return false
	}
	for _, a := range own {
		if n, ok := a.(*net.IPNet); ok {
			if ip, ok := netip.AddrFromSlice(n.IP); ok && ip.Unmap() == address.Unmap() {
				return true
			}
		}
	}
	return false
}
