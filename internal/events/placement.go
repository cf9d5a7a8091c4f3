package events

import "log/slog"

// The events of jobs, tasks and workers.
var (
	RackAcquired = Event{
		Number: 5001, Level: slog.LevelInfo, Name: "rack_taken", Fields: []string{"share", "epoch"},
		Meaning: "This daemon owns a rack and begins to read its workers.",
	}
	RackRecovered = Event{
		Number: 5002, Level: slog.LevelInfo, Name: "rack_read", Fields: []string{"share", "epoch", "tasks"},
		Meaning: "Every worker of the rack has been read, or can hold nothing from before this epoch.",
	}
	ExpiredAttemptRunning = Event{
		Number: 5003, Level: slog.LevelError, Name: "dead_attempt_runs", Fields: []string{"worker", "job", "index", "attempt"},
		Meaning: "A worker reports an attempt whose lease must have ended by its clock. It is stopped.",
		Action:  "Check the worker's clock rate; it is off by more than the margin that leases allow for.",
	}
	HomeAcquired = Event{
		Number: 5010, Level: slog.LevelInfo, Name: "home_taken", Fields: []string{"share", "epoch", "jobs"},
		Meaning: "This daemon is the home of the jobs of a key share and collects their tasks.",
	}
	HomeRecovered = Event{
		Number: 5011, Level: slog.LevelInfo, Name: "home_collected", Fields: []string{"share", "epoch", "tasks"},
		Meaning: "Every rack has reported the tasks of the home's jobs; what none reported may start.",
	}
	JobUnschedulable = Event{
		Number: 5020, Level: slog.LevelWarn, Name: "job_never_runs", Fields: []string{"job", "team", "constraint"},
		Meaning: "No worker meets the job's constraint even when empty, or its team's limit is below one task.",
		Action:  "The team changes the document; `why` names the constraint.",
	}
	JobRevised = Event{
		Number: 5025, Level: slog.LevelInfo, Name: "job_revised", Fields: []string{"job", "team", "revision"},
		Meaning: "The job goes on under a changed workload; the tasks of earlier revisions are replaced a few at a time.",
	}
	JobDone = Event{
		Number: 5021, Level: slog.LevelInfo, Name: "job_done", Fields: []string{"job", "team", "succeeded", "failed", "reason"},
		Meaning: "All tasks of the job have ended and its end is being recorded.",
	}
	TaskFailed = Event{
		Number: 5022, Level: slog.LevelInfo, Name: "task_failed", Fields: []string{"job", "index", "attempt", "worker", "code", "reason"},
		Meaning: "An attempt ended by itself with an error.",
	}
	TaskLost = Event{
		Number: 5023, Level: slog.LevelWarn, Name: "task_lost", Fields: []string{"job", "index", "attempt", "worker", "reason"},
		Meaning: "An attempt ended without its own doing: its worker rebooted, or its lease lapsed unseen.",
		Action:  "Nothing for one: the task starts again. Many on one worker or rack point to its power or network.",
	}
	TaskPreempted = Event{
		Number: 5024, Level: slog.LevelInfo, Name: "task_preempted", Fields: []string{"job", "index", "attempt", "worker"},
		Meaning: "An attempt is checkpointed if it can be, and stopped, to make room for more pressing work.",
	}
)

// The events of evidence against workers and jobs.
var (
	WorkerQuarantined = Event{
		Number: 5030, Level: slog.LevelWarn, Name: "worker_put_aside", Fields: []string{"worker", "share"},
		Meaning: "The worker failed several jobs that run elsewhere. It takes nothing new for a while, then one task on trial.",
		Action:  "Look at the worker; have it rebooted or replaced if it fails its trials.",
	}
	TaskExceedsRequest = Event{
		Number: 5032, Level: slog.LevelWarn, Name: "task_oversize", Fields: []string{"job", "index", "attempt", "worker"},
		Meaning: "A task used more than it asked for on a worker that was about to run out, and is checkpointed and stopped.",
		Action:  "The team raises the size in its document.",
	}
	JobDeferred = Event{
		Number: 5031, Level: slog.LevelWarn, Name: "job_held_back", Fields: []string{"job", "team"},
		Meaning: "The job failed on several workers and ran on none. One task at a time is tried, a minute apart.",
		Action:  "The team looks at the job's exits; the workers are not blamed.",
	}
)

// placementEvents are the events of the jobs, tasks and workers, numbered from 5000.
var placementEvents = []Event{
	RackAcquired, RackRecovered, ExpiredAttemptRunning,
	HomeAcquired, HomeRecovered, JobUnschedulable, JobDone, TaskFailed, TaskLost, TaskPreempted, JobRevised,
	WorkerQuarantined, TaskExceedsRequest, JobDeferred,
}
