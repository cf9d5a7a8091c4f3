package events

import "log/slog"

// Events of submissions and of the partitions that store them.
var (
	SubmissionAccepted = Event{
		Number: 6001, Level: slog.LevelInfo, Name: "submission_accepted",
		Fields:  []string{"id", "queue", "steps", "took"},
		Meaning: "A submission was accepted and stored. The field took is the time since it arrived at the owner, in milliseconds.",
	}
	SubmissionRefused = Event{
		Number: 6002, Level: slog.LevelInfo, Name: "submission_refused",
		Fields:  []string{"id", "queue", "reason", "retryAfterMS", "jobs", "version", "calledVersion"},
		Meaning: "A submission was refused and never runs. The fields version and calledVersion are the versions of the configuration of this owner and of the daemon that was called.",
		Action:  "Depends on the reason. The caller was told when to retry.",
	}
	OwnerOutdated = Event{
		Number: 6124, Level: slog.LevelInfo, Name: "owner_configuration_older",
		Fields:  []string{"epoch", "version", "calledVersion"},
		Meaning: "A submission arrived at a daemon with the later version calledVersion of the configuration, while this owner still has version. What the later version says of the submission decides. Logged once for each version.",
		Action:  "None. If it repeats for one daemon, find out why the store's answers reach it late.",
	}
	SubmissionCancelled = Event{
		Number: 6003, Level: slog.LevelInfo, Name: "submission_cancelled",
		Fields:  []string{"id", "queue", "age"},
		Meaning: "A caller cancelled a submission; its runs are being stopped.",
	}
	SubmissionEnded = Event{
		Number: 6004, Level: slog.LevelInfo, Name: "submission_ended",
		Fields:  []string{"id", "queue", "status", "age"},
		Meaning: "The final state of a submission was stored and is returned to callers from now on.",
	}
	MemoryBudgetChanged = Event{
		Number: 6067, Level: slog.LevelWarn, Name: "memory_budget",
		Fields:  []string{"epoch", "exceeded", "held", "limit", "jobs"},
		Meaning: "Accepted work that is due waits for memory, since the partition holds more than this owner's budget of limit bytes: it was filled under a larger one. What was accepted first goes on. Or, if exceeded is false, nothing waits for memory any more.",
		Action:  "Cancel what is not needed, or replace the smallest VMs by larger ones: the budget follows their memory.",
	}
	TenantAtCap = Event{
		Number: 6090, Level: slog.LevelInfo, Name: "tenant_at_cap",
		Fields:  []string{"tenant", "step", "runs", "cpu", "memoryMB", "gpu", "unattributedCPU"},
		Meaning: "A tenant's cap begins to hold back starts, that of step first; step is empty if no server had room either. The tenant has so many runs, which reserve cpu, memoryMB and gpu; runs that are being stopped count until their end is certain. The field unattributedCPU is the capacity of servers whose runs are not known, which counts for every tenant.",
		Action:  "None, or raise the tenant's cap. If unattributedCPU is large for long, find out which servers do not answer.",
	}
	TenantBelowCap = Event{
		Number: 6091, Level: slog.LevelInfo, Name: "tenant_below_cap",
		Fields:  []string{"tenant", "took"},
		Meaning: "A tenant's cap holds back no more starts. The field took is for how long it did, in milliseconds.",
	}
	TenantInExcess = Event{
		Number: 6092, Level: slog.LevelInfo, Name: "tenant_in_excess",
		Fields:  []string{"tenant", "queue"},
		Meaning: "A tenant begins to send more submissions than its rate, which is its weight a second, with a burst of quota_window_s. What it sends beyond that is placed behind all other work and refused first.",
		Action:  "None, or raise the tenant's weight.",
	}
	TenantWithinRate = Event{
		Number: 6093, Level: slog.LevelInfo, Name: "tenant_within_rate",
		Fields:  []string{"tenant", "took", "submissions"},
		Meaning: "A tenant keeps to its rate of submissions again. The field submissions counts those beyond it, repeats of refused ones included, and took is for how long they came, in milliseconds.",
	}
	CapGiven = Event{
		Number: 6094, Level: slog.LevelInfo, Name: "cap_given",
		Fields:  []string{"tenant", "to", "number", "amount", "left"},
		Meaning: "This partition gives a part of a tenant's cap to the partition to, whose owner asked for it, and has left of it; both in millionths of the cap. The transfer is stored and is sent until it is confirmed.",
	}
	CapTaken = Event{
		Number: 6095, Level: slog.LevelInfo, Name: "cap_taken",
		Fields:  []string{"tenant", "from", "number", "amount", "held"},
		Meaning: "A part of a tenant's cap from the partition from is stored here, which holds held of it now; both in millionths of the cap.",
	}
	SubmissionHandedOver = Event{
		Number: 6060, Level: slog.LevelInfo, Name: "submission_handed_over",
		Fields:  []string{"id", "queue", "to", "number", "why", "service", "waited"},
		Meaning: "This shard cannot run a submission, or only a part of it, or is full, and hands it over to the shard of the partition to, which has room; or its queue leads to another service, and the partition to is that service's. The field number counts the submission's handovers; waited is how long nothing of it has run, in milliseconds.",
		Action:  "None. If many submissions are incapable, the servers that they need are in few racks: spread them.",
	}
	SubmissionRelocated = Event{
		Number: 6126, Level: slog.LevelInfo, Name: "submission_relocated",
		Fields:  []string{"id", "queue", "to", "runs"},
		Meaning: "Some tasks of a submission run until it is cancelled, and others can run in another shard alone. That of the partition to has room for all of them, so that the runs here, of which there are so many, are stopped and the submission is handed over.",
		Action:  "None. If it is frequent, the servers that such submissions need are in few racks: spread them.",
	}
	SubmissionTakenOver = Event{
		Number: 6061, Level: slog.LevelInfo, Name: "submission_taken_over",
		Fields:  []string{"id", "queue", "from", "number"},
		Meaning: "A submission that the shard of the partition from handed over is stored here and runs here from now on.",
	}
	SubmissionRerouted = Event{
		Number: 6068, Level: slog.LevelInfo, Name: "submission_rerouted",
		Fields:  []string{"id", "queue", "service"},
		Meaning: "A version of the configuration leads the queue to another service, whose servers belong to the same owner; what is left of the submission runs there.",
	}
	HandoverDelayed = Event{
		Number: 6062, Level: slog.LevelWarn, Name: "handover_delayed",
		Fields:  []string{"id", "to", "number", "error"},
		Meaning: "The owner of the other partition has not confirmed a handover. It is sent again until it is confirmed; the submission runs nowhere until then.",
		Action:  "If it lasts, find out why the partition has no owner that reaches the store.",
	}
	ForwardCheckFailed = Event{
		Number: 6063, Level: slog.LevelInfo, Name: "forward_check_failed",
		Fields:  []string{"to", "submissions", "error"},
		Meaning: "The owner of another partition did not say which of the submissions handed over to it long ago it still knows. It is asked again.",
	}
	TaskPlaced = Event{
		Number: 6005, Level: slog.LevelInfo, Name: "task_placed",
		Fields:  []string{"task", "run", "server", "waited", "free", "clockAge", "inherited"},
		Meaning: "A start command was sent to a server. The field waited is the time since the task became runnable and clockAge the age of the server's clock reading, both in milliseconds; free is the server's free CPU. If inherited is true, an earlier owner may have started the task, and its run was never seen by this one.",
	}
	CommandFailed = Event{
		Number: 6006, Level: slog.LevelInfo, Name: "order_failed",
		Fields:  []string{"task", "run", "server", "order", "reason", "verdict", "error"},
		Meaning: "A start or stop command was refused or got no response. The verdict tells whether it may still be carried out.",
	}
	RunEnded = Event{
		Number: 6007, Level: slog.LevelInfo, Name: "run_ended",
		Fields:  []string{"task", "run", "server", "end", "number"},
		Meaning: "A backend server reported the end of a run.",
	}
	RunLost = Event{
		Number: 6008, Level: slog.LevelWarn, Name: "run_lost",
		Fields:  []string{"task", "run", "server", "born", "why", "age"},
		Meaning: "A run is over and its outcome is unknown; its task is restarted. The field age is the time from its start order until the server stopped responding, in milliseconds.",
		Action:  "Examine the server's earlier events. If many servers lose runs at the same time, check the network.",
	}
	RunOrphaned = Event{
		Number: 6009, Level: slog.LevelWarn, Name: "run_unknown",
		Fields:  []string{"task", "run", "server", "born"},
		Meaning: "A backend server runs a task of a submission that has ended; the run is stopped.",
		Action:  "None, unless it repeats for one server: then the server does not carry out stop commands.",
	}
	RunAdopted = Event{
		Number: 6010, Level: slog.LevelInfo, Name: "run_adopted",
		Fields:  []string{"task", "run", "server", "born"},
		Meaning: "A run that was started by an earlier owner was adopted by this daemon.",
	}
	GangIncomplete = Event{
		Number: 6011, Level: slog.LevelInfo, Name: "gang_broken",
		Fields:  []string{"step", "missing", "members"},
		Meaning: "A run of a gang is incomplete: some members were not placed in time, or their runs ended. The other members are stopped. The field missing is the number of these members.",
	}
	GangReserved = Event{
		Number: 6014, Level: slog.LevelInfo, Name: "gang_reserved",
		Fields:  []string{"step", "members", "servers", "cpu", "waited"},
		Meaning: "Capacity for all members of a gang is reserved while their tickets are requested from the policy service. The field cpu is in thousandths of a core; waited is the time since the step became runnable, in milliseconds.",
	}
	PlacementPass = Event{
		Number: 6080, Level: slog.LevelInfo, Name: "placement_pass",
		Fields:  []string{"tookUS", "queued", "steps", "servers", "placed", "end"},
		Meaning: "A placement pass took over a millisecond or ended by its budget; or it placed tasks, and none was logged for 100 ms. The field tookUS is its length in microseconds; queued is the number of queued steps, steps and servers the number examined, a server once for each step. The field end says why the pass ended: done, start_room if no more starts could be sent, or budget if events wait to be handled first; the pass then goes on after them.",
	}
	PolicyApplied = Event{
		Number: 6012, Level: slog.LevelInfo, Name: "advice_taken",
		Fields:  []string{"step", "asked", "allowed", "validMS"},
		Meaning: "The policy service returned the servers that may run a step.",
	}
	PolicyRequestFailed = Event{
		Number: 6013, Level: slog.LevelWarn, Name: "advice_failed",
		Fields:  []string{"step", "servers", "error"},
		Meaning: "A request to the policy service failed; it is retried.",
		Action:  "If it persists, restore the policy service. Queues with a policy start no tasks until then.",
	}
	OwnerClaimed = Event{
		Number: 6030, Level: slog.LevelInfo, Name: "owner_claimed",
		Fields:  []string{"partition", "epoch", "offset", "before", "records", "took"},
		Meaning: "This daemon became the owner of a partition. Its claim stands in the log at offset; before is the daemon that claimed it last. No two daemons log the same partition and epoch. The field took is in milliseconds.",
	}
	OwnerRecovered = Event{
		Number: 6031, Level: slog.LevelInfo, Name: "owner_recovered",
		Fields:  []string{"epoch", "took", "servers", "jobs"},
		Meaning: "All runs that earlier owners may have started are known or over; tasks taken over from them may be started.",
	}
	OwnerFenced = Event{
		Number: 6032, Level: slog.LevelWarn, Name: "owner_fenced",
		Fields:  []string{"server", "epoch"},
		Meaning: "The server has accepted commands of a later owner; this daemon gives up the partition.",
		Action:  "None, unless two daemons fence each other repeatedly: then check the daemons' group at the store.",
	}
	OwnerEnded = Event{
		Number: 6033, Level: slog.LevelInfo, Name: "owner_ended",
		Fields:  []string{"partition", "epoch", "why"},
		Meaning: "This daemon no longer owns a partition.",
	}
	RecordUnreadable = Event{
		Number: 6034, Level: slog.LevelWarn, Name: "record_unreadable",
		Fields:  []string{"key", "offset", "error"},
		Meaning: "A record could not be decoded and was skipped.",
		Action:  "Report it; a submission may be missing.",
	}
	OwnerSuperseded = Event{
		Number: 6059, Level: slog.LevelInfo, Name: "owner_superseded",
		Fields:  []string{"partition", "epoch", "later"},
		Meaning: "Another daemon told this one that it owns the partition under a later epoch; this daemon gives it up.",
	}
	EarlierOwnerNotified = Event{
		Number: 6064, Level: slog.LevelInfo, Name: "earlier_owner_told",
		Fields:  []string{"partition", "epoch", "daemon", "took", "stopped", "error"},
		Meaning: "This daemon told another one, on which an earlier owner ran or which is a witness of one, that it owns the partition now. If stopped is true, no earlier owner runs there any more; if error is not empty, that daemon was not reached last. The field took is the time since the claim, in milliseconds.",
	}
	RestartTimeMissed = Event{
		Number: 6069, Level: slog.LevelWarn, Name: "restart_time_missed",
		Fields:  []string{"maxLease", "restartTime"},
		Meaning: "By the settings, a lease on a server that fell silent together with its owner lasts so long that its tasks run elsewhere later than the platform asks. Both fields are in milliseconds.",
		Action:  "If the loss of a server together with its owner has to be borne, shorten bounds.max_hold_ms or lengthen bounds.finish_s.",
	}
	LeaseRenewalChanged = Event{
		Number: 6066, Level: slog.LevelInfo, Name: "lease_renewal",
		Fields:  []string{"epoch", "renewed", "evidenceAge"},
		Meaning: "An owner renews no more leases, since nothing has shown for a whole lease that it still owns the partition. Or, if renewed is true, it renews them again. The field evidenceAge is the age of what showed that last, in milliseconds.",
	}
	WriteRejected = Event{
		Number: 6058, Level: slog.LevelError, Name: "write_rejected",
		Fields:  []string{"write", "epoch", "error"},
		Meaning: "The store does not accept a record, nor would it accept it again. That write was dropped; others go on. A submission that waited for it was refused, and a server is not used.",
		Action:  "The error names the record and the bound. If it is the progress of a submission, cancel that submission.",
	}
	StoreLost = Event{
		Number: 6035, Level: slog.LevelWarn, Name: "store_lost",
		Fields:  []string{"call", "error"},
		Meaning: "Calls of this daemon to the platform's store fail.",
		Action:  "If all daemons report it, the store is down. If only one does, check its network path; its calls are relayed through other daemons until then.",
	}
	StoreRecovered = Event{
		Number: 6036, Level: slog.LevelInfo, Name: "store_regained",
		Fields:  []string{"call", "lost"},
		Meaning: "Calls to the platform's store succeed again. The field lost is how long they failed, in milliseconds.",
	}
	ConfigurationApplied = Event{
		Number: 6037, Level: slog.LevelInfo, Name: "configuration_taken",
		Fields:  []string{"version", "queues", "services", "from", "offset"},
		Meaning: "A new version of the configuration is in force on this daemon. It is the record at offset in the store, and came from the daemon from, or from the store if that is empty.",
	}
	ConfigurationUnreadable = Event{
		Number: 6038, Level: slog.LevelWarn, Name: "configuration_unreadable",
		Fields:  []string{"offset", "from", "error"},
		Meaning: "A version of the configuration could not be decoded; the previous one stays in force. It came from the daemon from, or from the store if that is empty.",
		Action:  "Publish a valid version.",
	}
	ConfigurationUnconfirmed = Event{
		Number: 6125, Level: slog.LevelWarn, Name: "configuration_unconfirmed",
		Fields:  []string{"unconfirmed", "version", "age"},
		Meaning: "This daemon has heard neither the store nor another daemon for age milliseconds, which is longer than a version of the configuration may take to be in force. It is not ready, and answers callers with 503 until it hears one. Or, if unconfirmed is false, it has.",
		Action:  "Check the daemon's network path, or what has stopped its process.",
	}
	CallFailed = Event{
		Number: 6040, Level: slog.LevelInfo, Name: "call_failed",
		Fields:  []string{"call", "id", "queue", "status", "reason", "took", "version", "unconfirmed", "ownerVersion"},
		Meaning: "A caller's request was answered with an error. The field took is in milliseconds. The request was matched by this version of the configuration, which was known to be the newest so many milliseconds before (unconfirmed); ownerVersion is that of the partition's owner, or 0 if no owner answered.",
	}
	MemberYieldChanged = Event{
		Number: 6044, Level: slog.LevelInfo, Name: "member_yields",
		Fields:  []string{"yields", "larger", "holders", "cpu"},
		Meaning: "This daemon yields partitions to daemons on larger VMs, or no longer does. The field larger is how many of the holders have at least twice its CPU, or a link of at least twice the rate, and no less of the other; cpu is in thousandths of a core.",
	}
	VMIsolationChanged = Event{
		Number: 6045, Level: slog.LevelWarn, Name: "vm_cut_off",
		Fields:  []string{"cut"},
		Meaning: "This daemon is isolated and not ready: it gets no response from the store or from any other daemon. Or, if cut is false, it gets responses again.",
		Action:  "Check the network of this VM.",
	}
	StoreSuspected = Event{
		Number: 6046, Level: slog.LevelInfo, Name: "store_suspected",
		Fields:  []string{"heardAge", "latency"},
		Meaning: "The store did not respond for longer than its recent latency explains; calls are relayed through other daemons. The fields latency and heardAge, the time since the last response from the store or a daemon, are in milliseconds.",
	}
	StoreSuspicionCleared = Event{
		Number: 6047, Level: slog.LevelInfo, Name: "store_trusted",
		Fields:  []string{"suspected"},
		Meaning: "The store responds to this daemon directly again. The field suspected is how long calls were relayed, in milliseconds.",
	}
	OrdersCongested = Event{
		Number: 6048, Level: slog.LevelWarn, Name: "orders_congested",
		Fields:  []string{"partition", "congested", "window", "inFlight", "waiting", "delay", "timeout"},
		Meaning: "Orders of this daemon to backend servers wait for its link or processor, so that fewer are sent at once. Or, if congested is false, they no longer wait. The field window is the number of orders in flight that is allowed; delay, the queueing delay, and timeout are in milliseconds.",
		Action:  "If it lasts, the VM is too small for the backend servers that it owns: use larger VMs or split the service.",
	}
	StartNotSent = Event{
		Number: 6049, Level: slog.LevelInfo, Name: "start_not_sent",
		Fields:  []string{"task", "run", "server", "copies"},
		Meaning: "A start waited to be sent until it was useless, or was stopped first. If copies is 0, the run has not begun, and the task is placed again if it still has to run.",
	}
	StartsForwarded = Event{
		Number: 6051, Level: slog.LevelInfo, Name: "starts_forwarded",
		Fields:  []string{"partition", "forwarded"},
		Meaning: "This daemon's link is too slow for the starts that it sends; they go through other daemons, several in one message. Or, if forwarded is false, they are sent directly again.",
	}
	LayoutApplied = Event{
		Number: 6042, Level: slog.LevelInfo, Name: "layout_taken",
		Fields:  []string{"service", "shards", "racks"},
		Meaning: "This daemon applied a layout of a service. The fields are its number of shards and of racks that have a shard.",
	}
	LayoutUnreadable = Event{
		Number: 6043, Level: slog.LevelWarn, Name: "layout_unreadable",
		Fields:  []string{"service", "error"},
		Meaning: "A layout record of a service could not be decoded or contradicts the one in force; it was skipped.",
		Action:  "Report it; new racks may stay unused.",
	}
	ServerSpeedChanged = Event{
		Number: 6120, Level: slog.LevelInfo, Name: "server_speed_changed",
		Fields:  []string{"server", "slow", "class", "attempts"},
		Meaning: "A backend server runs tasks over 2.4 times as long as the usual server of its service, so that work goes round it. Or, if slow is false, it does not any more, or nothing ran there for a while and it is tried again. The field class is its speed against the usual server: 0 is alike, each class up is a factor of 1.4.",
	}
	CopyStarted = Event{
		Number: 6121, Level: slog.LevelInfo, Name: "copy_started",
		Fields:  []string{"task", "run", "server", "slowRun", "slowServer", "age", "expected"},
		Meaning: "A second run of a task of a speculative step was ordered, because the first takes much longer than expected. The first that ends done counts. The fields age and expected, of the first run, are in milliseconds.",
	}
	CopyDecided = Event{
		Number: 6122, Level: slog.LevelInfo, Name: "copy_decided",
		Fields:  []string{"task", "run", "server", "copy"},
		Meaning: "One of two runs of a task ended done, the second one if copy is true; the other is being stopped.",
	}
	LocalityWaitEnded = Event{
		Number: 6123, Level: slog.LevelInfo, Name: "locality_wait_ended",
		Fields:  []string{"step", "waited", "server", "local"},
		Meaning: "Tasks of a step could have started outside the rack of their data or their group, and waited for a slot in it. The first of them starts now, in that rack if local is true. The field waited is in milliseconds.",
	}
	SettingsReloaded = Event{
		Number: 6041, Level: slog.LevelInfo, Name: "settings_reloaded",
		Fields:  []string{"file", "error"},
		Meaning: "The settings file was reloaded on a signal.",
	}
)

// submissionEvents are the events of submissions, numbered from 6000.
var submissionEvents = []Event{
	SubmissionAccepted, SubmissionRefused, OwnerOutdated, SubmissionCancelled, SubmissionEnded, MemoryBudgetChanged, TenantAtCap, TenantBelowCap, TenantInExcess, TenantWithinRate, CapGiven, CapTaken,
	SubmissionHandedOver, SubmissionRelocated, SubmissionRerouted, SubmissionTakenOver, HandoverDelayed, ForwardCheckFailed,
	TaskPlaced, CommandFailed, RunEnded, RunLost, RunOrphaned, RunAdopted, GangIncomplete, PolicyApplied, PolicyRequestFailed, GangReserved, PlacementPass,
	ServerListed, ServerUnlisted, ServerDraining, ServerUnresponsive, ServerResponsive, ServerRestarted, ServerRemoved, ServerGivenUp, ServerQuarantined, TaskEvacuated,
	OwnerClaimed, OwnerRecovered, OwnerFenced, OwnerEnded, OwnerSuperseded, EarlierOwnerNotified, RestartTimeMissed, LeaseRenewalChanged, RecordUnreadable, WriteRejected, StoreLost, StoreRecovered,
	ConfigurationApplied, ConfigurationUnreadable, ConfigurationUnconfirmed, ServerEntryUnreadable, CallFailed, SettingsReloaded, LayoutApplied, LayoutUnreadable, MemberYieldChanged, VMIsolationChanged,
	StoreSuspected, StoreSuspicionCleared, OrdersCongested, StartNotSent, ServersUnreachable, StartsForwarded, ServerCrashed,
	TaskSuspected, TrialBegun, TaskCleared, TaskGivenUp, ServerShrank, ServerSpeedChanged, CopyStarted, CopyDecided, LocalityWaitEnded,
}
