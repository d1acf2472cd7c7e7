package settings

import "time"

// Field describes one settings key. The lists of fields are the source of the
// checks, the printed defaults and docs/SETTINGS.md.
type Field struct {
	Key string
	Doc string
	// Value is a pointer to the key's value in an Entry or an Agent.
	Value any
	// check validates the value. The check of failure_domain also fills in its default
	// on loopback.
	check func() error
	// example is printed in place of an empty default.
	example string
}

// Range of most durations. It is wide: it catches wrong units, not unusual
// values.
const (
	minDuration = 10 * time.Millisecond
	maxDuration = time.Hour
)

// Fields lists the entry's keys in the order of the printed file.
func (s *Entry) Fields() []Field {
	return []Field{
		{"name", "Name of this entry, unique among all entries.", &s.Name, requiredName(&s.Name), "entry-1"},
		failureDomain(&s.FailureDomain, &s.Listen),
		{"listen", "Address for callers, agents, operators and metrics.", &s.Listen, requiredAddress(&s.Listen), ""},
		{"advertise", "Address that agents reach this entry at; empty means the listen address.", &s.Advertise, optionalAddress(&s.Advertise), ""},
		{"peers", "Addresses of entries to ask for the table when the store is down; may be empty.", &s.Peers, optionalAddresses(&s.Peers), ""},
		insecureNetwork(&s.InsecureNetwork, "TLS and callers' tokens"),
		authentication(&s.Authentication, &s.Listen, &s.InsecureNetwork),
		stopLimit(&s.StopLimit), readyDelay(&s.ReadyDelay), evacuations(&s.Evacuations),
		{"store.address", "Address of the platform's store. Without store and peers the built-in table is in force.", &s.Store.Address, optionalAddress(&s.Store.Address), ""},
		storeProtocol(&s.Store),
		{"platform.callers", "Address for clients of the users' platform; empty means none.", &s.Platform.Callers, optionalAddress(&s.Platform.Callers), ""},
		{"platform.readiness", "Address of a second readiness page, for the platform's balancer; empty means none.", &s.Platform.Readiness, optionalAddress(&s.Platform.Readiness), ""},
		tlsMode(&s.TLS, &s.InsecureNetwork, func() []string { return append([]string{s.Listen, s.Advertise}, s.Peers...) }),
		tlsFile("certificate", "PEM file with this process's certificate.", &s.TLS, &s.TLS.Certificate),
		tlsFile("key", "PEM file with the certificate's private key.", &s.TLS, &s.TLS.Key),
		tlsFile("ca", "PEM file with the authority that signs the certificates of all processes.", &s.TLS, &s.TLS.CA),
		logFormat(&s.Log), logLevel(&s.Log),
		{"limits.max_queued", "Largest number of tasks that wait in this entry.", &s.Limits.MaxQueued, intBetween(&s.Limits.MaxQueued, 1, 10_000_000), ""},
		{"limits.max_tasks", "Largest job, in tasks.", &s.Limits.MaxTasks, intBetween(&s.Limits.MaxTasks, 1, 1000), ""},
		{"limits.max_payload", "Largest payload of one task.", &s.Limits.MaxPayload, bytesBetween(&s.Limits.MaxPayload, 1, 4<<20), ""},
		{"limits.memory", "Memory that the process may use. It collects garbage less often while it uses less than half, and the bodies of requests and the connections that callers hold are bounded by a part of it; 0B leaves that to the runtime, and bounds bodies by 512MiB.", &s.Limits.Memory, bytesBetween(&s.Limits.Memory, 0, 1<<38), ""},
		maxDescriptors(&s.Limits.MaxDescriptors),
		{"timing.start_window", "How long after its dispatch a task may start at the agent.", &s.Timing.StartWindow, durationBetween(&s.Timing.StartWindow, minDuration, maxDuration), ""},
		{"timing.suspect_after", "Silence after which a worker gets no new tasks; longer than heartbeat_interval.", &s.Timing.SuspectAfter, longerThan(&s.Timing.SuspectAfter, &s.Timing.HeartbeatInterval, "timing.heartbeat_interval"), ""},
		{"timing.lost_after", "Silence after which a worker's tasks are given up; longer than suspect_after.", &s.Timing.LostAfter, longerThan(&s.Timing.LostAfter, &s.Timing.SuspectAfter, "timing.suspect_after"), ""},
		{"timing.heartbeat_interval", "Longest silence of this entry towards an agent that has tasks of it.", &s.Timing.HeartbeatInterval, durationBetween(&s.Timing.HeartbeatInterval, minDuration, maxDuration), ""},
		{"timing.idle_heartbeat", "Longest silence of this entry towards any other agent; not shorter than heartbeat_interval. A worker without tasks that falls silent is noticed later by two of them, or after suspect_after once it gets a task.", &s.Timing.IdleHeartbeat, atLeast(&s.Timing.IdleHeartbeat, &s.Timing.HeartbeatInterval, "timing.heartbeat_interval"), ""},
		{"timing.ack_delay", "How long an acknowledgement waits for other traffic.", &s.Timing.AckDelay, durationBetween(&s.Timing.AckDelay, 0, 10*time.Second), ""},
		{"timing.run_limit", "Longest time that an endpoint may take for one task.", &s.Timing.RunLimit, durationBetween(&s.Timing.RunLimit, minDuration, 24*time.Hour), ""},
		{"admission.shed_by_job_type", "true lets jobs give way on arrival while their service is full: those of types that send more than usual, and of less urgent types. For services whose callers compete.", &s.Admission.ShedByJobType, func() error { return nil }, ""},
		{"placement.learn_speeds", "true learns how fast the workers are and how run times compare with the declared ones, and places, stops and judges by it. For services whose workers differ in speed for good.", &s.Placement.LearnSpeeds, func() error { return nil }, ""},
		{"placement.separate_job_types", "Learn which job types slow each other down on a leased worker, and prefer different workers for them. No task waits or is refused for it.", &s.Placement.SeparateJobTypes, func() error { return nil }, ""},
	}
}

// Fields lists the agent's keys in the order of the printed file.
func (s *Agent) Fields() []Field {
	return []Field{
		{"worker", "Name of the worker that this agent runs on, unique among all workers.", &s.Worker, requiredName(&s.Worker), "worker-1"},
		failureDomain(&s.FailureDomain, &s.Listen),
		{"listen", "Address for the endpoint on this VM and for metrics.", &s.Listen, requiredAddress(&s.Listen), ""},
		{"entries", "Addresses of a few entries; may be empty with store.address.", &s.Entries, func() error {
			if len(s.Entries) == 0 && s.Store.Address == "" {
				return errMissing
			}
			return optionalAddresses(&s.Entries)()
		}, ""},
		{"links", "Number of entries that this agent links to.", &s.Links, intBetween(&s.Links, 1, 64), ""},
		{"detect_stalls", "true notices that the tasks of a leased worker make no progress, from all tasks there, and lets entries start them elsewhere. Set it once all entries run a version that knows it: an earlier one ends the link when it reads `worker_stalled`.", &s.DetectStalls, func() error { return nil }, ""},
		insecureNetwork(&s.InsecureNetwork, "TLS"),
		stopLimit(&s.StopLimit), readyDelay(&s.ReadyDelay), evacuations(&s.Evacuations),
		{"store.address", "Address of the platform's store, where the agent finds entries; empty means none.", &s.Store.Address, optionalAddress(&s.Store.Address), ""},
		storeProtocol(&s.Store),
		{"platform.service", "Service of this VM's worker of the users' platform; empty means an endpoint with the product's own interface.", &s.Platform.Service, optionalText(&s.Platform.Service), ""},
		tlsMode(&s.TLS, &s.InsecureNetwork, func() []string { return append([]string{s.Listen}, s.Entries...) }),
		tlsFile("certificate", "PEM file with this process's certificate.", &s.TLS, &s.TLS.Certificate),
		tlsFile("key", "PEM file with the certificate's private key.", &s.TLS, &s.TLS.Key),
		tlsFile("ca", "PEM file with the authority that signs the certificates of all processes.", &s.TLS, &s.TLS.CA),
		logFormat(&s.Log), logLevel(&s.Log),
		{"limits.memory", "Memory that the process may use; the bodies of announcements and the connections that peers hold are bounded by a part of it. 0B bounds bodies by 512MiB.", &s.Limits.Memory, bytesBetween(&s.Limits.Memory, 0, 1<<38), ""},
		maxDescriptors(&s.Limits.MaxDescriptors),
		{"timing.result_keep", "How long a result waits for its acknowledgement.", &s.Timing.ResultKeep, durationBetween(&s.Timing.ResultKeep, minDuration, 24*time.Hour), ""},
		{"timing.entry_silence", "Silence of an entry after which its link is given up and dialled anew; several times the entries' heartbeat_interval.", &s.Timing.EntrySilence, durationBetween(&s.Timing.EntrySilence, minDuration, maxDuration), ""},
		{"timing.heartbeat_interval", "Longest silence of this agent towards an entry that has tasks here.", &s.Timing.HeartbeatInterval, durationBetween(&s.Timing.HeartbeatInterval, minDuration, maxDuration), ""},
		{"timing.idle_heartbeat", "Longest silence of this agent towards any other entry; not shorter than heartbeat_interval, and the same as the entries'.", &s.Timing.IdleHeartbeat, atLeast(&s.Timing.IdleHeartbeat, &s.Timing.HeartbeatInterval, "timing.heartbeat_interval"), ""},
	}
}

func failureDomain(value, listen *string) Field {
	return Field{"failure_domain", "Failure domain of this VM; may be left out only on loopback.", value, func() error {
		if *value != "" {
			return requiredName(value)()
		}
		if !isLoopback(*listen) {
			return errMissing
		}
		*value = LocalFailureDomain
		return nil
	}, LocalFailureDomain}
}

func insecureNetwork(value *bool, protections string) Field {
	return Field{"insecure_network", "true gives up " + protections + " on addresses that others can reach: whoever reaches them can read and send everything.", value, func() error { return nil }, ""}
}

func evacuations(value *bool) Field {
	return Field{"evacuations", "true makes the process follow the operators' requests to evacuate a failure domain: no task starts at a worker there. Set it for entries and agents alike, once all run a version that knows the key.", value, func() error { return nil }, ""}
}

func storeProtocol(s *Store) Field {
	return Field{"store.protocol", "\"native\" or \"platform\": the protocol of the store.", &s.Protocol, oneOf(&s.Protocol, ProtocolNative, ProtocolPlatform), ""}
}

func authentication(mode, listen *string, insecure *bool) Field {
	return Field{"authentication", "\"token\" or \"off\": whether callers need their client account's token; \"off\" is allowed only on a loopback address or with insecure_network.", mode, func() error {
		if err := oneOf(mode, AuthenticationToken, AuthenticationOff)(); err != nil {
			return err
		}
		if *mode == AuthenticationOff && !*insecure && !isLoopback(*listen) {
			return errorf("%q needs a loopback address, and %s is none", AuthenticationOff, *listen)
		}
		return nil
	}, ""}
}

func stopLimit(d *Duration) Field {
	return Field{"stop_limit", "Longest duration of a graceful stop.", d, durationBetween(d, 0, maxDuration), ""}
}

func readyDelay(d *Duration) Field {
	return Field{"ready_delay", "At a planned stop, how long /readyz answers 503 before work that cannot end within `stop_limit` is refused, so that the balancer notices.", d, durationBetween(d, 0, 5*time.Minute), ""}
}

func tlsMode(t *TLS, insecure *bool, addresses func() []string) Field {
	return Field{"tls.mode", "\"on\" or \"off\"; \"off\" is allowed only when all addresses are loopback addresses, or with insecure_network.", &t.Mode, func() error {
		if err := oneOf(&t.Mode, TLSOn, TLSOff)(); err != nil {
			return err
		}
		for _, a := range addresses() {
			if t.Mode == TLSOff && !*insecure && a != "" && !isLoopback(a) {
				return errorf("%q needs loopback addresses, and %s is none", TLSOff, a)
			}
		}
		return nil
	}, ""}
}

func tlsFile(name, doc string, t *TLS, file *string) Field {
	return Field{"tls." + name, doc + " Needed when mode is \"on\".", file, func() error {
		if t.Mode != TLSOn {
			return nil
		}
		return checkReadable(*file)
	}, ""}
}

func maxDescriptors(n *int) Field {
	return Field{"limits.max_descriptors", "Largest number of open descriptors; connections of peers are bounded by it, less those for files and for connections that the process opens. 0 takes the limit that the system sets for the process.", n, intBetween(n, 0, 1<<24), ""}
}

func logFormat(l *Log) Field {
	return Field{"log.format", "\"json\" or \"console\".", &l.Format, oneOf(&l.Format, "json", "console"), ""}
}

func logLevel(l *Log) Field {
	return Field{"log.level", "\"debug\", \"info\", \"warn\" or \"error\".", &l.Level, oneOf(&l.Level, "debug", "info", "warn", "error"), ""}
}
