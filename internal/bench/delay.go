package bench

import (
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// delaySamples is the number of round trips in one delay measurement.
const delaySamples = 200

// calibrateDelay sets the clock's lead so that the median one-way delay of a
// relay is the configured one, then measures the delays again and prints them.
func (r *benchRun) calibrateDelay(w io.Writer) error {
	samples, err := measureDelay(domainDelay, r.fleet.clock)
	if err != nil {
		return err
	}
	r.fleet.clock.lead.Store(int64(samples[len(samples)/2] - domainDelay))
	for _, want := range []time.Duration{domainDelay, callerDelay} {
		samples, err := measureDelay(want, r.fleet.clock)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "one-way delay of %v: median %v, p99 %v\n", want,
			samples[len(samples)/2], samples[len(samples)*99/100])
	}
	return nil
}

// measureDelay returns half of each round-trip time through a relay to an echo
// server, sorted.
func measureDelay(delay time.Duration, clock *preciseClock) ([]time.Duration, error) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer echo.Close()
	go func() {
		conn, err := echo.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(conn, conn)
	}()
	relay, err := newRelay(echo.Addr().String(), delay, clock)
	if err != nil {
		return nil, err
	}
	defer relay.close()
	conn, err := net.Dial("tcp", relay.address())
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return measureRoundTrips(conn)
}

func measureRoundTrips(conn net.Conn) ([]time.Duration, error) {
	samples := make([]time.Duration, 0, delaySamples)
	message := make([]byte, payloadSize)
	for range delaySamples {
		began := time.Now()
		if _, err := conn.Write(message); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(conn, message); err != nil {
			return nil, err
		}
		samples = append(samples, time.Since(began)/2)
	}
	slices.Sort(samples)
	return samples, nil
}
