package events

import "log/slog"

// Events of the platform's log and the state read from it.
var (
	LogHealthChanged = Event{
		Number: 2001, Level: slog.LevelWarn, Name: "log_health_changed",
		Fields:  []string{"from", "to", "offset"},
		Meaning: "The health of the platform's log, as observed by this daemon, has changed.",
		Action:  "If it is down or slow, see docs/operators/log.md. Nothing accepted is lost.",
	}
	LogTruncated = Event{
		Number: 2002, Level: slog.LevelError, Name: "log_truncated",
		Fields:  []string{"error"},
		Meaning: "The log dropped or lost records that this daemon had not read, or changed records that it had read.",
		Action:  "See docs/operators/log.md. The daemon keeps its state and tries to recover from a snapshot or from a peer.",
	}
	StateRecovered = Event{
		Number: 2003, Level: slog.LevelInfo, Name: "state_recovered",
		Fields:  []string{"source", "offset", "digest"},
		Meaning: "The daemon recovered its state from the log or from a peer.",
	}
	StateMissing = Event{
		Number: 2004, Level: slog.LevelError, Name: "state_missing",
		Fields:  []string{"oldest", "head"},
		Meaning: "The log has no snapshot that reaches its oldest retained record, and no peer has state.",
		Action:  "See docs/operators/log.md, state missing. The daemon serves nothing until it has state.",
	}
	RecordRefused = Event{
		Number: 2005, Level: slog.LevelWarn, Name: "record_refused",
		Fields:  []string{"offset", "author", "key", "reason"},
		Meaning: "A record in the log was refused and had no effect, on this daemon and on all others.",
		Action:  "Tell the author. A refused document is listed in the history of its service.",
	}
	SnapshotWritten = Event{
		Number: 2006, Level: slog.LevelInfo, Name: "snapshot_written",
		Fields:  []string{"offset", "parts", "bytes"},
		Meaning: "A snapshot of the state was written to the log.",
	}
	SnapshotFailed = Event{
		Number: 2007, Level: slog.LevelWarn, Name: "snapshot_failed",
		Fields:  []string{"offset", "error"},
		Meaning: "A snapshot could not be written completely. Readers ignore it.",
		Action:  "None, unless it repeats until the newest snapshot is about to reach the log's retention limit.",
	}
	SnapshotSkipped = Event{
		Number: 2008, Level: slog.LevelWarn, Name: "snapshot_passed_over",
		Fields:  []string{"id", "error"},
		Meaning: "A snapshot in the log is incomplete or corrupt; an older one was used.",
		Action:  "None if the next snapshot is complete. If it repeats, look for appends that the log truncated.",
	}
)

// logEvents are the events of the platform's log and the state, numbered from 2000.
var logEvents = []Event{
	LogHealthChanged, LogTruncated, StateRecovered, StateMissing,
	RecordRefused, SnapshotWritten, SnapshotFailed, SnapshotSkipped,
}
