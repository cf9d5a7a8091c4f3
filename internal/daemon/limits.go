package daemon

import (
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/intake"
)

const (
	// bodyTimeout bounds the whole time of a caller's body, which may be far longer than
	// those of submissions.
	bodyTimeout = 30 * time.Second
	// maxOperatorConnections are enough for the command lines of a cell's teams, some of
	// which wait for up to half a minute until a document is in force.
	maxOperatorConnections = 256
)

// LimitsFor returns set with each limit that is 0 derived from the VM, so that the longest body
// and answer that a document may allow fit if the memory suffices.
func LimitsFor(vm intake.VM, tls bool, set intake.Limits) intake.Limits {
	return intake.LimitsFor(vm, intake.Profile{
		LargestBody: document.MaxBodyBytes, LargestAnswer: document.MaxBodyBytes,
		OperatorConnections: maxOperatorConnections, BodyTimeout: bodyTimeout, TLS: tls,
	}, set)
}
