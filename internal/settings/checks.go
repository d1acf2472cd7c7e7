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

func fault(format string, args ...any) error { return fmt.Errorf(format, args...) }

// nameForm keeps names usable in metrics, table cells and store keys.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func required(value *string) func() error {
	return func() error {
		switch {
		case *value == "":
			return errMissing
		case !nameForm.MatchString(*value):
			return fault("%q is not a name; use up to 63 letters, digits, dots, hyphens and underscores", *value)
		}
		return nil
	}
}

func optionalName(value *string) func() error {
	return func() error {
		if *value == "" {
			return nil
		}
		return required(value)()
	}
}

func between(value *int, low, high int) func() error {
	return func() error {
		if *value < low || *value > high {
			return fault("%d is out of range, allowed is %d to %d", *value, low, high)
		}
		return nil
	}
}

func bytesBetween(value *Bytes, low, high int) func() error {
	return func() error {
		if value.N < low || value.N > high {
			return fault("%s is out of range, allowed is %s to %s", value, Bytes{low}, Bytes{high})
		}
		return nil
	}
}

func within(value *Duration, low, high time.Duration) func() error {
	return func() error {
		if value.Duration < low || value.Duration > high {
			return fault("%s is out of range, allowed is %s to %s", value, Duration{low}, Duration{high})
		}
		return nil
	}
}

// longer checks that a timeout exceeds another one that it waits for.
func longer(value, than *Duration, key string) func() error {
	return func() error {
		if err := within(value, shortest, longest)(); err != nil {
			return err
		}
		if value.Duration <= than.Duration {
			return fault("%s has to be longer than %s (%s)", value, key, than)
		}
		return nil
	}
}

// notShorter checks that an interval is at least another one.
func notShorter(value, than *Duration, key string) func() error {
	return func() error {
		if err := within(value, shortest, longest)(); err != nil {
			return err
		}
		if value.Duration < than.Duration {
			return fault("%s is shorter than %s (%s)", value, key, than)
		}
		return nil
	}
}

func oneOf(value *string, allowed ...string) func() error {
	return func() error {
		if !slices.Contains(allowed, *value) {
			return fault("%q is unknown, allowed is %s", *value, strings.Join(allowed, ", "))
		}
		return nil
	}
}

func address(value *string) func() error {
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
				return fault("%s is listed twice", a)
			}
		}
		return nil
	}
}

// checkAddress accepts an IP address with a port: processes are reached by IP
// address, so a name would be looked up by nobody.
func checkAddress(value string) error {
	if value == "" {
		return errMissing
	}
	if host, port, err := net.SplitHostPort(value); err == nil && host == "localhost" {
		value = net.JoinHostPort("127.0.0.1", port)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fault("%q is not an address; write an IP address and a port, such as \"127.0.0.1:7000\"", value)
	}
	return nil
}

func loopback(value string) bool {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func readableFile(path string) error {
	if path == "" {
		return fault("missing, and tls.mode is %q", TLSOn)
	}
	f, err := os.Open(path)
	if err != nil {
		return fault("%v", err)
	}
	return f.Close()
}
