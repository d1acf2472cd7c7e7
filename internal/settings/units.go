package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is written with its unit, such as "100ms".
type Duration struct{ time.Duration }

// UnmarshalText reads a duration such as "100ms" or "1m30s".
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil || string(text) == "0" {
		return fmt.Errorf("%q is not a duration; write a number and a unit (ms, s, m, h), such as \"100ms\"", text)
	}
	d.Duration = value
	return nil
}

// MarshalText returns the shortest form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the shortest form that UnmarshalText reads.
func (d Duration) String() string {
	s := d.Duration.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Bytes is a number of bytes that is written with its unit, such as "256KiB".
type Bytes struct{ N int }

var byteUnits = []struct {
	suffix string
	factor int
}{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText reads a size such as "256KiB".
func (b *Bytes) UnmarshalText(text []byte) error {
	invalid := fmt.Errorf("%q is not a size; write a whole number and a unit (B, KiB, MiB), such as \"256KiB\"", text)
	for _, unit := range byteUnits {
		number, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || n > maxBytes/unit.factor || n < 0 {
			return invalid
		}
		b.N = n * unit.factor
		return nil
	}
	return invalid
}

// maxBytes keeps the product of number and unit from overflowing.
const maxBytes = 1 << 40

// MarshalText returns the size in its largest whole unit.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// String returns the size in its largest whole unit.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if b.N >= unit.factor && b.N%unit.factor == 0 {
			return strconv.Itoa(b.N/unit.factor) + unit.suffix
		}
	}
	return "0B"
}
