package logevent

import "go.uber.org/zap"

// Events of configuration and membership (2100 to 2199).
var (
	RevisionInForce    = define(2101, "revision_in_force", zap.InfoLevel, "a table revision is in force")
	RevisionRejected   = define(2102, "revision_rejected", zap.ErrorLevel, "a stored value cannot be read as a table; the previous revision stays in force")
	RevisionUnknown    = define(2103, "revision_unknown", zap.WarnLevel, "no table revision is known; jobs are refused")
	ValueUnapplied     = define(2104, "value_unapplied", zap.WarnLevel, "a value of the table in force cannot be applied as it is written")
	StoreUnreachable   = define(2111, "store_unreachable", zap.WarnLevel, "the store is unreachable; processing continues")
	StoreReachable     = define(2112, "store_reachable", zap.InfoLevel, "the store is reachable")
	EntryRegistered    = define(2121, "entry_registered", zap.InfoLevel, "the entry is registered in the store")
	EntryLeaseLapsed   = define(2122, "entry_lease_lapsed", zap.WarnLevel, "the entry's lease expired; the entry registers again")
	EntryDuplicate     = define(2123, "entry_duplicate", zap.ErrorLevel, "two live processes use the same entry name")
	EntryMalformed     = define(2125, "entry_malformed", zap.WarnLevel, "a value among the entries in the store cannot be used; it is skipped")
	EvacuationChanged  = define(2131, "evacuation_changed", zap.WarnLevel, "the evacuation of a failure domain has begun or was withdrawn")
	EvacuationRejected = define(2132, "evacuation_rejected", zap.WarnLevel, "a request to evacuate a failure domain cannot be used; it is skipped")
	EntryListChanged   = define(2124, "entry_list_changed", zap.InfoLevel, "the list of entries changed")
)
