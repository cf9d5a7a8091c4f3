package events

import "log/slog"

// Events of jobs, tasks and workers.
var (
	RackAcquired = Event{
		Number: 5001, Level: slog.LevelInfo, Name: "rack_taken", Fields: []string{"share", "epoch"},
		Meaning: "This daemon became the owner of a rack and begins to read the state of its workers.",
	}
	RackRecovered = Event{
		Number: 5002, Level: slog.LevelInfo, Name: "rack_read", Fields: []string{"share", "epoch", "tasks"},
		Meaning: "The state of every worker of the rack was read, or the worker can hold no task from before this epoch.",
	}
	ExpiredAttemptRunning = Event{
		Number: 5003, Level: slog.LevelError, Name: "dead_attempt_runs", Fields: []string{"worker", "job", "index", "attempt"},
		Meaning: "A worker reports a running attempt whose lease must have expired by the worker's clock. The attempt is stopped.",
		Action:  "Check the worker's clock: its drift exceeds the margin that leases allow for.",
	}
	HomeAcquired = Event{
		Number: 5010, Level: slog.LevelInfo, Name: "home_taken", Fields: []string{"share", "epoch", "jobs"},
		Meaning: "This daemon became the home of the jobs of a key share and collects the state of their tasks.",
	}
	HomeRecovered = Event{
		Number: 5011, Level: slog.LevelInfo, Name: "home_collected", Fields: []string{"share", "epoch", "tasks"},
		Meaning: "Every rack has reported the tasks of the home's jobs. Tasks that no rack reported may be started.",
	}
	JobUnschedulable = Event{
		Number: 5020, Level: slog.LevelWarn, Name: "job_never_runs", Fields: []string{"job", "team", "constraint"},
		Meaning: "The job is unschedulable: no worker satisfies its constraint even when empty, or the team's limit is below one task.",
		Action:  "The team must change the document; `why` names the constraint.",
	}
	JobRevised = Event{
		Number: 5025, Level: slog.LevelInfo, Name: "job_revised", Fields: []string{"job", "team", "revision"},
		Meaning: "The job continues with a changed workload; tasks of earlier revisions are replaced in a rolling update.",
	}
	JobDone = Event{
		Number: 5021, Level: slog.LevelInfo, Name: "job_done", Fields: []string{"job", "team", "succeeded", "failed", "reason"},
		Meaning: "All tasks of the job have ended, and the end of the job is being recorded.",
	}
	TaskFailed = Event{
		Number: 5022, Level: slog.LevelInfo, Name: "task_failed", Fields: []string{"job", "index", "attempt", "worker", "code", "reason"},
		Meaning: "An attempt exited with an error.",
	}
	TaskLost = Event{
		Number: 5023, Level: slog.LevelWarn, Name: "task_lost", Fields: []string{"job", "index", "attempt", "worker", "reason"},
		Meaning: "An attempt was lost: its worker rebooted, or its lease expired while the worker could not be observed.",
		Action:  "None for a single event: the task is restarted. Many on one worker or rack point to its power or network.",
	}
	TaskPreempted = Event{
		Number: 5024, Level: slog.LevelInfo, Name: "task_preempted", Fields: []string{"job", "index", "attempt", "worker"},
		Meaning: "An attempt is preempted for work of higher priority: it is checkpointed, if it supports that, and stopped.",
	}
)

// Events of failures that count against workers and jobs.
var (
	WorkerQuarantined = Event{
		Number: 5030, Level: slog.LevelWarn, Name: "worker_put_aside", Fields: []string{"worker", "share"},
		Meaning: "The worker is quarantined: several jobs that run on other workers failed on it. It gets no new tasks for a while, then one task as a probe.",
		Action:  "Examine the worker; reboot or replace it if its probes fail.",
	}
	TaskExceedsRequest = Event{
		Number: 5032, Level: slog.LevelWarn, Name: "task_oversize", Fields: []string{"job", "index", "attempt", "worker"},
		Meaning: "A task used more than it requested, on a worker that was about to run out of memory or CPU. It is checkpointed and stopped.",
		Action:  "The team should raise the resource request in its document.",
	}
	JobDeferred = Event{
		Number: 5031, Level: slog.LevelWarn, Name: "job_held_back", Fields: []string{"job", "team"},
		Meaning: "The job failed on several workers and succeeded on none. Its tasks are tried one at a time, a minute apart.",
		Action:  "The team should examine the exit codes of the job. The failures do not count against the workers.",
	}
)

// placementEvents are the events of jobs, tasks and workers, numbered from 5000.
var placementEvents = []Event{
	RackAcquired, RackRecovered, ExpiredAttemptRunning,
	HomeAcquired, HomeRecovered, JobUnschedulable, JobDone, TaskFailed, TaskLost, TaskPreempted, JobRevised,
	WorkerQuarantined, TaskExceedsRequest, JobDeferred,
}
