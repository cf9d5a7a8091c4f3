package settings

import (
	"fmt"
	"strings"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/pkg/errors"
)

// Limits describes the VM and bounds what clients can take of the daemon. A bound that is 0 is
// derived from the VM.
type Limits struct {
	// MemoryMB is the VM's memory in mebibytes, and Descriptors the number of descriptors
	// that the process may use; 0 means not known.
	MemoryMB    int64 `json:"memoryMB" validate:"min=0"`
	Descriptors int   `json:"descriptors" validate:"min=0"`

	// BodyBytes bounds callers' bodies, AnswerBytes the answers of backend servers,
	// OperatorBytes operators' bodies and MessageBytes messages of other daemons, each in
	// sum.
	BodyBytes     int64 `json:"bodyBytes"`
	AnswerBytes   int64 `json:"answerBytes"`
	OperatorBytes int64 `json:"operatorBytes"`
	MessageBytes  int64 `json:"messageBytes"`
	// Connections bounds callers' connections and AddressConnections those of one address.
	Connections         int `json:"connections"`
	AddressConnections  int `json:"addressConnections"`
	PeerConnections     int `json:"peerConnections"`
	OperatorConnections int `json:"operatorConnections"`
	// HeaderBytes bounds the headers of one request, and SocketBytes the buffers of a
	// connection of a caller.
	HeaderBytes int `json:"headerBytes"`
	SocketBytes int `json:"socketBytes"`
	// StallTimeout bounds the time without progress of a body, a message or an answer.
	StallTimeout  document.Duration `json:"stallTimeout"`
	BodyTimeout   document.Duration `json:"bodyTimeout"`
	HeaderTimeout document.Duration `json:"headerTimeout"`
	IdleTimeout   document.Duration `json:"idleTimeout"`
}

// VM returns the daemon's VM.
func (l Limits) VM() intake.VM { return intake.VM{MemoryMB: l.MemoryMB, Descriptors: l.Descriptors} }

// Intake returns the bounds that are set.
func (l Limits) Intake() intake.Limits {
	return intake.Limits{
		BodyBytes: l.BodyBytes, AnswerBytes: l.AnswerBytes, OperatorBytes: l.OperatorBytes, MessageBytes: l.MessageBytes,
		Connections: l.Connections, AddressConnections: l.AddressConnections, PeerConnections: l.PeerConnections, OperatorConnections: l.OperatorConnections,
		HeaderBytes: l.HeaderBytes, SocketBytes: l.SocketBytes,
		StallTimeout: l.StallTimeout.Std(), BodyTimeout: l.BodyTimeout.Std(), HeaderTimeout: l.HeaderTimeout.Std(), IdleTimeout: l.IdleTimeout.Std(),
	}
}

// checkLimits reports a bound that is too low for the largest request that it has to hold.
func checkLimits(s *Settings, report reportFunc) {
	var low *intake.LimitError
	if errors.As(s.Limits.Intake().Validate(), &low) {
		report("limits."+keyOf(low.Limit), fmt.Sprint(low.Value), fmt.Sprintf("at least %d, or 0 for the default", low.Least))
	}
}

// keyOf returns the key of a limit in the settings: bodyBytes for body_bytes, and stallTimeout
// for stall_ms, whose least value is in milliseconds.
func keyOf(limit string) string {
	words := strings.Split(limit, "_")
	for i, word := range words[1:] {
		if word == "ms" {
			word = "timeout"
		}
		words[i+1] = strings.ToUpper(word[:1]) + word[1:]
	}
	return strings.Join(words, "")
}
