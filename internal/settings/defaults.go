package settings

import "time"

// Defaults of all durations and limits of the processes. Everything that a
// settings file may leave out takes its value from here.
const (
	DefaultEntryListen = "127.0.0.1:7000"
	DefaultAgentListen = "127.0.0.1:7100"

	// LocalFailureDomain is used when a process on loopback names none.
	LocalFailureDomain = "local"

	DefaultStopLimit  = 30 * time.Second
	DefaultReadyDelay = 0 * time.Second

	DefaultStartWindow       = 2 * time.Second
	DefaultSuspectAfter      = 3 * time.Second
	DefaultLostAfter         = 10 * time.Second
	DefaultHeartbeatInterval = time.Second
	DefaultAckDelay          = 100 * time.Millisecond
	DefaultRunLimit          = time.Minute
	DefaultResultKeep        = time.Minute
	DefaultEntrySilence      = 10 * time.Second

	DefaultMaxQueued  = 100_000
	DefaultMaxTasks   = 1000
	DefaultMaxPayload = 256 << 10

	// DefaultLinks is the number of entries that an agent links to.
	DefaultLinks = 4

	DefaultLogFormat = "json"
	DefaultLogLevel  = "info"
)

// NewEntry returns an entry's settings with every default and no name.
func NewEntry() Entry {
	return Entry{
		Listen: DefaultEntryListen, Authentication: AuthenticationToken,
		StopLimit: Duration{DefaultStopLimit}, ReadyDelay: Duration{DefaultReadyDelay},
		TLS: TLS{Mode: TLSOff}, Log: Log{Format: DefaultLogFormat, Level: DefaultLogLevel},
		Store: Store{Protocol: ProtocolNative},
		Limits: EntryLimits{
			MaxQueued: DefaultMaxQueued, MaxTasks: DefaultMaxTasks, MaxPayload: Bytes{DefaultMaxPayload},
		},
		Timing: EntryTiming{
			StartWindow: Duration{DefaultStartWindow}, SuspectAfter: Duration{DefaultSuspectAfter},
			LostAfter: Duration{DefaultLostAfter}, HeartbeatInterval: Duration{DefaultHeartbeatInterval},
			IdleHeartbeat: Duration{DefaultHeartbeatInterval},
			AckDelay:      Duration{DefaultAckDelay}, RunLimit: Duration{DefaultRunLimit},
		},
	}
}

// NewAgent returns an agent's settings with every default and no worker.
func NewAgent() Agent {
	return Agent{
		Listen: DefaultAgentListen, Entries: []string{DefaultEntryListen}, Links: DefaultLinks,
		StopLimit: Duration{DefaultStopLimit}, ReadyDelay: Duration{DefaultReadyDelay},
		TLS: TLS{Mode: TLSOff}, Log: Log{Format: DefaultLogFormat, Level: DefaultLogLevel},
		Store: Store{Protocol: ProtocolNative},
		Timing: AgentTiming{
			ResultKeep: Duration{DefaultResultKeep}, EntrySilence: Duration{DefaultEntrySilence}, HeartbeatInterval: Duration{DefaultHeartbeatInterval},
			IdleHeartbeat: Duration{DefaultHeartbeatInterval},
		},
	}
}
