package settings

import "time"

// Default values of keys that a settings file may leave out.
const (
	DefaultEntryListen = "127.0.0.1:7000"
	DefaultAgentListen = "127.0.0.1:7100"

	// LocalFailureDomain is the failure domain of a process that listens on
	// loopback and sets none.
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

// NewEntry returns an entry's default settings, without a name.
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

// NewAgent returns an agent's default settings, without a worker name.
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
