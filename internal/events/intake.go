package events

import "log/slog"

// Events of clients that reach a limit on untrusted clients.
var (
	IntakeLimits = Event{
		Number: 6110, Level: slog.LevelInfo, Name: "intake_limits",
		Fields:  []string{"bodyBytes", "answerBytes", "operatorBytes", "messageBytes", "connections", "addressConnections", "peerConnections", "operatorConnections", "headerBytes", "stallMS", "bodyMS", "headerMS", "idleMS", "socketBytes"},
		Meaning: "The limits on untrusted clients that are in force, from the settings or derived from the VM's memory and descriptors.",
	}
	RequestGaveWay = Event{
		Number: 6111, Level: slog.LevelWarn, Name: "request_gave_way",
		Fields:  []string{"remote", "group", "reason", "received", "declared", "age", "unreported"},
		Meaning: "A call was refused while its body was read, with status 503, and has not run: it was the slowest when the memory for bodies was full (gave_way), it found none within a second (intake_full), the processor had more large bodies to work on than it can in time (processor_busy), or its body made no progress or took too long (body_stalled). The field group is the tenant, the queue of a public route or the team, and declared is -1 if no length was declared; unreported counts such calls since the event before that were not logged.",
		Action:  "If ordinary callers are concerned, look in a state dump, under intake, for who holds the budget and who was refused, and raise intake.body_bytes or the VM's memory.",
	}
	ConnectionGaveWay = Event{
		Number: 6112, Level: slog.LevelWarn, Name: "connection_gave_way",
		Fields:  []string{"listener", "remote", "idle", "open", "unreported"},
		Meaning: "A connection was closed because a listener had as many as it may have, or as many of one address. The field idle is how long nothing had passed on it, in milliseconds.",
		Action:  "Look for the addresses that hold many connections. If these are ordinary callers, raise intake.connections or the VM's memory.",
	}
	MessageGaveWay = Event{
		Number: 6113, Level: slog.LevelWarn, Name: "message_gave_way",
		Fields:  []string{"remote", "error", "unreported"},
		Meaning: "A connection of another daemon was closed: its message made no progress, took too long or was the slowest when the memory for messages was full, its answers were not read, or it did not say who it is.",
		Action:  "If the other end is a daemon, check the network between the two. If not, keep it from the port for daemons.",
	}
	AcceptFailed = Event{
		Number: 6114, Level: slog.LevelError, Name: "accept_failed",
		Fields:  []string{"listener", "error", "unreported"},
		Meaning: "A connection could not be accepted; the listener goes on.",
		Action:  "If descriptors are short, compare limits.max_fds of the settings with the process's own limit.",
	}
)

// intakeEvents are the events of limits on untrusted clients, 6110 to 6119.
var intakeEvents = []Event{IntakeLimits, RequestGaveWay, ConnectionGaveWay, MessageGaveWay, AcceptFailed}
