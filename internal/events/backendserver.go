package events

import "log/slog"

// Events of the backend servers that run submissions, and of tasks that crash them.
var (
	ServerListed = Event{
		Number: 6020, Level: slog.LevelInfo, Name: "server_listed",
		Fields:  []string{"server", "service", "zone", "cpu"},
		Meaning: "A backend server was added to the platform's list.",
	}
	ServerUnlisted = Event{
		Number: 6021, Level: slog.LevelInfo, Name: "server_unlisted",
		Fields:  []string{"server", "attempts"},
		Meaning: "A backend server is no longer in the platform's list; it gets no new tasks.",
	}
	ServerDraining = Event{
		Number: 6022, Level: slog.LevelInfo, Name: "server_draining",
		Fields:  []string{"server", "attempts", "remainingMS"},
		Meaning: "A backend server is draining; it gets no new tasks.",
	}
	ServerUnresponsive = Event{
		Number: 6023, Level: slog.LevelWarn, Name: "server_silent",
		Fields:  []string{"server", "attempts", "reason", "error"},
		Meaning: "A backend server does not respond. The runs it may have count as running until their leases have expired.",
		Action:  "If it neither responds again nor leaves the list within seconds, check the server and the network path to it.",
	}
	ServerResponsive = Event{
		Number: 6024, Level: slog.LevelInfo, Name: "server_heard",
		Fields:  []string{"server", "silent"},
		Meaning: "A backend server responds again. The field silent is how long it did not, in milliseconds.",
	}
	ServerRestarted = Event{
		Number: 6025, Level: slog.LevelWarn, Name: "server_reborn",
		Fields:  []string{"server", "born", "before", "attempts", "processedEnd", "storedEnd"},
		Meaning: "A backend server restarted under the same ID; its earlier runs are over. Of the earlier instance, ends were handled through processedEnd and stored through storedEnd.",
		Action:  "Find the cause of the restart.",
	}
	ServerRemoved = Event{
		Number: 6026, Level: slog.LevelInfo, Name: "server_forgotten",
		Fields:  []string{"server"},
		Meaning: "A backend server that left the list holds no runs any more; its record was removed.",
	}
	ServerGivenUp = Event{
		Number: 6065, Level: slog.LevelInfo, Name: "server_given_up",
		Fields:  []string{"server", "epoch", "waited", "waitedBefore"},
		Meaning: "A new owner never heard from a server that earlier owners used, and takes all leases that they sent there for expired: their tasks may be started elsewhere. The field waited is the time since this owner's claim and waitedBefore that waited by earlier owners, both in milliseconds.",
	}
	ServerQuarantined = Event{
		Number: 6027, Level: slog.LevelWarn, Name: "server_rests",
		Fields:  []string{"server", "faults", "rest"},
		Meaning: "Several consecutive runs failed on a backend server; it gets no tasks for the time rest.",
		Action:  "Examine the failed runs. If only tasks of one queue fail, examine that queue.",
	}
	TaskEvacuated = Event{
		Number: 6028, Level: slog.LevelInfo, Name: "task_evacuated",
		Fields:  []string{"task", "run", "server", "leavesMS"},
		Meaning: "A task is stopped, to resume from its checkpoint on another server, because its server leaves in leavesMS milliseconds.",
	}
	ServerEntryUnreadable = Event{
		Number: 6039, Level: slog.LevelWarn, Name: "entry_unreadable",
		Fields:  []string{"server", "error"},
		Meaning: "An entry of the platform's list could not be decoded and was ignored.",
		Action:  "Fix the server that wrote the entry.",
	}
	ServersUnreachable = Event{
		Number: 6050, Level: slog.LevelWarn, Name: "servers_unreachable",
		Fields:  []string{"unreachable", "silent", "withRuns"},
		Meaning: "Most backend servers that have runs of this daemon stopped responding to it, which is more likely to be a fault of this VM or its network. The leases of their runs are still renewed for the length of one lease. Or, if unreachable is false, that is over.",
		Action:  "Check the load and the network of this VM; see orders_congested.",
	}
	ServerCrashed = Event{
		Number: 6052, Level: slog.LevelWarn, Name: "server_crashed",
		Fields:  []string{"server", "address", "born", "how", "attempts", "silent"},
		Meaning: "An instance of a backend server is certainly over without having announced it, and its runs with it. The field how says how that was learned; silent is how long the server did not respond before, in milliseconds.",
		Action:  "Compare the tasks of its run_lost events with those of other crashes: a task that recurs may crash its servers; an address that recurs is a faulty machine.",
	}
	TaskSuspected = Event{
		Number: 6053, Level: slog.LevelInfo, Name: "task_suspected",
		Fields:  []string{"task", "run", "server", "evidence", "crashes", "age"},
		Meaning: "A server crashed under a run of the task. The field evidence says how much that shows: alone, the run was on trial there; shared, others may have caused it as well; weak, something else is the likelier cause. The field crashes counts those since the task last passed a trial; age is that of the run, in milliseconds.",
	}
	TrialBegun = Event{
		Number: 6054, Level: slog.LevelInfo, Name: "trial_begun",
		Fields:  []string{"step", "tasks", "server", "lasts"},
		Meaning: "Tasks of a step that may have crashed their servers are started on a server on which nothing else is started for the time lasts, in milliseconds. A gang uses several servers, of which one is named.",
	}
	TaskCleared = Event{
		Number: 6055, Level: slog.LevelInfo, Name: "task_cleared",
		Fields:  []string{"task"},
		Meaning: "A task that may have crashed its servers has run long enough, or to its end, without a crash.",
	}
	TaskGivenUp = Event{
		Number: 6056, Level: slog.LevelWarn, Name: "task_given_up",
		Fields:  []string{"id", "task", "queue", "crashes"},
		Meaning: "A task crashed the servers on which it was tried; its submission ends as failed.",
		Action:  "Tell the submission's team. The task_suspected events of the task name the servers and times.",
	}
	ServerShrank = Event{
		Number: 6057, Level: slog.LevelInfo, Name: "server_shrank",
		Fields:  []string{"server", "cpu", "free", "attempts", "withdrawn"},
		Meaning: "A backend server's capacity shrank below what its attempts need. It gets no tasks until enough of them have ended; starts that it had not confirmed are withdrawn. The fields cpu and free are in thousandths of a core.",
	}
)
