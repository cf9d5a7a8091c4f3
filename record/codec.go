package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of an encoded record, in bytes.
const MaxBytes = 256 << 10

const (
	maxNesting  = 16
	maxElements = 1 << 16
)

var (
	encoder = mustEncMode()
	decoder = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the record as CBOR. Equal records have equal bytes. It fails
// if the result would be larger than MaxBytes.
func Encode(r Record) ([]byte, error) {
	data, err := encoder.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxBytes {
		return nil, errors.Errorf("record of %d bytes is over the %d allowed", len(data), MaxBytes)
	}
	return data, nil
}

// Decode reads one record. It fails on malformed bytes, on a record without a
// key, and if the record does not have exactly one body that matches its kind.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxBytes {
		return r, errors.Errorf("record of %d bytes is over the %d allowed", len(data), MaxBytes)
	}
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) check() error {
	if r.Key == "" {
		return errors.New("record has no key")
	}
	bodies := r.bodies()
	if !bodies[r.Kind] {
		return errors.Errorf("record of kind %d has no matching body", r.Kind)
	}
	if len(bodies) != 1 {
		return errors.Errorf("record of kind %d has %d bodies", r.Kind, len(bodies))
	}
	return nil
}

// bodies returns the kinds of the bodies that are set.
func (r Record) bodies() map[Kind]bool {
	set := make(map[Kind]bool, 1)
	add := func(k Kind, present bool) {
		if present {
			set[k] = true
		}
	}
	add(KindDocument, r.Document != nil)
	add(KindJoin, r.Join != nil)
	add(KindLeave, r.Leave != nil)
	add(KindClaim, r.Claim != nil)
	add(KindRelease, r.Release != nil)
	add(KindJob, r.Job != nil)
	add(KindCancel, r.Cancel != nil)
	add(KindDone, r.Done != nil)
	add(KindBill, r.Bill != nil)
	add(KindSnapshot, r.Snapshot != nil)
	return set
}
