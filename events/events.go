package events

import "github.com/rs/zerolog"

// Event is a numbered kind of log line. The meaning of a number never changes.
type Event struct {
	// Number identifies the event in the log and in the catalogue.
	Number int
	// Name describes the event in the log. Some names keep older terms than the code, as operators' tools match them.
	Name string
	// Level is the level at which the event is logged.
	Level zerolog.Level
}

// The events of a node.
var (
	NodeStarted         = Event{100, "node started", zerolog.InfoLevel}
	NodeStopping        = Event{101, "node stopping", zerolog.InfoLevel}
	NodeStopped         = Event{102, "node stopped", zerolog.InfoLevel}
	StopCut             = Event{103, "planned stop cut requests", zerolog.ErrorLevel}
	NodeFailed          = Event{104, "node failed", zerolog.ErrorLevel}
	Reloaded            = Event{105, "settings reloaded", zerolog.InfoLevel}
	ReloadFailed        = Event{106, "settings cannot be reloaded", zerolog.ErrorLevel}
	LinesDropped        = Event{107, "log lines dropped", zerolog.WarnLevel}
	HandlerPanicked     = Event{108, "request handler panicked", zerolog.ErrorLevel}
	LinesSuppressed     = Event{109, "log lines left out", zerolog.InfoLevel}
	BodyMemoryExhausted = Event{110, "no room for bodies", zerolog.WarnLevel}
	RequestOutlasts     = Event{111, "request outlasts planned stop", zerolog.WarnLevel}
	StopRepeated        = Event{112, "stop signal repeated", zerolog.InfoLevel}
	ProcessPaused       = Event{113, "process was paused", zerolog.InfoLevel}
	RevisionActivated   = Event{200, "revision in force", zerolog.InfoLevel}
	PlatformLost        = Event{201, "platform does not answer", zerolog.WarnLevel}
	PlatformBack        = Event{202, "platform answers again", zerolog.InfoLevel}
	BadTable            = Event{203, "table cannot be read", zerolog.ErrorLevel}
	ConfigReady         = Event{204, "configuration ready", zerolog.InfoLevel}
	Announced           = Event{205, "host announced", zerolog.InfoLevel}
	AnnounceFailed      = Event{206, "host cannot be announced", zerolog.WarnLevel}
	HostReaped          = Event{207, "host is gone", zerolog.WarnLevel}
	HistoryGone         = Event{208, "platform dropped its history", zerolog.InfoLevel}
	StoreCalls          = Event{209, "calls to the platform", zerolog.InfoLevel}
	EntrySkipped        = Event{210, "entry left out", zerolog.WarnLevel}
	HallEvacuated       = Event{211, "hall evacuated", zerolog.WarnLevel}
	HallReturned        = Event{212, "hall taken back", zerolog.InfoLevel}
	ReadFailed          = Event{213, "read of the platform failed", zerolog.InfoLevel}
	HostRecordFound     = Event{214, "announcement of an earlier process found", zerolog.InfoLevel}
	ConnectionsSilent   = Event{215, "connections went silent", zerolog.InfoLevel}
	ReadsAnswered       = Event{216, "reads of the platform answered again", zerolog.InfoLevel}
	ReadsUnanswered     = Event{217, "reads of the platform not answered", zerolog.InfoLevel}
	LinkUp              = Event{300, "link up", zerolog.InfoLevel}
	LinkSuspect         = Event{301, "link suspect", zerolog.WarnLevel}
	LinkClosed          = Event{302, "link closed", zerolog.InfoLevel}
	LinkReplaced        = Event{305, "link replaced", zerolog.InfoLevel}
	PeerRefused         = Event{303, "peer refused", zerolog.WarnLevel}
	PeerGarbled         = Event{304, "peer sent unreadable bytes", zerolog.WarnLevel}
	PhaseChanged        = Event{400, "endpoint phase changed", zerolog.InfoLevel}
	EndpointLeaving     = Event{401, "endpoint says it is leaving", zerolog.InfoLevel}
	EndpointBack        = Event{402, "endpoint takes work again", zerolog.InfoLevel}
	ReportsDropped      = Event{403, "work reports dropped", zerolog.WarnLevel}

	EndpointAnnounced = Event{404, "endpoint announced itself", zerolog.InfoLevel}
	BadHeartbeat      = Event{405, "heartbeat refused", zerolog.WarnLevel}
	BreakerChanged    = Event{406, "endpoint's breaker changed", zerolog.InfoLevel}
	WorkFailed        = Event{407, "work failed at the endpoint", zerolog.WarnLevel}
	OfferRefused      = Event{408, "offer refused", zerolog.InfoLevel}
	RetryCounts       = Event{409, "further sends at the endpoint", zerolog.InfoLevel}
	OlderConfigUsed   = Event{410, "older configuration taken", zerolog.InfoLevel}
	EndpointCrashed   = Event{411, "endpoint ended at its work", zerolog.WarnLevel}
	RequestBlocked    = Event{412, "request barred", zerolog.ErrorLevel}
	RequestUnblocked  = Event{413, "request no longer barred", zerolog.InfoLevel}
	CrashesWritten    = Event{414, "ends of endpoints written", zerolog.InfoLevel}
	CrashesNotWritten = Event{415, "ends of endpoints cannot be written", zerolog.WarnLevel}
	FieldsUnread      = Event{416, "endpoint sends fields that are not read", zerolog.InfoLevel}
	MaxRateChanged    = Event{417, "endpoint's max rate changed", zerolog.InfoLevel}
	BadMaxRate        = Event{418, "endpoint states an unreadable max rate", zerolog.WarnLevel}
	SlotsUsed         = Event{419, "slots used", zerolog.InfoLevel}
	RequestsThrottled = Event{420, "requests throttled", zerolog.WarnLevel}
	SlotReclaimed     = Event{421, "slot reclaimed", zerolog.InfoLevel}
	BadLoadReport     = Event{422, "load report out of range", zerolog.WarnLevel}
	HeartbeatIgnored  = Event{423, "heartbeat ignored", zerolog.InfoLevel}
	LeavingNotStored  = Event{424, "leaving not acknowledged", zerolog.WarnLevel}
	AnswerHeadTooLong = Event{425, "answer's head too long", zerolog.WarnLevel}

	RequestRefused  = Event{500, "request refused", zerolog.WarnLevel}
	RequestFailed   = Event{501, "request failed", zerolog.WarnLevel}
	AnswerRecovered = Event{502, "answer asked for again", zerolog.InfoLevel}
	RequestServed   = Event{503, "request served", zerolog.InfoLevel}
	ServedLate      = Event{504, "request served late", zerolog.InfoLevel}
	RequestRetried  = Event{505, "request sent again", zerolog.InfoLevel}
	RequestHedged   = Event{506, "request sent to a second endpoint", zerolog.InfoLevel}
	RequestUnread   = Event{507, "request refused by the listener", zerolog.InfoLevel}
)

// All lists every event.
var All = []Event{
	NodeStarted, NodeStopping, NodeStopped, StopCut, NodeFailed, Reloaded, ReloadFailed, LinesDropped, HandlerPanicked,
	LinesSuppressed, BodyMemoryExhausted, RequestOutlasts, StopRepeated, ProcessPaused,
	RevisionActivated, PlatformLost, PlatformBack, ReadFailed, BadTable, ConfigReady,
	Announced, AnnounceFailed, HostReaped, HistoryGone, StoreCalls, EntrySkipped, HallEvacuated, HallReturned, HostRecordFound, ConnectionsSilent, ReadsAnswered, ReadsUnanswered,
	LinkUp, LinkSuspect, LinkClosed, LinkReplaced, PeerRefused, PeerGarbled,
	PhaseChanged, EndpointLeaving, EndpointBack, ReportsDropped,
	EndpointAnnounced, BadHeartbeat, BreakerChanged, WorkFailed, OfferRefused, RetryCounts, OlderConfigUsed, EndpointCrashed,
	RequestBlocked, RequestUnblocked, CrashesWritten, CrashesNotWritten, FieldsUnread, MaxRateChanged, BadMaxRate,
	SlotsUsed, RequestsThrottled, SlotReclaimed, BadLoadReport, HeartbeatIgnored, LeavingNotStored, AnswerHeadTooLong,
	RequestRefused, RequestFailed, AnswerRecovered, RequestServed, ServedLate, RequestRetried, RequestHedged, RequestUnread,
}

// Log starts a log line of the event; the caller adds fields and sends it.
func (e Event) Log(log *zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}
