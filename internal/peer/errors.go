package peer

import (
	"encoding/json"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// verdictErrorCode is the JSON-RPC error code of errors that carry a verdict.
const verdictErrorCode = 1

// errorData is sent with the message of an error in a response.
type errorData struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	RetryAfter time.Duration   `json:"retryAfterNanoseconds,omitempty"`
}

func rpcError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: verdictErrorCode, Message: err.Error()}
	e.SetError(errorData{verdict.Of(err), verdict.ReasonOf(err), verdict.RetryAfterOf(err)})
	return e
}

// responseError converts the error of a call that was sent into one with a
// verdict: the verdict of the peer if it responded, otherwise MayHaveRun.
func responseError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonResponseLost)
	}
	data := errorData{Reason: ReasonMalformedMessage}
	if rpcErr.Data != nil {
		if json.Unmarshal(*rpcErr.Data, &data) != nil {
			data.Verdict = verdict.MayHaveRun
		}
	}
	return &verdict.Error{
		Verdict: data.Verdict, Reason: data.Reason, RetryAfter: data.RetryAfter,
		Err: errors.New(rpcErr.Message),
	}
}

// sendError converts the error of a request that was not queued for sending.
func sendError(err error) error {
	if errors.Is(err, errQueueFull) {
		return verdict.Wrap(err, verdict.NotRun, ReasonBusy)
	}
	return verdict.Wrap(err, verdict.NotRun, ReasonUnreachable)
}
