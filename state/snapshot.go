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

// snapshotVersion is the version of the snapshot format. Readers skip
// snapshots of other versions.
const snapshotVersion = 3

// Limits of a snapshot.
const (
	// MaxSnapshotBytes is the maximum size of a compressed snapshot.
	MaxSnapshotBytes = 16 << 20
	// maxUncompressedBytes is the maximum size of an uncompressed snapshot.
	maxUncompressedBytes = 128 << 20
	maxRows              = 1 << 20
	// encoderWindow is the zstd window of an encoder, which bounds its memory.
	// maxWindow bounds the window, and so the memory, of a decoder.
	encoderWindow = 256 << 10
	maxWindow     = 8 << 20
	// rowsPerChunk is the maximum number of rows in a chunk.
	rowsPerChunk = 512
)

// wireChunk is a chunk of an encoded state. A state is encoded as a sequence
// of chunks with rows in the order of their tables, so that equal states have
// equal bytes and no more than one chunk is in memory at a time. The last
// chunk has End set.
type wireChunk struct {
	Version   int               `cbor:"1,keyasint,omitempty"`
	Next      uint64            `cbor:"2,keyasint,omitempty"`
	Documents []wireDocument    `cbor:"3,keyasint,omitempty"`
	Refused   []wirePublication `cbor:"4,keyasint,omitempty"`
	// Workloads are those that no job of an earlier chunk refers to.
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
	Service   string            `cbor:"1,keyasint"`
	Text      []byte            `cbor:"2,keyasint,omitempty"`
	Revision  uint64            `cbor:"3,keyasint"`
	Team      string            `cbor:"4,keyasint"`
	Author    string            `cbor:"5,keyasint"`
	Offset    uint64            `cbor:"6,keyasint"`
	Time      int64             `cbor:"7,keyasint"`
	Published []publishedJob    `cbor:"8,keyasint,omitempty"`
	History   []wirePublication `cbor:"9,keyasint,omitempty"`
}

type wirePublication struct {
	Service  string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Base     uint64 `cbor:"3,keyasint"`
	Team     string `cbor:"4,keyasint"`
	Author   string `cbor:"5,keyasint"`
	Offset   uint64 `cbor:"6,keyasint"`
	Time     int64  `cbor:"7,keyasint"`
	Refused  string `cbor:"8,keyasint,omitempty"`
}

// wireWorkload is a workload that one or more jobs refer to.
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

// Digest returns a hash of the view. Daemons that have applied the same
// records have equal digests.
func (v *View) Digest() uint64 {
	hash := xxhash.New()
	if err := v.write(hash); err != nil {
		panic(err) // a hash accepts every write, and every chunk can be encoded
	}
	return hash.Sum64()
}

// Digest returns a hash of the state.
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

// EncodeSnapshot returns the view as a compressed snapshot. It fails only if
// the snapshot would be larger than MaxSnapshotBytes.
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

// DecodeSnapshot returns the state that a snapshot was made of. It fails if
// the bytes are not a snapshot of this version, or exceed the size limits.
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
	return readState(io.LimitReader(r, maxUncompressedBytes))
}

// readState builds a state from its chunks.
func readState(r io.Reader) (*State, error) {
	decoder := wireDecoder.NewDecoder(r)
	restorer := snapshotRestorer{state: New()}
	for first := true; ; first = false {
		var chunk wireChunk
		if err := decoder.Decode(&chunk); err != nil {
			return nil, errors.Wrap(err, "decode snapshot")
		}
		if first && chunk.Version != snapshotVersion {
			return nil, errors.Errorf("snapshot has unsupported version %d", chunk.Version)
		}
		if err := restorer.add(chunk); err != nil {
			return nil, err
		}
		if chunk.End {
			return restorer.state, nil
		}
	}
}

func unixNano(t time.Time) int64 { return t.UnixNano() }

func timeOf(nanoseconds int64) time.Time { return time.Unix(0, nanoseconds).UTC() }
