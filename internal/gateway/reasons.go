package gateway

import "github.com/currantwinch/currantwinch/verdict"

// The reasons of errors that implementations of Backends return.
const (
	// ReasonBackendUnreachable means that no connection could be established.
	ReasonBackendUnreachable verdict.Reason = "backend_unreachable"
	// ReasonLeaseExpired means that the lease of the slot ended before the
	// request was written.
	ReasonLeaseExpired verdict.Reason = "credit_lapsed"
	// ReasonDeadlineExceeded means that the deadline passed before a slot was
	// assigned or the request was sent.
	ReasonDeadlineExceeded verdict.Reason = "deadline"
	// ReasonNoResponse means that the request was written and no response
	// arrived before the deadline.
	ReasonNoResponse verdict.Reason = "no_answer"
	// ReasonConnectionBroken means that the connection broke after a byte was
	// written.
	ReasonConnectionBroken verdict.Reason = "cut_off"
	// ReasonResponseTruncated means that the response ended before it was
	// complete.
	ReasonResponseTruncated verdict.Reason = "answer_cut"
	// ReasonResponseMismatched means that the response has another request's
	// ID.
	ReasonResponseMismatched verdict.Reason = "answer_crossed"
	// ReasonResponseOversized means that the response exceeds
	// Request.MaxResponseBytes.
	ReasonResponseOversized verdict.Reason = "answer_oversized"
	// ReasonResponseMalformed means that the response could not be parsed.
	ReasonResponseMalformed verdict.Reason = "answer_malformed"
	// ReasonResponseMemory means that the responses to all calls take the memory that they
	// may, so that this one was not read.
	ReasonResponseMemory verdict.Reason = "answer_memory"
	// ReasonBackendLeaving means that the backend server is about to stop and
	// did not run the request.
	ReasonBackendLeaving verdict.Reason = "backend_leaving"
	// ReasonBackendDeclined means that the backend server reported that it did
	// not run the request.
	ReasonBackendDeclined verdict.Reason = "backend_declined"
)

// The reasons of errors that the gateway itself returns to callers.
const (
	ReasonServiceUnknown  verdict.Reason = "service_unknown"
	ReasonKindUnknown     verdict.Reason = "kind_unknown"
	ReasonCallerRequired  verdict.Reason = "caller_required"
	ReasonKeyRequired     verdict.Reason = "key_required"
	ReasonInvalidDeadline verdict.Reason = "deadline_invalid"
	ReasonInvalidCount    verdict.Reason = "count_invalid"
	ReasonBodyTooLarge    verdict.Reason = "body_too_large"
	ReasonBodyTruncated   verdict.Reason = "body_cut"
	// ReasonBodyMemory means that the bodies of all calls take the memory or the processor
	// time that they may.
	ReasonBodyMemory       verdict.Reason = "body_memory"
	ReasonHeaderTooLong    verdict.Reason = "header_too_long"
	ReasonNotFound         verdict.Reason = "not_found"
	ReasonMethodNotAllowed verdict.Reason = "method_not_allowed"
	// ReasonStopping means that this daemon is about to stop.
	ReasonStopping verdict.Reason = "daemon_stopping"
	// ReasonTooManyCalls means that Limits.MaxCalls calls are in flight.
	ReasonTooManyCalls verdict.Reason = "too_many_calls"
	// ReasonStarting means that this daemon has not yet started.
	ReasonStarting verdict.Reason = "daemon_starting"
	// ReasonCallerDisconnected means that the caller disconnected before its
	// request was sent.
	ReasonCallerDisconnected verdict.Reason = "caller_gone"
	// ReasonQueueFull means that no more requests may be queued.
	ReasonQueueFull verdict.Reason = "queue_full"
	// ReasonRateLimited means that the caller exceeds its rate limit.
	ReasonRateLimited verdict.Reason = "rate_limited"
	// ReasonInProgress means that another attempt with the key is still
	// running.
	ReasonInProgress verdict.Reason = "in_progress"
	// ReasonKeyOwnerUnreachable means that the key's owner could not be reached.
	ReasonKeyOwnerUnreachable verdict.Reason = "key_owner_unreachable"
	// ReasonNoKeys means that no daemon could issue a key.
	ReasonNoKeys verdict.Reason = "no_keys"
	// ReasonBillsFull means that Limits.MaxBills bills wait for the log.
	ReasonBillsFull verdict.Reason = "bills_full"
	// ReasonNoSlot means that no backend server of the pool had a slot.
	ReasonNoSlot verdict.Reason = "no_slot"
)

const (
	reasonNotOwner         verdict.Reason = "not_owner"
	reasonMalformedMessage verdict.Reason = "message_malformed"
	reasonStaleRequest     verdict.Reason = "ask_stale"
)
