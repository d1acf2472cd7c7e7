package table

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// The functions of this file read the values of a stored table, which was accepted before
// this program saw it: by the users' platform, or by another version of the program. The
// bounds of what operators may write do not apply to it.

// maxStoredCount bounds whole numbers: up to it, all are exact in JSON.
const maxStoredCount = 1 << 53

// reading says how well the program can apply a stored value.
type reading uint8

const (
	// unreadable values count as empty.
	unreadable reading = iota
	// outOfRange values count as the nearest that the program can calculate with.
	outOfRange
	exact
)

func storedText(s string) (string, reading) { return s, exact }

func storedHost(s string) (string, reading) { return strings.ToLower(s), exact }

// storedPath reads a prefix of paths. No path begins with one that has no slash in front.
func storedPath(s string) (string, reading) { return s, readable(strings.HasPrefix(s, "/")) }

func storedHash(s string) (string, reading) {
	s, ok := canonicalHash(s)
	return s, readable(ok)
}

func storedDuration(s string) (string, reading) {
	d, err := time.ParseDuration(s)
	return d.String(), readable(err == nil && d > 0)
}

// storedNumber returns a function that reads numbers and bounds them.
func storedNumber(least, most float64) func(string) (string, reading) {
	return func(s string) (string, reading) {
		f, ok := parseFloat(s)
		if !ok {
			return "", unreadable
		}
		return strconv.FormatFloat(min(max(f, least), most), 'f', -1, 64), inRange(f, least, most)
	}
}

// storedCount returns a function that reads whole numbers, bounds them by least and
// maxStoredCount, and rounds others towards zero.
func storedCount(least int) func(string) (string, reading) {
	return func(s string) (string, reading) {
		f, ok := parseFloat(s)
		if !ok {
			return "", unreadable
		}
		n := min(max(math.Trunc(f), float64(least)), maxStoredCount)
		return strconv.FormatInt(int64(n), 10), inRange(f, n, n)
	}
}

// parseFloat parses a number; one that is too large becomes an infinity.
func parseFloat(s string) (float64, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return f, (err == nil || math.IsInf(f, 0)) && !math.IsNaN(f)
}

func readable(ok bool) reading {
	if ok {
		return exact
	}
	return unreadable
}

func inRange(f, least, most float64) reading {
	if f >= least && f <= most {
		return exact
	}
	return outOfRange
}
