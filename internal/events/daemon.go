package events

import "log/slog"

// Events of the daemon's life and of operators' changes.
var (
	DaemonStarted = Event{
		Number: 1001, Level: slog.LevelInfo, Name: "daemon_started",
		Fields:  []string{"daemon", "incarnation", "callers", "operators", "peers"},
		Meaning: "Every role runs and the daemon serves.",
	}
	DaemonStopping = Event{
		Number: 1002, Level: slog.LevelInfo, Name: "daemon_stopping",
		Fields:  []string{"daemon"},
		Meaning: "A graceful stop began: new work is refused, shares are handed over, taken work is finished.",
	}
	DaemonStopped = Event{
		Number: 1003, Level: slog.LevelInfo, Name: "daemon_stopped",
		Fields:  []string{"daemon", "took"},
		Meaning: "The graceful stop ended; everything taken was answered.",
	}
	DaemonStopAborted = Event{
		Number: 1004, Level: slog.LevelError, Name: "daemon_cut",
		Fields:  []string{"daemon", "inFlight"},
		Meaning: "The process ended before its graceful stop was done.",
		Action:  "Look for a second signal or a stop timeout shorter than the longest request; the callers cut off were told nothing.",
	}
	DutyFailed = Event{
		Number: 1005, Level: slog.LevelError, Name: "duty_failed",
		Fields:  []string{"error"},
		Meaning: "A duty panicked or returned an error; the process ends rather than run half alive.",
		Action:  "Report the error with the stack in it. The platform starts the daemon again; others take its shares.",
	}
	DutyStuck = Event{
		Number: 1006, Level: slog.LevelWarn, Name: "duty_stuck",
		Fields:  []string{"duty", "idle"},
		Meaning: "A duty has not turned for longer than it should.",
		Action:  "Take a dump; if the duty does not turn again within a minute, restart the daemon.",
	}
	DocumentAccepted = Event{
		Number: 1007, Level: slog.LevelInfo, Name: "document_accepted",
		Fields:  []string{"service", "offset"},
		Meaning: "An operator's publication through this daemon took effect.",
	}
	RoleFailed = Event{
		Number: 1008, Level: slog.LevelError, Name: "role_failed",
		Fields:  []string{"role", "error"},
		Meaning: "A role did not start or stop as it should.",
		Action:  "Read the error; a listener's address in use and an unreachable platform are the usual causes.",
	}
	LibraryMessage = Event{
		Number: 1009, Level: slog.LevelWarn, Name: "library_message",
		Fields:  []string{"message"},
		Meaning: "A library wrote a line to the process's standard logger, such as the HTTP client about an answer that nobody asked for.",
		Action:  "Where it names a response that was not asked for, see to the backend server that sent it.",
	}
	LinesDropped = Event{
		Number: 1010, Level: slog.LevelWarn, Name: "lines_dropped",
		Fields:  []string{"count"},
		Meaning: "Log lines found no room and were dropped, since whoever reads the log is too slow.",
		Action:  "See to the log's reader; the counters on the metrics page are whole.",
	}
	LinesSuppressed = Event{
		Number: 1011, Level: slog.LevelInfo, Name: "lines_left_out",
		Fields:  []string{"of", "count"},
		Meaning: "More lines of the event were due in a second than are written.",
	}
)

var daemonEvents = []Event{
	DaemonStarted, DaemonStopping, DaemonStopped, DaemonStopAborted, DutyFailed, DutyStuck, DocumentAccepted, RoleFailed,
	LibraryMessage,
	CertificateRenewed, CertificateUnusable, CertificateExpires, PeerRefused, HTTPServerError, LinesDropped, LinesSuppressed,
}
