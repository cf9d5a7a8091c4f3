package events

import "log/slog"

// The events of membership and ownership.
var (
	// DaemonAlive is logged when a daemon is heard of after silence.
	DaemonAlive = Event{
		Number: 3001, Level: slog.LevelInfo, Name: "daemon_alive", Fields: []string{"daemon", "incarnation"},
		Meaning: "Another daemon is heard.",
	}
	// DaemonSuspected is logged when neither this daemon nor any other hears one.
	DaemonSuspected = Event{
		Number: 3002, Level: slog.LevelWarn, Name: "daemon_suspected", Fields: []string{"daemon"},
		Meaning: "Neither this daemon nor any that it hears has heard the named one lately. Others claim its shares.",
		Action:  "See whether its VM is up; if it is, look for a cut between VMs.",
	}
	// DaemonWasPaused is logged when this process did not run for a while.
	DaemonWasPaused = Event{
		Number: 3003, Level: slog.LevelWarn, Name: "daemon_was_paused",
		Meaning: "This process did not run for longer than others wait before they miss it.",
		Action:  "Look for a VM that is short of processor time or was frozen.",
	}
	// SelfRemoved is logged before this process ends itself.
	SelfRemoved = Event{
		Number: 3004, Level: slog.LevelError, Name: "daemon_declared_gone", Fields: []string{"incarnation"},
		Meaning: "The log says that this incarnation has ended. The process ends and must be started anew.",
		Action:  "If it was not replaced on purpose, find out why the platform's list left it out.",
	}
	// DaemonRemovalRecorded is logged when this daemon records another's end.
	DaemonRemovalRecorded = Event{
		Number: 3005, Level: slog.LevelInfo, Name: "daemon_recorded_gone", Fields: []string{"daemon", "incarnation"},
		Meaning: "A daemon was silent and off the platform's list for long; its end was recorded.",
	}
	// SharesClaimed is logged when a claim is sent.
	SharesClaimed = Event{
		Number: 3010, Level: slog.LevelInfo, Name: "shares_claimed", Fields: []string{"shares", "first", "renewal"},
		Meaning: "This daemon asked the log for shares.",
	}
	// ShareLeaseStarted is logged when this daemon begins to act for a share.
	ShareLeaseStarted = Event{
		Number: 3011, Level: slog.LevelInfo, Name: "share_acting", Fields: []string{"share", "epoch"},
		Meaning: "This daemon may act for the share.",
	}
	// ShareLeaseEnded is logged when this daemon may no longer act.
	ShareLeaseEnded = Event{
		Number: 3012, Level: slog.LevelInfo, Name: "share_lapsed", Fields: []string{"share", "epoch", "superseded"},
		Meaning: "This daemon may not act for the share: another claimed it, or the evidence ran out.",
		Action:  "If not superseded, see whether this daemon reaches the log or most of the others.",
	}
	// ShareClaimPending is logged when a claim cannot become effective for long.
	ShareClaimPending = Event{
		Number: 3013, Level: slog.LevelWarn, Name: "share_stuck", Fields: []string{"share", "epoch", "tenures"},
		Meaning: "A claim stands but the tenures before it are not known to be over.",
		Action:  "See docs/operators/ownership.md: most of the witnesses named there must be reached or end.",
	}
	// OwnershipAppendFailed is logged when a record of membership or ownership was not taken.
	OwnershipAppendFailed = Event{
		Number: 3014, Level: slog.LevelWarn, Name: "ownership_append_failed", Fields: []string{"key", "error"},
		Meaning: "The log did not take a join, leave, claim or release, or its answer was lost. It is tried again.",
		Action:  "See docs/operators/log.md if it goes on.",
	}
)

// ownershipEvents are the events of the membership and ownership of shares, numbered from 3000.
var ownershipEvents = []Event{
	DaemonAlive, DaemonSuspected, DaemonWasPaused, SelfRemoved, DaemonRemovalRecorded,
	SharesClaimed, ShareLeaseStarted, ShareLeaseEnded, ShareClaimPending, OwnershipAppendFailed,
}
