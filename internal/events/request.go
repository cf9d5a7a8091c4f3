package events

import "log/slog"

// Events of callers' requests and backend servers.
var (
	BackendLeaving = Event{
		Number: 4001, Level: slog.LevelInfo, Name: "backend_leaving", Fields: []string{"backend", "sign"},
		Meaning: "A backend server is about to stop and gets no new work. The field sign tells the source: the server itself, the platform's list or another daemon.",
	}
	BackendEjected = Event{
		Number: 4002, Level: slog.LevelWarn, Name: "backend_put_aside", Fields: []string{"backend", "reason"},
		Meaning: "A backend server was ejected because its failure rate is much higher than that of the others. It gets no work until a probe succeeds.",
		Action:  "Examine the backend server. It is readmitted automatically once a probe succeeds.",
	}
	BackendReadmitted = Event{
		Number: 4003, Level: slog.LevelInfo, Name: "backend_back", Fields: []string{"backend"},
		Meaning: "An ejected backend server was readmitted and gets work again.",
	}
	BillsDelayed = Event{
		Number: 4004, Level: slog.LevelWarn, Name: "bills_delayed", Fields: []string{"bills", "error"},
		Meaning: "Bills cannot be appended to the log. They are kept in memory, here and by the owners of their keys.",
		Action:  "Restore the platform's log. Do not replace all entry VMs at the same time while this lasts.",
	}
	StopIncomplete = Event{
		Number: 4005, Level: slog.LevelError, Name: "stop_cut_off", Fields: []string{"left", "error"},
		Meaning: "A stop ended before every accepted request was answered, or before all outcomes and bills were delivered.",
		Action:  "Increase the stop timeout; check which backend servers hung.",
	}
	BillsHandedOver = Event{
		Number: 4006, Level: slog.LevelWarn, Name: "bills_entrusted", Fields: []string{"bills", "writer", "copied"},
		Meaning: "A daemon that stopped while bills could not be appended to the log handed them over to the daemon writer. If copied is true, a second daemon keeps a copy.",
		Action:  "Do not stop these daemons before the log is available again. If copied is false, the writer has the only copy of the bills.",
	}
)

// requestEvents are the events of callers' requests and backend servers, numbered from 4000.
var requestEvents = []Event{BackendLeaving, BackendEjected, BackendReadmitted, BillsDelayed, StopIncomplete, BillsHandedOver}
