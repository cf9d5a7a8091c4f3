package failure_test

// pair is two faults that are injected together, and the reason why the
// combination is tested.
type pair struct {
	first, second string
	reason        string
}

var pairs = []pair{
	{"log down", "daemon crash", "no claim can be written: the shares of the crashed daemon stay without an owner, and no daemon may assume ownership"},
	{"log down", "failure domain cut off", "the isolated daemons cannot tell an outage of the log from their own isolation"},
	{"log down", "region link cut both ways", "the attestations of witnesses must still form at most one majority"},
	{"log down", "daemon restart", "a daemon that lost its memory must not attest leases and must not serve an older document"},
	{"log down", "daemon paused for longer than its lease", "a lease extended by attestations must end as reliably as one extended by reads of the log"},
	{"log cut from one daemon", "daemon paused for longer than its lease", "the holder resumes with outdated evidence and cannot reach the log"},
	{"log responses lost", "daemon crash", "a claim or a job is in the log, and the daemon that appended it no longer runs"},
	{"log responses lost", "operators race", "a lost response must not lead to a second publication"},
	{"log very slow", "daemon crash", "claims take seconds to be read back while takeover waits run"},
	{"log very slow", "daemon paused for longer than its lease", "a claim sent before the pause is appended after it"},
	{"records deleted by retention", "daemon restart", "recovery must not miss records that retention deleted"},
	{"records deleted by retention", "log cut from one daemon", "a daemon that reconnects finds the records after its offset deleted"},
	{"clock 1% slow", "daemon paused for longer than its lease", "a slow clock makes a lease appear longer than it is"},
	{"clock 1% fast", "daemon crash", "a fast clock makes a takeover wait appear longer than it is"},
	{"daemon crash", "worker unreachable", "the new owner of a rack cannot read the inventory of a worker that still runs tasks"},
	{"daemon crash", "worker loses responses", "a task started, the response was lost, and so was the daemon that requested the start"},
	{"daemon crash", "backend server loses responses", "no daemon remembers the idempotency key of a request that ran"},
	{"daemon crash", "backend server hangs", "slots are held by requests that no daemon waits for any more"},
	{"entry VM leaves", "backend server leaves", "work is handed over to backend servers that accept none"},
	{"entry VM leaves", "load peak", "a graceful stop under the highest load"},
	{"region link cut one way", "VM list hides a daemon", "some daemons receive heartbeats of a daemon that the VM list does not show, and others do not"},
	{"failure domain cut off", "VM list hides a daemon", "a daemon missing from the VM list must not be taken for one that ended"},
	{"worker reboots", "daemon crash", "attempts end while their rack has no owner"},
	{"all jobs cancelled", "daemon crash", "cancelled tasks must not start again at the job's new home"},
}
