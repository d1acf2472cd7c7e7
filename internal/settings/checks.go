package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
)

var errMissing = errors.New("missing")

func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }

// namePattern matches names that are usable in metrics, table cells and store keys.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func requiredName(value *string) func() error {
	return func() error {
		switch {
		case *value == "":
			return errMissing
		case !namePattern.MatchString(*value):
			return errorf("%q is not a name; use up to 63 letters, digits, dots, hyphens and underscores", *value)
		}
		return nil
	}
}

// maxTextBytes bounds a text that this program does not choose, in bytes.
const maxTextBytes = 1000

// optionalText checks a text that another system chooses.
func optionalText(value *string) func() error {
	return func() error {
		if len(*value) > maxTextBytes {
			return errorf("the text has %d bytes, at most %d are allowed", len(*value), maxTextBytes)
		}
		return nil
	}
}

func intBetween(value *int, low, high int) func() error {
	return func() error {
		if *value < low || *value > high {
			return errorf("%d is out of range, allowed is %d to %d", *value, low, high)
		}
		return nil
	}
}

func bytesBetween(value *Bytes, low, high int) func() error {
	return func() error {
		if value.N < low || value.N > high {
			return errorf("%s is out of range, allowed is %s to %s", value, Bytes{low}, Bytes{high})
		}
		return nil
	}
}

func durationBetween(value *Duration, low, high time.Duration) func() error {
	return func() error {
		if value.Duration < low || value.Duration > high {
			return errorf("%s is out of range, allowed is %s to %s", value, Duration{low}, Duration{high})
		}
		return nil
	}
}

// longerThan checks that a timeout is in range and longer than other, the
// setting named key.
func longerThan(value, other *Duration, key string) func() error {
	return func() error {
		if err := durationBetween(value, minDuration, maxDuration)(); err != nil {
			return err
		}
		if value.Duration <= other.Duration {
			return errorf("%s has to be longer than %s (%s)", value, key, other)
		}
		return nil
	}
}

// atLeast checks that an interval is in range and not shorter than other, the
// setting named key.
func atLeast(value, other *Duration, key string) func() error {
	return func() error {
		if err := durationBetween(value, minDuration, maxDuration)(); err != nil {
			return err
		}
		if value.Duration < other.Duration {
			return errorf("%s is shorter than %s (%s)", value, key, other)
		}
		return nil
	}
}

func oneOf(value *string, allowed ...string) func() error {
	return func() error {
		if !slices.Contains(allowed, *value) {
			return errorf("%q is unknown, allowed is %s", *value, strings.Join(allowed, ", "))
		}
		return nil
	}
}

func requiredAddress(value *string) func() error {
	return func() error { return checkAddress(*value) }
}

func optionalAddress(value *string) func() error {
	return func() error {
		if *value == "" {
			return nil
		}
		return checkAddress(*value)
	}
}

func optionalAddresses(values *[]string) func() error {
	return func() error {
		for i, a := range *values {
			if err := checkAddress(a); err != nil {
				return err
			}
			if slices.Contains((*values)[:i], a) {
				return errorf("%s is listed twice", a)
			}
		}
		return nil
	}
}

// checkAddress accepts an IP address, or localhost, with a port. Other host names
// are rejected because the processes connect by IP address only.
func checkAddress(value string) error {
	if value == "" {
		return errMissing
	}
	if host, port, err := net.SplitHostPort(value); err == nil && host == "localhost" {
		value = net.JoinHostPort("127.0.0.1", port)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errorf("%q is not an address; write an IP address and a port, such as \"127.0.0.1:7000\"", value)
	}
	return nil
}

func isLoopback(value string) bool {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func checkReadable(path string) error {
	if path == "" {
		return errorf("missing, and tls.mode is %q", TLSOn)
	}
	f, err := os.Open(path)
	if err != nil {
		return errorf("%v", err)
	}
	return f.Close()
}
