// Package settings reads the TOML settings of the processes. Reading is
// strict: an unknown key, a wrong unit, a bad address, a missing name or a
// value out of range is an error of one line with file, line and key.
package settings

// Modes of the TLS section.
const (
	// TLSOff is allowed only when every address is a loopback address.
	TLSOff = "off"
	TLSOn  = "on"
)

// Ways to authenticate callers.
const (
	// AuthenticationToken needs the bearer token whose hash stands in the
	// client account's row of the table.
	AuthenticationToken = "token"
	// AuthenticationOff is allowed only on a loopback address.
	AuthenticationOff = "off"
)

// Entry is the settings of one entry.
type Entry struct {
	Name           string      `toml:"name"`
	FailureDomain  string      `toml:"failure_domain"`
	Listen         string      `toml:"listen"`
	Advertise      string      `toml:"advertise"`
	Peers          []string    `toml:"peers"`
	Authentication string      `toml:"authentication"`
	StopLimit      Duration    `toml:"stop_limit"`
	ReadyDelay     Duration    `toml:"ready_delay"`
	Store          Store       `toml:"store"`
	TLS            TLS         `toml:"tls"`
	Log            Log         `toml:"log"`
	Limits         EntryLimits `toml:"limits"`
	// InsecureNetwork gives up TLS and tokens on addresses that others can reach.
	InsecureNetwork bool          `toml:"insecure_network"`
	Platform        EntryPlatform `toml:"platform"`
	Timing          EntryTiming   `toml:"timing"`
	// Source tells where each value came from, for later errors.
	Source Source `toml:"-"`
}

// Agent is the settings of one agent.
type Agent struct {
	Worker        string      `toml:"worker"`
	FailureDomain string      `toml:"failure_domain"`
	Listen        string      `toml:"listen"`
	Entries       []string    `toml:"entries"`
	Links         int         `toml:"links"`
	StopLimit     Duration    `toml:"stop_limit"`
	ReadyDelay    Duration    `toml:"ready_delay"`
	TLS           TLS         `toml:"tls"`
	Log           Log         `toml:"log"`
	Timing        AgentTiming `toml:"timing"`
	// InsecureNetwork gives up TLS on addresses that others can reach.
	InsecureNetwork bool          `toml:"insecure_network"`
	Store           Store         `toml:"store"`
	Platform        AgentPlatform `toml:"platform"`
	// Source tells where each value came from, for later errors.
	Source Source `toml:"-"`
}

// Store is where the platform's key-value store is reached.
type Store struct {
	Address string `toml:"address"`
	// Protocol is ProtocolNative or ProtocolPlatform.
	Protocol string `toml:"protocol"`
}

// Protocols of the store.
const (
	// ProtocolNative is that of the stand-in store.
	ProtocolNative = "native"
	// ProtocolPlatform is that of the users' platform.
	ProtocolPlatform = "platform"
)

// EntryPlatform says where an entry serves the users' platform.
type EntryPlatform struct {
	// Callers is the address for the platform's clients, Readiness the one that its
	// balancer asks.
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
}

// AgentPlatform says how an agent serves a worker of the users' platform.
type AgentPlatform struct {
	// Service is the one that the VM's worker belongs to; empty means that the
	// endpoint speaks the product's own interface.
	Service string `toml:"service"`
}

// TLS holds the mode and the PEM files of one process.
type TLS struct {
	Mode        string `toml:"mode"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	CA          string `toml:"ca"`
}

// Log says how log lines are written.
type Log struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// EntryLimits bounds what an entry accepts.
type EntryLimits struct {
	MaxQueued  int   `toml:"max_queued"`
	MaxTasks   int   `toml:"max_tasks"`
	MaxPayload Bytes `toml:"max_payload"`
	// Memory is what the process may use, in all; zero means no limit.
	Memory Bytes `toml:"memory"`
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
