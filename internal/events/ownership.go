package events

import "log/slog"

// Events of membership and ownership.
var (
	// DaemonAlive is logged when another daemon joins the set of live daemons.
	DaemonAlive = Event{
		Number: 3001, Level: slog.LevelInfo, Name: "daemon_alive", Fields: []string{"daemon", "incarnation"},
		Meaning: "Another daemon is alive: it was heard from for the first time, or again.",
	}
	// DaemonSuspected is logged when a daemon is no longer believed alive.
	DaemonSuspected = Event{
		Number: 3002, Level: slog.LevelWarn, Name: "daemon_suspected", Fields: []string{"daemon"},
		Meaning: "Neither this daemon nor any daemon it hears from has heard from the named daemon within the failure timeout. Other daemons claim its shares.",
		Action:  "Check that its VM is up; if it is, look for a network partition.",
	}
	// DaemonWasPaused is logged when this process was not scheduled for too long.
	DaemonWasPaused = Event{
		Number: 3003, Level: slog.LevelWarn, Name: "daemon_was_paused",
		Meaning: "This process was paused for longer than the time after which other daemons suspect it.",
		Action:  "Check whether the VM lacks CPU time or was frozen.",
	}
	// SelfRemoved is logged before this process exits because the log records
	// its end.
	SelfRemoved = Event{
		Number: 3004, Level: slog.LevelError, Name: "daemon_declared_gone", Fields: []string{"incarnation"},
		Meaning: "The log records that this incarnation has ended. The process exits and must be restarted.",
		Action:  "If it was not replaced on purpose, find out why it was missing from the platform's VM list.",
	}
	// DaemonRemovalRecorded is logged when this daemon records the end of another.
	DaemonRemovalRecorded = Event{
		Number: 3005, Level: slog.LevelInfo, Name: "daemon_recorded_gone", Fields: []string{"daemon", "incarnation"},
		Meaning: "A daemon was not heard from and not in the platform's VM list for the removal timeout; its end was recorded in the log.",
	}
	// SharesClaimed is logged when a claim is appended.
	SharesClaimed = Event{
		Number: 3010, Level: slog.LevelInfo, Name: "shares_claimed", Fields: []string{"shares", "first", "renewal"},
		Meaning: "This daemon appended a claim of shares to the log.",
	}
	// ShareLeaseStarted is logged when this daemon may begin to act for a share.
	ShareLeaseStarted = Event{
		Number: 3011, Level: slog.LevelInfo, Name: "share_acting", Fields: []string{"share", "epoch"},
		Meaning: "This daemon holds the lease of the share and may act for it.",
	}
	// ShareLeaseEnded is logged when this daemon may no longer act for a share.
	ShareLeaseEnded = Event{
		Number: 3012, Level: slog.LevelInfo, Name: "share_lapsed", Fields: []string{"share", "epoch", "superseded"},
		Meaning: "This daemon may no longer act for the share: another daemon claimed it, or the lease expired.",
		Action:  "If superseded is false, check whether this daemon reaches the log, or a majority of the other daemons.",
	}
	// ShareClaimPending is logged when a claim does not take effect for a long time.
	ShareClaimPending = Event{
		Number: 3013, Level: slog.LevelWarn, Name: "share_stuck", Fields: []string{"share", "epoch", "tenures"},
		Meaning: "A claim cannot take effect because earlier tenures of the share are not known to have ended.",
		Action:  "See docs/operators/ownership.md: a majority of the witnesses listed there must be reachable or have ended.",
	}
	// OwnershipAppendFailed is logged when the append of a record of membership or
	// ownership failed.
	OwnershipAppendFailed = Event{
		Number: 3014, Level: slog.LevelWarn, Name: "ownership_append_failed", Fields: []string{"key", "error"},
		Meaning: "The append of a join, leave, claim or release failed, or its response was lost. It is retried.",
		Action:  "If it persists, see docs/operators/log.md.",
	}
)

// ownershipEvents are the events of membership and ownership, numbered from 3000.
var ownershipEvents = []Event{
	DaemonAlive, DaemonSuspected, DaemonWasPaused, SelfRemoved, DaemonRemovalRecorded,
	SharesClaimed, ShareLeaseStarted, ShareLeaseEnded, ShareClaimPending, OwnershipAppendFailed,
}
