package state

import (
	"bytes"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/record"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// snapshotVersion is the format of a snapshot. A reader passes over others.
const snapshotVersion = 3

// Limits of a snapshot.
const (
	// MaxSnapshotBytes bounds a compressed snapshot.
	MaxSnapshotBytes = 16 << 20
	// maxPlainBytes bounds what it may expand to.
	maxPlainBytes = 128 << 20
	maxRows       = 1 << 20
	// encoderWindow bounds the memory of an encoder, and maxWindow that of a
	// decoder.
	encoderWindow = 256 << 10
	maxWindow     = 8 << 20
	// chunkRows is how many rows a chunk holds.
	chunkRows = 512
)

// wireChunk is a part of a state. A state is written as a sequence of chunks
// with rows in the order of their tables, so equal states have equal bytes and
// no more than a chunk is in memory at once. The last chunk says End.
type wireChunk struct {
	Version   int             `cbor:"1,keyasint,omitempty"`
	Next      uint64          `cbor:"2,keyasint,omitempty"`
	Documents []wireDocument  `cbor:"3,keyasint,omitempty"`
	Refused   []wirePublished `cbor:"4,keyasint,omitempty"`
	// Workloads are those that the chunk's jobs are the first to run under.
	Workloads []wireWorkload `cbor:"5,keyasint,omitempty"`
	Jobs      []wireJob      `cbor:"6,keyasint,omitempty"`
	Ended     []wireEnded    `cbor:"7,keyasint,omitempty"`
	Shares    []ShareEntry   `cbor:"8,keyasint,omitempty"`
	Daemons   []wireDaemon   `cbor:"9,keyasint,omitempty"`
	Bills     []wireBill     `cbor:"10,keyasint,omitempty"`
	Keys      wireKeys       `cbor:"11,keyasint,omitzero"`
	End       bool           `cbor:"12,keyasint,omitempty"`
}

type wireDocument struct {
	Service   string          `cbor:"1,keyasint"`
	Text      []byte          `cbor:"2,keyasint,omitempty"`
	Revision  uint64          `cbor:"3,keyasint"`
	Team      string          `cbor:"4,keyasint"`
	Author    string          `cbor:"5,keyasint"`
	Offset    uint64          `cbor:"6,keyasint"`
	Time      int64           `cbor:"7,keyasint"`
	Published []publishedJob  `cbor:"8,keyasint,omitempty"`
	History   []wirePublished `cbor:"9,keyasint,omitempty"`
}

type wirePublished struct {
	Service  string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Base     uint64 `cbor:"3,keyasint"`
	Team     string `cbor:"4,keyasint"`
	Author   string `cbor:"5,keyasint"`
	Offset   uint64 `cbor:"6,keyasint"`
	Time     int64  `cbor:"7,keyasint"`
	Refused  string `cbor:"8,keyasint,omitempty"`
}

// wireWorkload is a workload that one or more jobs run under.
type wireWorkload struct {
	Service  string            `cbor:"1,keyasint"`
	Revision uint64            `cbor:"2,keyasint"`
	Workload document.Workload `cbor:"3,keyasint"`
	Team     string            `cbor:"4,keyasint"`
}

type wireJob struct {
	ID string `cbor:"1,keyasint"`
	// Workload is an index into the workloads of all chunks.
	Workload int          `cbor:"2,keyasint"`
	Author   string       `cbor:"4,keyasint"`
	Offset   uint64       `cbor:"5,keyasint"`
	Time     int64        `cbor:"6,keyasint"`
	Phase    JobPhase     `cbor:"7,keyasint"`
	Done     *record.Done `cbor:"8,keyasint,omitempty"`
}

type wireEnded struct {
	Offset uint64 `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
}

type wireDaemon struct {
	Daemon cluster.Daemon `cbor:"1,keyasint"`
}

type wireKeys struct {
	Class int       `cbor:"1,keyasint"`
	Floor uint64    `cbor:"2,keyasint"`
	Rows  []wireKey `cbor:"3,keyasint"`
}

type wireKey struct {
	Hash    keyHash `cbor:"1,keyasint"`
	Offset  uint64  `cbor:"2,keyasint"`
	Refused string  `cbor:"3,keyasint,omitempty"`
}

type wireBill struct {
	Bill   record.Bill `cbor:"1,keyasint"`
	Offset uint64      `cbor:"2,keyasint"`
}

var (
	wireEncoder = must(cbor.CoreDetEncOptions().EncMode())
	wireDecoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: maxRows,
		MaxMapPairs:      maxRows,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Digest is a hash of the whole view. Daemons that have folded the same
// records have equal digests.
func (v *View) Digest() uint64 {
	hash := xxhash.New()
	if err := v.write(hash); err != nil {
		panic(err) // a hash takes every byte, and no chunk fails to encode
	}
	return hash.Sum64()
}

// Digest is a hash of the whole state.
func (s *State) Digest() uint64 { return (&View{t: s.t}).Digest() }

func (v *View) write(w io.Writer) error {
	encoder := wireEncoder.NewEncoder(w)
	for chunk := range v.chunks() {
		if err := encoder.Encode(chunk); err != nil {
			return errors.Wrap(err, "encode state")
		}
	}
	return nil
}

// EncodeSnapshot returns the view as a compressed snapshot. It fails only where the
// snapshot would be over MaxSnapshotBytes.
func (v *View) EncodeSnapshot() ([]byte, error) {
	var buffer bytes.Buffer
	w, err := zstd.NewWriter(&buffer, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(encoderWindow))
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := v.write(w); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if buffer.Len() > MaxSnapshotBytes {
		return nil, errors.Errorf("snapshot of %d bytes is over the %d allowed", buffer.Len(), MaxSnapshotBytes)
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot returns the state that a snapshot was made of. It fails where the
// bytes are no snapshot that this version can read.
func DecodeSnapshot(data []byte) (*State, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, errors.Errorf("snapshot of %d bytes is over the %d allowed", len(data), MaxSnapshotBytes)
	}
	r, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(maxWindow))
	if err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	defer r.Close()
	return read(io.LimitReader(r, maxPlainBytes))
}

// read puts the chunks of one state together.
func read(r io.Reader) (*State, error) {
	decoder := wireDecoder.NewDecoder(r)
	restoring := restoration{state: New()}
	for first := true; ; first = false {
		var chunk wireChunk
		if err := decoder.Decode(&chunk); err != nil {
			return nil, errors.Wrap(err, "decode snapshot")
		}
		if first && chunk.Version != snapshotVersion {
			return nil, errors.Errorf("snapshot of version %d is not readable", chunk.Version)
		}
		if err := restoring.add(chunk); err != nil {
			return nil, err
		}
		if chunk.End {
			return restoring.state, nil
		}
	}
}

func unixNano(t time.Time) int64 { return t.UnixNano() }

func timeOf(nanoseconds int64) time.Time { return time.Unix(0, nanoseconds).UTC() }
