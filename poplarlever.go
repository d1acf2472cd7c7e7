// Package poplarlever is the library of a dispatcher for sub-second tasks.
//
// It has two layers. [EntryCore] and [AgentCore] are state machines: the caller
// passes inputs and the time, and collects outputs. They do no I/O, start no
// goroutine and read no clock, so that any driver, simulation or test can run
// them. A core is not safe for concurrent use. [Entry] and [Agent] are daemons
// that drive the cores with links, HTTP and timers.
//
// Every refusal and failure carries a [Verdict], which says whether the work
// may have run, and a [Reason] from a fixed list. NotRun guarantees that the work
// did not run and will not run.
package poplarlever

import (
	"github.com/poplarlever/poplarlever/internal/agentd"
	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/core/msg"
	"github.com/poplarlever/poplarlever/internal/core/verdict"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/httpserver"
)

// Verdict says whether the work of a refused or failed request may have run.
type Verdict = verdict.Verdict

// Values of Verdict.
const (
	NotRun     = verdict.NotRun
	MayHaveRun = verdict.MayHaveRun
	Ran        = verdict.Ran
)

// Reason says why a job was refused or failed.
type Reason = verdict.Reason

// RetryReason says why an attempt did not start at an agent, or did not finish
// there.
type RetryReason = verdict.RetryReason

// Reasons lists all reasons; RetryReasons lists all retry reasons.
var (
	Reasons      = verdict.Reasons
	RetryReasons = verdict.RetryReasons
)

// Types that both cores use.
type (
	Incarnation = msg.Incarnation
	AttemptID   = msg.AttemptID
	Size        = msg.Size
	FromAgent   = msg.FromAgent
	FromEntry   = msg.FromEntry
	ResultKind  = msg.ResultKind
)

// Values of ResultKind, the result of an attempt that an agent accepted.
const (
	ResultOK             = msg.ResultOK
	ResultEndpointError  = msg.ResultEndpointError
	ResultEndpointFailed = msg.ResultEndpointFailed
	ResultNotReached     = msg.ResultNotReached
)

// EntryCore is the state machine of an entry. NewEntryCore returns one.
type (
	EntryCore     = entry.Core
	EntryConfig   = entry.Config
	EntryInput    = entry.Input
	EntryOutput   = entry.Output
	EntrySnapshot = entry.Snapshot
)

// Inputs of an entry core.
type (
	Submit          = entry.Submit
	Cancel          = entry.Cancel
	WorkerLinkUp    = entry.LinkUp
	WorkerLinkDown  = entry.LinkDown
	ReceivedByEntry = entry.Received
	SetPolicy       = entry.SetPolicy
	BeginDrain      = entry.BeginDrain
	StopNow         = entry.StopNow
	LinkID          = entry.LinkID
	Job             = entry.Job
	Task            = entry.Task
	Policy          = entry.Policy
	ServicePolicy   = entry.ServicePolicy
	JobTypePolicy   = entry.JobTypePolicy
	AccountPolicy   = entry.AccountPolicy
)

// Outputs of an entry core.
type (
	SendToAgent = entry.Send
	CloseLink   = entry.CloseLink
	Answered    = entry.Answered
	Progress    = entry.Progress
	Retried     = entry.Retried
	Answer      = entry.Answer
	Outcome     = entry.Outcome
	TaskResult  = entry.TaskResult
)

// Values of Outcome, the outcome of a job.
const (
	Complete = entry.Complete
	Failed   = entry.Failed
	Refused  = entry.Refused
)

// AgentCore is the state machine of an agent. NewAgentCore returns one.
type (
	AgentCore   = agent.Core
	AgentConfig = agent.Config
	AgentInput  = agent.Input
	AgentOutput = agent.Output
)

// Inputs of an agent core.
type (
	EntryLinkUp       = agent.LinkUp
	EntryLinkDown     = agent.LinkDown
	ReceivedByAgent   = agent.Received
	EndpointAnnounced = agent.EndpointAnnounced
	EndpointLeaving   = agent.EndpointLeaving
	EndpointLost      = agent.EndpointLost
	TaskEnded         = agent.TaskEnded
)

// Outputs of an agent core.
type (
	SendToEntry = agent.Send
	StartTask   = agent.Start
	ApplyTable  = agent.ApplyTable
)

// Constructors of the cores.
var (
	NewEntryCore = entry.New
	NewAgentCore = agent.New
)

// Daemons, and the HTTP server that they serve on.
type (
	Entry       = entryd.Daemon
	EntryOption = entryd.Option
	Agent       = agentd.Daemon
	AgentOption = agentd.Option
	Server      = httpserver.Server
)

// Constructors of the daemons and their server. Listen opens an address without
// TLS; ListenTLS serves TLS there.
var (
	Listen    = httpserver.Listen
	ListenTLS = httpserver.ListenTLS
	NewEntry  = entryd.New
	NewAgent  = agentd.New
)
