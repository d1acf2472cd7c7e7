// Package logevent defines the numbered log events of all processes. Each
// event is listed in docs/LOG-EVENTS.md; a test compares the two.
package logevent

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line. The meaning of a number never changes.
type Event struct {
	Number  int
	Name    string
	Level   zapcore.Level
	Message string
}

var catalogue []Event

func define(number int, name string, level zapcore.Level, message string) Event {
	e := Event{Number: number, Name: name, Level: level, Message: message}
	catalogue = append(catalogue, e)
	return e
}

// Events of all roles (1000), the entry (2000), the agent (3000), the operators'
// commands (4000) and the stand-ins for tests (9000).
var (
	ProcessStarted   = define(1001, "process_started", zap.InfoLevel, "process started")
	ProcessStopping  = define(1002, "process_stopping", zap.InfoLevel, "graceful stop started")
	ProcessStopped   = define(1003, "process_stopped", zap.InfoLevel, "process stopped")
	SettingsReloaded = define(1004, "settings_reloaded", zap.InfoLevel, "settings reloaded")
	SettingsRejected = define(1005, "settings_rejected", zap.ErrorLevel, "the settings could not be applied; the previous ones stay in effect")
	LinesLost        = define(1006, "log_lines_lost", zap.WarnLevel, "log lines were dropped because the output was not read in time")
	InvariantBroken  = define(1007, "invariant_broken", zap.ErrorLevel, "the program found one of its own invariants broken")
	ProcessPaused    = define(1008, "process_paused", zap.WarnLevel, "the process stood still")
	ClientsBounded   = define(1009, "clients_bounded", zap.WarnLevel, "requests or connections were refused, dropped or closed, since peers would make the process hold too much")
	WorkerLinked     = define(2001, "worker_linked", zap.InfoLevel, "an agent opened a link")
	WorkerUnlinked   = define(2002, "worker_unlinked", zap.WarnLevel, "the link to an agent ended")
	LinkMalformed    = define(2003, "link_malformed", zap.WarnLevel, "a message on a link could not be decoded")
	DuplicateWorker  = define(2004, "duplicate_worker", zap.ErrorLevel, "a second agent uses the name of a live worker")
	WorkerConflict   = define(2005, "worker_conflict", zap.ErrorLevel, "an older agent process of a worker reconnected after a newer one")
	WorkerJudged     = define(2006, "worker_judged", zap.InfoLevel, "the entry uses a worker in another way from now on")
	AttemptsReleased = define(2007, "attempts_released", zap.InfoLevel, "attempts at a worker count as ended without a message from its agent")
	JobTypeConfined  = define(2008, "job_type_confined", zap.WarnLevel, "the workers that a job type may use changed, since its tasks crash workers")
	SpeedLearned     = define(2021, "worker_speed_learned", zap.InfoLevel, "the speed of a worker is known for the first time")
	WorkerDegraded   = define(2022, "worker_degraded", zap.InfoLevel, "a worker has become slower than its learned speed")
	RunTimeDiscarded = define(2023, "run_time_discarded", zap.WarnLevel, "an agent reported a run time that cannot be one")
	JobEnding        = define(2010, "job_ending", zap.InfoLevel, "a job's end is decided while tasks of it are outstanding")
	EntryLoad        = define(2009, "entry_load", zap.InfoLevel, "jobs, messages and delays of the last second")
	PairSeparated    = define(2031, "job_types_separated", zap.InfoLevel, "whether two job types that slow each other down prefer different workers changed")
	BesideRejected   = define(2032, "colocation_rejected", zap.WarnLevel, "results had invalid values about what ran beside their tasks")
	EntryLinked      = define(3001, "entry_linked", zap.InfoLevel, "an entry accepted the link")
	EntryUnlinked    = define(3002, "entry_unlinked", zap.WarnLevel, "the link to an entry broke or could not be opened")
	EndpointJoined   = define(3003, "endpoint_joined", zap.InfoLevel, "the endpoint announced itself")
	EndpointLeft     = define(3004, "endpoint_left", zap.InfoLevel, "the endpoint is leaving")
	EndpointSilent   = define(3005, "endpoint_silent", zap.WarnLevel, "the endpoint has stopped announcing itself")
	EntryConflict    = define(3006, "entry_conflict", zap.ErrorLevel, "an older process of an entry reconnected after a newer one")
	FakeEndpointDown = define(9001, "fake_endpoint_down", zap.InfoLevel, "the stand-in endpoint stopped")
)

// Catalogue returns all events in order of definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log writes the event with its number, its name and the fields.
func (e Event) Log(l *zap.Logger, fields ...zap.Field) {
	if checked := l.Check(e.Level, e.Message); checked != nil {
		checked.Write(append(e.fields(), fields...)...)
	}
}

func (e Event) fields() []zap.Field {
	return []zap.Field{zap.Int("event", e.Number), zap.String("name", e.Name)}
}
