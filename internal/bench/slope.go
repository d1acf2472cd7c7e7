package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"
)

// SlopePrefix is the prefix of the scenarios that measure how a cost depends on a
// size.
const SlopePrefix = "slope-"

// repetitions is the number of measurements at each size.
const repetitions = 5

// SlopeResult holds the figures of one slope scenario.
type SlopeResult struct {
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Series   []*Series `json:"series"`
	// Figures holds single values in addition to the fits, by name.
	Figures map[string]float64 `json:"figures,omitempty"`
}

// slopeRun collects the figures of one slope scenario.
type slopeRun struct {
	seed   uint64
	result *SlopeResult
}

func (r *slopeRun) addSeries(name, x, y string) *Series {
	s := &Series{Name: name, X: x, Y: y}
	r.result.Series = append(r.result.Series, s)
	return s
}

func (r *slopeRun) setFigure(name string, value float64) { r.result.Figures[name] = value }

var slopes = map[string]func(*slopeRun) error{
	"slope-links-cpu":     measureLinkCPU,
	"slope-agent-cpu":     measureAgentCPU,
	"slope-links-memory":  measureLinkMemory,
	"slope-links-bytes":   measureLinkBytes,
	"slope-task-cpu":      measureTaskCPU,
	"slope-starts":        measureStartCPU,
	"slope-config":        measureConfigPropagation,
	"slope-entries":       measureEntryExchange,
	"slope-entry-process": measureEntryProcess,
	"slope-agent-process": measureAgentProcess,
	"slope-task-wire":     measureTaskWire,
}

// Slopes returns the sorted names of the slope scenarios.
func Slopes() []string { return slices.Sorted(maps.Keys(slopes)) }

// IsSlope reports whether the scenario's name has SlopePrefix.
func IsSlope(scenario string) bool { return strings.HasPrefix(scenario, SlopePrefix) }

// RunSlope runs a slope scenario and fits a line to each series. It writes the
// points and fits to w.
func RunSlope(name string, seed uint64, w io.Writer) (SlopeResult, error) {
	measure, ok := slopes[name]
	if !ok {
		return SlopeResult{}, fmt.Errorf("unknown scenario %q", name)
	}
	result := SlopeResult{Scenario: name, Seed: seed, Figures: make(map[string]float64)}
	if err := measure(&slopeRun{seed: seed, result: &result}); err != nil {
		return SlopeResult{}, err
	}
	for _, s := range result.Series {
		s.fit()
		s.print(w)
	}
	for _, name := range slices.Sorted(maps.Keys(result.Figures)) {
		fmt.Fprintf(w, "%s: %.6g\n", name, result.Figures[name])
	}
	return result, nil
}

// cpuTime returns the processor time that this process has used, in user and
// kernel mode, or zero when getrusage fails.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuUsage returns the processor time that this process uses per second over a
// period.
func cpuUsage(period time.Duration) float64 {
	began, before := time.Now(), cpuTime()
	time.Sleep(period)
	return (cpuTime() - before).Seconds() / time.Since(began).Seconds()
}
