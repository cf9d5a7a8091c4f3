package events

import "log/slog"

// The events of callers' requests and backend servers.
var (
	BackendLeaving = Event{
		Number: 4001, Level: slog.LevelInfo, Name: "backend_leaving", Fields: []string{"backend", "sign"},
		Meaning: "A backend server is about to stop; it gets no new work. The sign is its own word, the platform's list or another daemon.",
	}
	BackendEjected = Event{
		Number: 4002, Level: slog.LevelWarn, Name: "backend_put_aside", Fields: []string{"backend", "reason"},
		Meaning: "A backend server failed so much more than others that it gets no work until a probe succeeds.",
		Action:  "Look at the backend server. It comes back by itself once it answers.",
	}
	BackendReadmitted = Event{
		Number: 4003, Level: slog.LevelInfo, Name: "backend_back", Fields: []string{"backend"},
		Meaning: "A backend server that was put aside gets work again.",
	}
	BillsDelayed = Event{
		Number: 4004, Level: slog.LevelWarn, Name: "bills_delayed", Fields: []string{"bills", "error"},
		Meaning: "The log does not take bills. They are kept in memory, here and by the owners of their keys.",
		Action:  "See to the platform's log. Do not replace all entry VMs at once while it lasts.",
	}
	StopIncomplete = Event{
		Number: 4005, Level: slog.LevelError, Name: "stop_cut_off", Fields: []string{"left", "error"},
		Meaning: "A stop ended before every request taken was answered, or before what is owed was delivered.",
		Action:  "Give stops more time; see which backend servers hung.",
	}
	BillsHandedOver = Event{
		Number: 4006, Level: slog.LevelWarn, Name: "bills_entrusted", Fields: []string{"bills", "writer", "copied"},
		Meaning: "A daemon that stops while the log takes no bills has had another one take them over, and a second keep a copy where copied is true.",
		Action:  "Do not end those two before the log is back. Where copied is false, the writer alone has the bills.",
	}
)

// requestEvents are the events of the callers' requests and backend servers, numbered from 4000.
var requestEvents = []Event{BackendLeaving, BackendEjected, BackendReadmitted, BillsDelayed, StopIncomplete, BillsHandedOver}
