package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// printStatusJSON prints one object with an element for each entry.
func printStatusJSON(w io.Writer, reports []entryReport) error {
	type element struct {
		Address string          `json:"address"`
		Error   string          `json:"error,omitempty"`
		Status  json.RawMessage `json:"status,omitempty"`
	}
	var out struct {
		Entries []element `json:"entries"`
	}
	for _, r := range reports {
		e := element{Address: r.address}
		if r.err != nil {
			e.Error = r.err.Error()
		} else {
			status, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(r.status)
			if err != nil {
				return err
			}
			e.Status = status
		}
		out.Entries = append(out.Entries, e)
	}
	return json.NewEncoder(w).Encode(out)
}

// printStatus prints tables of entries, workers and client accounts, and what of the newest
// table is not in force.
func printStatus(w io.Writer, reports []entryReport) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "ENTRY\tADDRESS\tDOMAIN\tSTATE\tREVISION\tJOBS\tQUEUED\tRUNNING\tWORKERS\tSTORE\tUPTIME")
	for _, r := range reports {
		printEntry(tab, r)
	}
	fmt.Fprintln(tab, "\nWORKER\tDOMAIN\tSERVICE\tSTATE\tREVISION\tSLOTS\tRUNNING\tENTRIES\tSPEED")
	for _, worker := range mergeWorkers(reports) {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", worker.Name, worker.FailureDomain, worker.Service,
			worker.State, worker.Revision, worker.Slots, worker.Outstanding, worker.entries, speedOf(worker.WorkerStatus))
	}
	fmt.Fprintln(tab, "\nACCOUNT\tQUEUED\tRUNNING\tSHARE\tDUE")
	accounts, running := mergeAccounts(reports)
	for _, a := range accounts {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%s\t%s\n", a.Account, a.QueuedTasks, a.RunningTasks,
			percent(float64(a.RunningTasks)/max(1, float64(running))), percent(a.DueShare))
	}
	printEvacuated(tab, reports)
	printSeparated(tab, reports)
	printUnapplied(tab, reports)
	return tab.Flush()
}

// printSeparated prints the pairs of job types that each entry keeps on different workers,
// if there are any. Entries learn for themselves, so their rows may differ.
func printSeparated(w io.Writer, reports []entryReport) {
	header := "\nSEPARATED JOB TYPE\tFROM\tSERVICE\tENTRY\tSLOWDOWN\tAT LEAST\tRUNS\tWORKERS\tWORKERS OF THE OTHER"
	for _, r := range reports {
		for _, p := range r.status.GetSeparatedPairs() {
			if header != "" {
				fmt.Fprintln(w, header)
				header = ""
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%.2f\t%d\t%s\t%s\n", p.GetJobType(), p.GetNeighbour(), p.GetService(), r.status.GetEntry().GetName(),
				p.GetSlowdown(), p.GetSlowdownLow(), p.GetRuns(), interval(p.GetJobTypeLow(), p.GetJobTypeHigh()), interval(p.GetNeighbourLow(), p.GetNeighbourHigh()))
		}
	}
}

// interval returns a part of the order of workers, such as "0-38%".
func interval(low, high float64) string { return fmt.Sprintf("%.0f-%.0f%%", 100*low, 100*high) }

// printEvacuated prints a line for each failure domain whose evacuation is in force at one of
// the entries: at how many, and the largest number of workers there that one of them knows.
func printEvacuated(w io.Writer, reports []entryReport) {
	type row struct {
		*pb.EvacuatedDomain
		entries int
	}
	rows := make(map[string]*row)
	answered := 0
	for _, r := range reports {
		if r.err == nil {
			answered++
		}
		for _, d := range r.status.GetEntry().GetEvacuated() {
			merged := rows[d.GetDomain()]
			if merged == nil {
				merged = &row{EvacuatedDomain: d}
				rows[d.GetDomain()] = merged
			}
			merged.entries++
			merged.Version, merged.Workers = max(merged.Version, d.GetVersion()), max(merged.Workers, d.GetWorkers())
		}
	}
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(w, "\nEVACUATED\tVERSION\tENTRIES\tWORKERS")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		r := rows[name]
		workers := fmt.Sprint(r.Workers)
		if r.Workers == 0 {
			workers = "none known"
		}
		fmt.Fprintf(w, "%s\t%d\t%d of %d\t%s\n", name, r.Version, r.entries, answered, workers)
	}
}

// printUnapplied prints what of the newest table is not in force, if there is anything.
func printUnapplied(w io.Writer, reports []entryReport) {
	for _, r := range reports {
		e := r.status.GetEntry()
		if e.GetRejectedTable() != "" {
			fmt.Fprintf(w, "\n%s: the newest table is not in force: %s\n", e.GetName(), e.GetRejectedTable())
		}
		if e.GetUnappliedValues() == 0 {
			continue
		}
		fmt.Fprintf(w, "\n%s: %d values of revision %d are not applied as they are written\nROW\tCOLUMN\tVALUE\tEFFECT\tIN FORCE\n",
			e.GetName(), e.GetUnappliedValues(), e.GetRevision())
		for _, u := range e.GetUnapplied() {
			fmt.Fprintf(w, "%q\t%s\t%q\t%s\t%s\n", u.GetRow(), u.GetColumn(), u.GetValue(), u.GetEffect(), u.GetInForce())
		}
	}
}

func printEntry(w io.Writer, r entryReport) {
	if r.err != nil {
		fmt.Fprintf(w, "-\t%s\t-\tno answer\t\t\t\t\t\t\t\n", r.address)
		return
	}
	e := r.status.GetEntry()
	state, store := "up", "unreachable"
	if e.GetDraining() {
		state = "stopping"
	}
	if e.GetStoreReachable() {
		store = "reachable"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", e.GetName(), r.address, e.GetFailureDomain(), state,
		e.GetRevision(), e.GetJobs(), e.GetQueuedTasks(), e.GetRunningTasks(), len(r.status.GetWorkers()), store,
		e.GetUptime().AsDuration().Round(time.Second))
}

// speedOf returns a worker's speed relative to the mean of its service, with its
// uncertainty.
func speedOf(w *pb.WorkerStatus) string {
	if w.GetSpeed() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f ±%s", w.GetSpeed(), percent(w.GetSpeedUncertainty()))
}

func percent(part float64) string { return fmt.Sprintf("%.0f%%", 100*part) }

// mergedWorker combines the statuses of a worker from all queried entries.
type mergedWorker struct {
	*pb.WorkerStatus
	entries int
}

// mergeWorkers combines the reports by worker and sorts them by name. Outstanding
// tasks are added up, the revision is the lowest one, the state is that of an entry that
// does not see the worker up, if there is one, and the speed is the least uncertain one.
func mergeWorkers(reports []entryReport) []mergedWorker {
	var merged []mergedWorker
	index := make(map[string]int)
	for _, r := range reports {
		for _, w := range r.status.GetWorkers() {
			i, ok := index[w.Name]
			if !ok {
				index[w.Name] = len(merged)
				merged = append(merged, mergedWorker{w, 1})
				continue
			}
			m := &merged[i]
			m.entries++
			m.Outstanding += w.Outstanding
			m.Revision = min(m.Revision, w.Revision)
			if w.Speed > 0 && (m.Speed == 0 || w.SpeedUncertainty < m.SpeedUncertainty) {
				m.Speed, m.SpeedUncertainty = w.Speed, w.SpeedUncertainty
			}
			if w.State != "up" {
				m.State = w.State
			}
		}
	}
	slices.SortFunc(merged, func(a, b mergedWorker) int { return cmp.Compare(a.Name, b.Name) })
	return merged
}

// mergeAccounts adds up the tasks of each account and also returns the number of
// all running tasks. The due share is the largest one that an entry reports.
func mergeAccounts(reports []entryReport) ([]*pb.AccountStatus, uint32) {
	var merged []*pb.AccountStatus
	running := uint32(0)
	for _, r := range reports {
		for _, a := range r.status.GetAccounts() {
			running += a.RunningTasks
			i := slices.IndexFunc(merged, func(m *pb.AccountStatus) bool { return m.Account == a.Account })
			if i < 0 {
				merged = append(merged, a)
				continue
			}
			merged[i].QueuedTasks += a.QueuedTasks
			merged[i].RunningTasks += a.RunningTasks
			merged[i].DueShare = max(merged[i].DueShare, a.DueShare)
		}
	}
	return merged, running
}
