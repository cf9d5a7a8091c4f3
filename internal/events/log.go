package events

import "log/slog"

// Events of the platform's log and the folded state.
var (
	LogHealthChanged = Event{
		Number: 2001, Level: slog.LevelWarn, Name: "log_health_changed",
		Fields:  []string{"from", "to", "offset"},
		Meaning: "The platform's log answers better or worse than before.",
		Action:  "On down or slow, see docs/operators/log.md. Nothing accepted is lost.",
	}
	LogTruncated = Event{
		Number: 2002, Level: slog.LevelError, Name: "log_truncated",
		Fields:  []string{"error"},
		Meaning: "The log dropped or lost records that this daemon had not read, or changed what it had read.",
		Action:  "See docs/operators/log.md. The daemon keeps its state and looks for a snapshot or a peer.",
	}
	StateRecovered = Event{
		Number: 2003, Level: slog.LevelInfo, Name: "state_recovered",
		Fields:  []string{"source", "offset", "digest"},
		Meaning: "The daemon has state again, from the log or from a peer.",
	}
	StateMissing = Event{
		Number: 2004, Level: slog.LevelError, Name: "state_missing",
		Fields:  []string{"oldest", "head"},
		Meaning: "The log keeps no snapshot that reaches its oldest record, and no peer has state.",
		Action:  "See docs/operators/log.md, state missing. The daemon serves nothing until then.",
	}
	RecordRefused = Event{
		Number: 2005, Level: slog.LevelWarn, Name: "record_refused",
		Fields:  []string{"offset", "author", "key", "reason"},
		Meaning: "A record in the log had no effect, on this daemon and all others alike.",
		Action:  "Tell the author. A bad document shows in its service's history.",
	}
	SnapshotWritten = Event{
		Number: 2006, Level: slog.LevelInfo, Name: "snapshot_written",
		Fields:  []string{"offset", "parts", "bytes"},
		Meaning: "A snapshot of the state is in the log.",
	}
	SnapshotFailed = Event{
		Number: 2007, Level: slog.LevelWarn, Name: "snapshot_failed",
		Fields:  []string{"offset", "error"},
		Meaning: "A snapshot could not be written whole. Readers pass it over.",
		Action:  "None unless it repeats until the newest snapshot nears the log's retention.",
	}
	SnapshotSkipped = Event{
		Number: 2008, Level: slog.LevelWarn, Name: "snapshot_passed_over",
		Fields:  []string{"id", "error"},
		Meaning: "A snapshot in the log is torn or damaged, and an older one was used.",
		Action:  "Nothing if the next snapshot is whole. If it repeats, look for appends that the log cut short.",
	}
)

// logEvents are the events of the platform's log and the folded state, numbered from 2000.
var logEvents = []Event{
	LogHealthChanged, LogTruncated, StateRecovered, StateMissing,
	RecordRefused, SnapshotWritten, SnapshotFailed, SnapshotSkipped,
}
