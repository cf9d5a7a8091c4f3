package gateway

import "github.com/currantwinch/currantwinch/verdict"

// The reasons that adapters of backend servers give.
const (
	// ReasonBackendUnreachable means that no connection could be had.
	ReasonBackendUnreachable verdict.Reason = "backend_unreachable"
	// ReasonLeaseExpired means that the right to use the slot ended before
	// the request was written.
	ReasonLeaseExpired verdict.Reason = "credit_lapsed"
	// ReasonDeadlineExceeded means that the time for the answer ran out.
	ReasonDeadlineExceeded verdict.Reason = "deadline"
	// ReasonNoResponse means that the request was written and no answer came
	// in time.
	ReasonNoResponse verdict.Reason = "no_answer"
	// ReasonConnectionBroken means that the connection broke after a byte was written.
	ReasonConnectionBroken verdict.Reason = "cut_off"
	// ReasonResponseTruncated means that the answer ended too early.
	ReasonResponseTruncated verdict.Reason = "answer_cut"
	// ReasonResponseMismatched means that the answer belongs to another request.
	ReasonResponseMismatched verdict.Reason = "answer_crossed"
	// ReasonResponseOversized means that the answer is larger than allowed.
	ReasonResponseOversized verdict.Reason = "answer_oversized"
	// ReasonResponseMalformed means that the answer cannot be read.
	ReasonResponseMalformed verdict.Reason = "answer_malformed"
	// ReasonBackendLeaving means that the backend server is about to stop and did
	// not run the request.
	ReasonBackendLeaving verdict.Reason = "backend_leaving"
	// ReasonBackendDeclined means that the backend server did not run the request.
	ReasonBackendDeclined verdict.Reason = "backend_declined"
)

// The reasons that the gateway itself gives to callers.
const (
	ReasonServiceUnknown   verdict.Reason = "service_unknown"
	ReasonKindUnknown      verdict.Reason = "kind_unknown"
	ReasonCallerRequired   verdict.Reason = "caller_required"
	ReasonKeyRequired      verdict.Reason = "key_required"
	ReasonInvalidDeadline  verdict.Reason = "deadline_invalid"
	ReasonInvalidCount     verdict.Reason = "count_invalid"
	ReasonBodyTooLarge     verdict.Reason = "body_too_large"
	ReasonBodyTruncated    verdict.Reason = "body_cut"
	ReasonHeaderTooLong    verdict.Reason = "header_too_long"
	ReasonNotFound         verdict.Reason = "not_found"
	ReasonMethodNotAllowed verdict.Reason = "method_not_allowed"
	// ReasonStopping means that this daemon is about to stop.
	ReasonStopping verdict.Reason = "daemon_stopping"
	// ReasonTooManyCalls means that this daemon has all the calls it can hold.
	ReasonTooManyCalls verdict.Reason = "too_many_calls"
	// ReasonStarting means that this daemon has not yet started.
	ReasonStarting verdict.Reason = "daemon_starting"
	// ReasonCallerDisconnected means that the caller gave up before the start.
	ReasonCallerDisconnected verdict.Reason = "caller_gone"
	// ReasonQueueFull means that no more requests may wait.
	ReasonQueueFull verdict.Reason = "queue_full"
	// ReasonRateLimited means that the caller sends more than it may.
	ReasonRateLimited verdict.Reason = "rate_limited"
	// ReasonInProgress means that another attempt with the key still runs.
	ReasonInProgress verdict.Reason = "in_progress"
	// ReasonKeyOwnerUnreachable means that the key's owner could not be reached.
	ReasonKeyOwnerUnreachable verdict.Reason = "key_owner_unreachable"
	// ReasonNoKeys means that no daemon could issue a key.
	ReasonNoKeys verdict.Reason = "no_keys"
	// ReasonBillsFull means that no more bills can be kept until the log
	// takes those that wait.
	ReasonBillsFull verdict.Reason = "bills_full"
	// ReasonNoSlot means that no backend server of the pool had a slot.
	ReasonNoSlot verdict.Reason = "no_slot"
)

const (
	reasonNotOwner   verdict.Reason = "not_owner"
	reasonBadMessage verdict.Reason = "message_malformed"
	reasonStaleAsk   verdict.Reason = "ask_stale"
)
