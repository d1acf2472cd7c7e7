package logevent

import "go.uber.org/zap"

// Events of an agent's endpoint, worker lease and list of entries (3100 to 3199).
var (
	AnnouncementRefused = define(3101, "announcement_refused", zap.WarnLevel, "an endpoint's announcement was refused")
	LeaseChanged        = define(3103, "lease_changed", zap.InfoLevel, "the lease of the worker was taken, lost or regained")
	DirectoryUnread     = define(3104, "directory_unread", zap.WarnLevel, "the list of entries could not be read from the store")
	WorkerRecordFailed  = define(3105, "worker_record_failed", zap.WarnLevel, "the record of the worker could not be read or written in the store")
	WorkerRestarted     = define(3106, "worker_restarted", zap.InfoLevel, "the worker runs again as a new instance with the ID that it had")
	LeaseLimited        = define(3107, "lease_limited", zap.WarnLevel, "the lease of the worker is not extended, because tasks there have to end")
	OrphansStopped      = define(3108, "orphans_stopped", zap.WarnLevel, "the attempts of an entry that has sent back no recent clock are stopped")
	WorkerCrashed       = define(3109, "worker_crashed", zap.WarnLevel, "the worker crashed while tasks ran there")
	WorkerStalled       = define(3130, "worker_stalled", zap.WarnLevel, "the tasks of the worker make no progress; it takes none but trial tasks")
	WorkerProgress      = define(3131, "worker_progress", zap.InfoLevel, "a trial task has ended at the worker, which takes tasks again")
	AttemptsCutOff      = define(3102, "attempts_cut_off", zap.ErrorLevel, "the stop limit passed with attempts at the endpoint")
)
