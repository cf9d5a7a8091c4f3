package peer

import (
	"encoding/json"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// errorCode marks an error that carries a verdict.
const errorCode = 1

// errorData is the part of an error that crosses the wire beside its message.
type errorData struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	RetryAfter time.Duration   `json:"retryAfterNanoseconds,omitempty"`
}

func wireError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: errorCode, Message: err.Error()}
	e.SetError(errorData{verdict.Of(err), verdict.ReasonOf(err), verdict.RetryAfterOf(err)})
	return e
}

// answerError turns a failed wait into an error with a verdict: that of the
// other side if it answered, and MayHaveRun if the answer is lost.
func answerError(err error) error {
	var wire *jsonrpc2.Error
	if !errors.As(err, &wire) {
		return verdict.Wrap(err, verdict.MayHaveRun, ReasonResponseLost)
	}
	data := errorData{Reason: ReasonMalformedMessage}
	if wire.Data != nil {
		if json.Unmarshal(*wire.Data, &data) != nil {
			data.Verdict = verdict.MayHaveRun
		}
	}
	return &verdict.Error{
		Verdict: data.Verdict, Reason: data.Reason, RetryAfter: data.RetryAfter,
		Err: errors.New(wire.Message),
	}
}

// notSent is the error of a request that was never queued for the wire.
func notSent(err error) error {
	if errors.Is(err, errQueueFull) {
		return verdict.Wrap(err, verdict.NotRun, ReasonBusy)
	}
	return verdict.Wrap(err, verdict.NotRun, ReasonUnreachable)
}
