package logevent

import "go.uber.org/zap"

// Events of the endpoints' side of an agent (3100 to 3199).
var (
	AnnouncementRefused = define(3101, "announcement_refused", zap.WarnLevel, "an endpoint's announcement was refused")
	LeaseChanged        = define(3103, "lease_changed", zap.InfoLevel, "the lease of the worker was taken, lost or regained")
	AttemptsCutOff      = define(3102, "attempts_cut_off", zap.ErrorLevel, "the stop limit passed with attempts at the endpoint")
)
