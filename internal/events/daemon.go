package events

import "log/slog"

// Events of the daemon's lifecycle and of changes by operators.
var (
	DaemonStarted = Event{
		Number: 1001, Level: slog.LevelInfo, Name: "daemon_started",
		Fields:  []string{"daemon", "incarnation", "callers", "operators", "peers"},
		Meaning: "All roles have started and the daemon serves requests.",
	}
	DaemonStopping = Event{
		Number: 1002, Level: slog.LevelInfo, Name: "daemon_stopping",
		Fields:  []string{"daemon"},
		Meaning: "A graceful stop has begun: new work is refused, shares are handed over, and accepted work is completed.",
	}
	DaemonStopped = Event{
		Number: 1003, Level: slog.LevelInfo, Name: "daemon_stopped",
		Fields:  []string{"daemon", "took"},
		Meaning: "The graceful stop is complete; every accepted request was answered.",
	}
	DaemonStopAborted = Event{
		Number: 1004, Level: slog.LevelError, Name: "daemon_cut",
		Fields:  []string{"daemon", "inFlight"},
		Meaning: "The process ended before its graceful stop was complete.",
		Action:  "Look for a second signal or a stop timeout shorter than the longest request. Callers whose requests were in flight got no response.",
	}
	DutyFailed = Event{
		Number: 1005, Level: slog.LevelError, Name: "duty_failed",
		Fields:  []string{"error"},
		Meaning: "A duty panicked or returned an error. The process ends, since it cannot work without the duty.",
		Action:  "Report the error with the stack trace in it. The platform restarts the daemon; other daemons take over its shares.",
	}
	DutyStuck = Event{
		Number: 1006, Level: slog.LevelWarn, Name: "duty_stuck",
		Fields:  []string{"duty", "idle"},
		Meaning: "A duty's loop has made no progress for longer than its limit.",
		Action:  "Take a state dump; if the duty makes no progress within a minute, restart the daemon.",
	}
	DocumentAccepted = Event{
		Number: 1007, Level: slog.LevelInfo, Name: "document_accepted",
		Fields:  []string{"service", "offset"},
		Meaning: "A document that an operator published through this daemon took effect.",
	}
	RoleFailed = Event{
		Number: 1008, Level: slog.LevelError, Name: "role_failed",
		Fields:  []string{"role", "error"},
		Meaning: "A role failed to start or to stop.",
		Action:  "Read the error. The usual causes are a listener address that is in use and an unreachable platform.",
	}
	LibraryMessage = Event{
		Number: 1009, Level: slog.LevelWarn, Name: "library_message",
		Fields:  []string{"message"},
		Meaning: "A library wrote a line to the standard logger of the process, such as the HTTP client about an unsolicited response.",
		Action:  "If the line is about an unsolicited response, examine the backend server that sent it.",
	}
	LinesDropped = Event{
		Number: 1010, Level: slog.LevelWarn, Name: "lines_dropped",
		Fields:  []string{"count"},
		Meaning: "Log lines were dropped because the log's buffer was full: the reader of the log is too slow.",
		Action:  "Fix the reader of the log. The metrics count everything, also what was not logged.",
	}
	LinesSuppressed = Event{
		Number: 1011, Level: slog.LevelInfo, Name: "lines_left_out",
		Fields:  []string{"of", "count"},
		Meaning: "Lines of the event were suppressed because there were more in a second than the limit; count is their number.",
	}
)

var daemonEvents = []Event{
	DaemonStarted, DaemonStopping, DaemonStopped, DaemonStopAborted, DutyFailed, DutyStuck, DocumentAccepted, RoleFailed,
	LibraryMessage,
	CertificateRenewed, CertificateUnusable, CertificateExpires, PeerRefused, HTTPServerError, LinesDropped, LinesSuppressed,
}
