// Package hostport checks network addresses of the form host:port that other processes
// send.
package hostport

import (
	"net/url"
	"strconv"

	"github.com/joomcode/errorx"
)

// ErrInvalid is the type of the errors of Check.
var ErrInvalid = errorx.NewNamespace("hostport").NewType("invalid")

// maxBytes is the longest address: a host name of 253 bytes, a colon and a port.
const maxBytes = 253 + 1 + 5

// Check returns an error unless the address is a host or an IP address, a colon and a port
// from 1 to 65535, and nothing else, so that a URL can be built from it.
func Check(address string) error {
	if len(address) > maxBytes {
		return ErrInvalid.New("an address has %d bytes", len(address))
	}
	u, err := url.Parse("http://" + address)
	if err != nil {
		return ErrInvalid.Wrap(err, "the address %q cannot be parsed", address)
	}
	if u.Host != address || u.Hostname() == "" {
		return ErrInvalid.New("the address %q is not a host and a port", address)
	}
	if port, err := strconv.ParseUint(u.Port(), 10, 16); err != nil || port == 0 {
		return ErrInvalid.New("the port of %q is not 1 to 65535", address)
	}
	return nil
}
