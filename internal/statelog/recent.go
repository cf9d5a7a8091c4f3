package statelog

import (
	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/logclient"
)

// Limits of the records kept for peers.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 1 << 20
)

// recentRecords keeps the newest records for peers that can't read the log.
type recentRecords struct {
	records []logclient.StoredRecord
	bytes   int
}

func (r *recentRecords) add(stored logclient.StoredRecord) {
	r.records = append(r.records, stored)
	r.bytes += len(stored.Data)
	for len(r.records) > maxRecentRecords || (r.bytes > maxRecentBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0].Data)
		r.records[0] = logclient.StoredRecord{}
		r.records = r.records[1:]
	}
}

// last returns the newest record, and false if there is none.
func (r *recentRecords) last() (logclient.StoredRecord, bool) {
	if len(r.records) == 0 {
		return logclient.StoredRecord{}, false
	}
	return r.records[len(r.records)-1], true
}

func (r *recentRecords) reset() { *r = recentRecords{} }

// matches reports whether the record before offset has the given checksum. It
// is true if either side does not have that record.
func (r *recentRecords) matches(offset, sum uint64) bool {
	if sum == 0 || len(r.records) == 0 || offset <= r.records[0].Offset {
		return true
	}
	before := offset - 1 - r.records[0].Offset
	return before < uint64(len(r.records)) && checksumOf(r.records[before]) == sum
}

func checksumOf(stored logclient.StoredRecord) uint64 { return xxhash.Sum64(stored.Data) }

// from returns consecutive records from an offset on, and false if the offset
// is older than the oldest record kept.
func (r *recentRecords) from(offset uint64, limit, maxBytes int) ([]logclient.StoredRecord, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, false
	}
	start := offset - r.records[0].Offset
	if start >= uint64(len(r.records)) {
		return nil, true
	}
	var out []logclient.StoredRecord
	bytes := 0
	for _, stored := range r.records[start:] {
		if len(out) >= limit || (bytes > 0 && bytes+len(stored.Data) > maxBytes) {
			break
		}
		bytes += len(stored.Data)
		out = append(out, stored)
	}
	return out, true
}
