// Package settings reads and checks the TOML settings of the processes. Checks
// are strict: an unknown key, a wrong unit, a bad address, a missing name or a
// value out of range is reported in one line with file, line and key.
package settings

// Modes of the TLS section.
const (
	// TLSOff is allowed only when every address is a loopback address, or with
	// InsecureNetwork.
	TLSOff = "off"
	TLSOn  = "on"
)

// Modes of authentication of callers.
const (
	// AuthenticationToken requires the bearer token whose hash is in the client
	// account's row of the table.
	AuthenticationToken = "token"
	// AuthenticationOff is allowed only on a loopback address, or with
	// InsecureNetwork.
	AuthenticationOff = "off"
)

// Entry holds the settings of an entry.
type Entry struct {
	Name           string      `toml:"name"`
	FailureDomain  string      `toml:"failure_domain"`
	Listen         string      `toml:"listen"`
	Advertise      string      `toml:"advertise"`
	Peers          []string    `toml:"peers"`
	Authentication string      `toml:"authentication"`
	StopLimit      Duration    `toml:"stop_limit"`
	ReadyDelay     Duration    `toml:"ready_delay"`
	Evacuations    bool        `toml:"evacuations"`
	Store          Store       `toml:"store"`
	TLS            TLS         `toml:"tls"`
	Log            Log         `toml:"log"`
	Limits         EntryLimits `toml:"limits"`
	// InsecureNetwork allows addresses beyond loopback without TLS and tokens.
	InsecureNetwork bool           `toml:"insecure_network"`
	Platform        EntryPlatform  `toml:"platform"`
	Timing          EntryTiming    `toml:"timing"`
	Admission       EntryAdmission `toml:"admission"`
	// Placement chooses how tasks are placed.
	Placement EntryPlacement `toml:"placement"`
	// Source records where each value came from, for errors after loading.
	Source Source `toml:"-"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Worker        string      `toml:"worker"`
	FailureDomain string      `toml:"failure_domain"`
	Listen        string      `toml:"listen"`
	Entries       []string    `toml:"entries"`
	Links         int         `toml:"links"`
	StopLimit     Duration    `toml:"stop_limit"`
	ReadyDelay    Duration    `toml:"ready_delay"`
	Evacuations   bool        `toml:"evacuations"`
	TLS           TLS         `toml:"tls"`
	Log           Log         `toml:"log"`
	Timing        AgentTiming `toml:"timing"`
	// DetectStalls lets the agent notice that the tasks of a leased worker make no progress.
	DetectStalls bool `toml:"detect_stalls"`
	// InsecureNetwork allows addresses beyond loopback without TLS.
	InsecureNetwork bool          `toml:"insecure_network"`
	Store           Store         `toml:"store"`
	Platform        AgentPlatform `toml:"platform"`
	Limits          AgentLimits   `toml:"limits"`
	// Source records where each value came from, for errors after loading.
	Source Source `toml:"-"`
}

// Store holds the address and the protocol of the platform's key-value store.
type Store struct {
	Address string `toml:"address"`
	// Protocol is ProtocolNative or ProtocolPlatform.
	Protocol string `toml:"protocol"`
}

// Protocols of the store.
const (
	// ProtocolNative is the protocol of the stand-in store.
	ProtocolNative = "native"
	// ProtocolPlatform is the protocol of the users' platform.
	ProtocolPlatform = "platform"
)

// EntryPlatform holds the addresses where an entry serves the users' platform.
type EntryPlatform struct {
	// Callers is the address for the platform's clients, Readiness the one that
	// its load balancer polls.
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
}

// AgentPlatform configures an agent for a worker of the users' platform.
type AgentPlatform struct {
	// Service is the service of the worker on this VM; empty means an endpoint
	// with the product's own interface.
	Service string `toml:"service"`
}

// TLS holds the TLS mode and the names of the PEM files of a process.
type TLS struct {
	Mode        string `toml:"mode"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Log holds the format and the lowest level of log lines.
type Log struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// EntryLimits bounds what an entry accepts.
type EntryLimits struct {
	MaxQueued  int   `toml:"max_queued"`
	MaxTasks   int   `toml:"max_tasks"`
	MaxPayload Bytes `toml:"max_payload"`
	// Memory is the total memory that the process may use; zero means no limit.
	Memory Bytes `toml:"memory"`
	// MaxDescriptors is the largest number of open descriptors; zero means the limit of the
	// process.
	MaxDescriptors int `toml:"max_descriptors"`
}

// AgentLimits bounds what an agent uses. The fields are those of EntryLimits.
type AgentLimits struct {
	Memory         Bytes `toml:"memory"`
	MaxDescriptors int   `toml:"max_descriptors"`
}

// EntryAdmission holds the settings of which jobs an entry refuses while a service is full.
type EntryAdmission struct {
	// ShedByJobType lets jobs of types that send more than usual, and of less urgent types,
	// give way on arrival.
	ShedByJobType bool `toml:"shed_by_job_type"`
}

// EntryPlacement holds the settings of how an entry places tasks.
type EntryPlacement struct {
	// LearnSpeeds lets the entry learn run times and workers' speeds and decide by them.
	LearnSpeeds bool `toml:"learn_speeds"`
	// SeparateJobTypes prefers different workers for job types that slow each other down.
	SeparateJobTypes bool `toml:"separate_job_types"`
}

// EntryTiming holds an entry's timeouts and intervals.
type EntryTiming struct {
	StartWindow       Duration `toml:"start_window"`
	SuspectAfter      Duration `toml:"suspect_after"`
	LostAfter         Duration `toml:"lost_after"`
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
	IdleHeartbeat     Duration `toml:"idle_heartbeat"`
	AckDelay          Duration `toml:"ack_delay"`
	RunLimit          Duration `toml:"run_limit"`
}

// AgentTiming holds an agent's timeouts and intervals.
type AgentTiming struct {
	ResultKeep        Duration `toml:"result_keep"`
	EntrySilence      Duration `toml:"entry_silence"`
	HeartbeatInterval Duration `toml:"heartbeat_interval"`
	IdleHeartbeat     Duration `toml:"idle_heartbeat"`
}
