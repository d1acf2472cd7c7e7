// Package telemetry exports the metrics of a process in the Prometheus format.
// Each metric is listed in docs/METRICS.md; a test compares the two. All methods
// are safe for concurrent use.
package telemetry

// Role is the kind of process that exports a metric.
type Role uint8

// Roles are bit flags, since many metrics are exported by both.
const (
	Entry Role = 1 << iota
	Agent
	bothRoles = Entry | Agent
)

// Kinds of metric.
const (
	Counter   = "counter"
	Gauge     = "gauge"
	Histogram = "histogram"
)

// Definition describes one metric.
type Definition struct {
	Name  string
	Kind  string
	Unit  string
	Label string
	Help  string
	Roles Role
}

// Metrics of the processes, in the order of docs/METRICS.md.
var (
	jobs                = define("poplarlever_jobs_total", Counter, "jobs", "outcome", "Jobs answered, by outcome.", Entry)
	refusals            = define("poplarlever_refusals_total", Counter, "jobs", "reason", "Jobs refused, by reason; none of them ran.", Entry)
	failures            = define("poplarlever_failures_total", Counter, "jobs", "reason", "Accepted jobs that failed, by reason.", Entry)
	callerErrors        = define("poplarlever_caller_errors_total", Counter, "requests", "reason", "Requests of callers that were refused or failed, by reason; rejected ones that never became a job are among them.", Entry)
	retries             = define("poplarlever_retries_total", Counter, "tasks", "reason", "Attempts that did not start and were queued again (entry) or refused (agent), by reason.", bothRoles)
	answerTime          = define("poplarlever_job_answer_seconds", Histogram, "seconds", "", "Time from a job's arrival to its answer, refusals left out.", Entry)
	dispatched          = define("poplarlever_tasks_dispatched_total", Counter, "tasks", "", "Attempts sent to agents.", Entry)
	started             = define("poplarlever_tasks_started_total", Counter, "tasks", "", "Tasks passed to the endpoint.", Agent)
	ended               = define("poplarlever_tasks_ended_total", Counter, "tasks", "kind", "Tasks that ended at the endpoint (agent) or whose result arrived (entry), by kind of result.", bothRoles)
	endedLate           = define("poplarlever_results_after_end_total", Counter, "tasks", "kind", "Results of tasks that came after the end of their job was decided, by kind of result; tasks that were stopped are left out.", Entry)
	queued              = define("poplarlever_queued_tasks", Gauge, "tasks", "", "Tasks that wait for a slot.", Entry)
	running             = define("poplarlever_running_tasks", Gauge, "tasks", "", "Tasks dispatched without an answer (entry) or at the endpoint (agent).", bothRoles)
	messageDelay        = define("poplarlever_message_delay_microseconds", Gauge, "microseconds", "", "How late messages of agents are read, beyond the fastest of each agent, on the mean of the latest ones.", Entry)
	openJobs            = define("poplarlever_open_jobs", Gauge, "jobs", "", "Jobs without an answer.", Entry)
	freeSlots           = define("poplarlever_free_slots", Gauge, "slots", "", "Slots that take a task now (agent) or are believed to (entry).", bothRoles)
	links               = define("poplarlever_links", Gauge, "links", "", "Links to agents (entry) or to entries (agent).", bothRoles)
	revision            = define("poplarlever_table_revision", Gauge, "revision", "", "Table revision in force in this process.", bothRoles)
	unapplied           = define("poplarlever_table_values_unapplied", Gauge, "values", "", "Values of the table in force that this entry cannot apply as they are written.", Entry)
	tableRejected       = define("poplarlever_table_rejected", Gauge, "boolean", "", "1 while the newest table that this entry has seen is not in force, because it cannot be read as a table.", Entry)
	evacuatedDomains    = define("poplarlever_evacuated_domains", Gauge, "domains", "", "Failure domains whose evacuation is in force in this process.", bothRoles)
	evacuationsRejected = define("poplarlever_evacuations_rejected_total", Counter, "values", "", "Requests to evacuate a failure domain that the process received and cannot use.", bothRoles)
	storeReachable      = define("poplarlever_store_reachable", Gauge, "boolean", "", "1 when the latest call to the store succeeded, 0 otherwise or without a store.", Entry)
	linkMessages        = define("poplarlever_link_messages_total", Counter, "messages", "kind, direction", "Messages on links.", bothRoles)
	linkBytes           = define("poplarlever_link_bytes_total", Counter, "bytes", "kind, direction", "Bytes of messages on links, without framing.", bothRoles)
	workerConflicts     = define("poplarlever_worker_conflicts_total", Counter, "links", "", "Links rejected because a later agent has taken the worker's name.", Entry)
	entryConflicts      = define("poplarlever_entry_conflicts_total", Counter, "links", "", "Links closed because a later process has taken the entry's name.", Agent)
	announceRefusals    = define("poplarlever_announcements_refused_total", Counter, "announcements", "", "Announcements that were malformed or named another worker than the one that answers.", Agent)
	workerHealth        = define("poplarlever_worker_health_changes_total", Counter, "changes", "health", "Changes in how the entry uses a worker: failing, slow, or sound again.", Entry)
	runTimesDiscarded   = define("poplarlever_run_times_discarded_total", Counter, "tasks", "", "Reported run times of tasks that are not learned from, because they cannot be ones.", Entry)
	learnedWorkers      = define("poplarlever_learned_workers", Gauge, "workers", "", "Workers whose speed the entry has learned; 0 without placement.learn_speeds.", Entry)
	cancels             = define("poplarlever_cancels_total", Counter, "cancels", "outcome", "Cancels by the name of a job that callers sent to this entry, by outcome.", Entry)
	workerCrashes       = define("poplarlever_worker_crashes_total", Counter, "crashes", "", "Crashes of the worker while tasks ran there.", Agent)
	workerStalls        = define("poplarlever_worker_stalls_total", Counter, "stalls", "", "Times in which the worker's tasks made no progress; 0 without detect_stalls.", Agent)
	jobTypesConfined    = define("poplarlever_job_types_confined_total", Counter, "changes", "", "Job types confined to a part of the workers because their tasks crash workers.", Entry)
	pairChanges         = define("poplarlever_job_type_separations_total", Counter, "changes", "change", "Pairs of job types that slow each other down whose separation began or ended.", Entry)
	separatedPairs      = define("poplarlever_separated_job_type_pairs", Gauge, "pairs", "", "Pairs of job types that prefer different workers.", Entry)
	observedPairs       = define("poplarlever_observed_job_type_pairs", Gauge, "pairs", "", "Pairs of job types with evidence on whether one slows down the other.", Entry)
	colocationRejected  = define("poplarlever_colocation_rejected_total", Counter, "results", "", "Results with invalid values about what ran beside their tasks, which were left out.", Entry)
	lostLines           = define("poplarlever_log_lines_lost_total", Counter, "lines", "", "Log lines that were lost because they were not read in time.", bothRoles)
	pauses              = define("poplarlever_pauses_total", Counter, "pauses", "kind", "Times in which the process stood still: the VM was suspended, or the process got no processor time.", bothRoles)
	clientsBounded      = define("poplarlever_clients_bounded_total", Counter, "requests", "reason", "Requests and connections that were refused, dropped or closed, since peers would make the process hold too much, by reason.", bothRoles)
	requestBytes        = define("poplarlever_request_bytes", Gauge, "bytes", "", "Memory of the requests in progress: bodies as far as they have arrived, decoded forms and answers.", bothRoles)
	peerConnections     = define("poplarlever_peer_connections", Gauge, "connections", "", "Open connections that callers, agents, entries, endpoints and probes have opened.", bothRoles)
	openDescriptors     = define("poplarlever_open_descriptors", Gauge, "descriptors", "", "Open descriptors of the process.", bothRoles)
	invariantViolations = define("poplarlever_invariant_violations_total", Counter, "violations", "name", "Broken invariants found by the program itself; always a fault of the program.", bothRoles)
)

var catalogue []Definition

func define(name, kind, unit, label, help string, roles Role) Definition {
	d := Definition{Name: name, Kind: kind, Unit: unit, Label: label, Help: help, Roles: roles}
	catalogue = append(catalogue, d)
	return d
}

// Catalogue returns all metrics in order of definition.
func Catalogue() []Definition { return append([]Definition(nil), catalogue...) }

// RoleNames returns the roles as they are written in docs/METRICS.md.
func (d Definition) RoleNames() string {
	switch d.Roles {
	case Entry:
		return "entry"
	case Agent:
		return "agent"
	}
	return "entry, agent"
}
