package shard

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

const (
	// addressPrefix begins the keys of the records of homes; the queue's address follows, or
	// its digest if it is longer than maxKeyAddress.
	addressPrefix = "address/"
	// namePrefix begins the keys of the records by which earlier versions find the homes; the
	// queue's name follows.
	namePrefix = "queue/"
	// maxKeyAddress is the longest address in a key, in bytes. It leaves room for the prefix
	// in the longest key of the log.
	maxKeyAddress = 200
)

// ErrNotLoaded is returned by StoreHome until the records have been read.
var ErrNotLoaded = errors.New("the layouts have not been read yet")

// homes maps the keys of the records of homes to the homes. A published homes is never
// modified.
type homes map[string]homeRecord

// homeRecord is the stored home of a queue.
type homeRecord struct {
	Service string `cbor:"1,keyasint"`
	// Address is that of the queue; empty if an earlier version has stored the record, which
	// is then one by the queue's name.
	Address workload.QueueAddress `cbor:"2,keyasint,omitempty"`
}

// Queue names a queue whose home is looked up or stored.
type Queue struct {
	// Address identifies the queue, and is not empty.
	Address workload.QueueAddress
	// Name is the queue's name now, by which earlier versions store its home.
	Name string
}

// key returns the key of the record of a queue's home.
func key(address workload.QueueAddress) string {
	if len(address) <= maxKeyAddress {
		return addressPrefix + string(address)
	}
	digest := sha256.Sum256([]byte(address))
	return addressPrefix + hex.EncodeToString(digest[:])
}

// Home returns the service whose shard decides whether an ID of the queue at an address is
// new: the one to which it led when a submission was first made to it. It never changes,
// whatever name later configurations give the queue and wherever they lead it. It returns
// false if none is known.
func (k *Manager) Home(address workload.QueueAddress) (service string, ok bool) {
	home, ok := (*k.homes.Load())[key(address)]
	return home.Service, ok
}

// StoreHome stores the home of a queue that has none: the one that an earlier version has
// stored by the queue's name, or else the given service. Of two daemons one fails, and another
// call while one is under way has no effect; the outcome shows in Home.
func (k *Manager) StoreHome(ctx context.Context, queue Queue, service string) error {
	if _, known := k.Home(queue.Address); known || !k.storingHome.CompareAndSwap(false, true) {
		return nil
	}
	defer k.storingHome.Store(false)
	k.mu.Lock()
	end, loaded := k.endOffset, k.loaded
	k.mu.Unlock()
	if !loaded {
		return ErrNotLoaded
	}
	next, err := k.newHomes(queue, service)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = k.o.Log.Append(ctx, LayoutPartition, partition.Fence{At: &end}, next)
	switch {
	case err == nil:
		k.homesStored(next, end)
	case verdict.ReasonOf(err) == partition.ReasonOffsetMismatch:
		k.catchUp(ctx, end)
	}
	return errors.Wrap(err, "store the home of a queue")
}

// catchUp applies the records that follow from an offset. Another daemon has appended them, and the
// read of Run, which waits for them, may not be answered for seconds.
func (k *Manager) catchUp(ctx context.Context, from uint64) {
	batch, err := k.o.Log.Read(ctx, LayoutPartition, from, 0)
	if err == nil {
		k.apply(batch.Records)
	}
}

// newHomes returns the records of the home of a queue that has none. Daemons of an earlier
// version that serve beside this one look under the queue's name.
func (k *Manager) newHomes(queue Queue, service string) ([]partition.Record, error) {
	byName := namePrefix + queue.Name
	before, named := (*k.homes.Load())[byName]
	if named && before.Address == "" {
		service = before.Service
	}
	value, err := workload.Encode(homeRecord{service, queue.Address})
	if err != nil {
		return nil, err
	}
	records := []partition.Record{{Key: key(queue.Address), Value: value}}
	if !named && len(byName) <= maxKeyAddress {
		records = append(records, partition.Record{Key: byName, Value: value})
	}
	return records, nil
}

// homesStored applies homes that were appended at the given offset. Everything before them has
// been applied, so that they are the first of their queue; callers need not wait until they are
// read.
func (k *Manager) homesStored(records []partition.Record, offset uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next := maps.Clone(*k.homes.Load())
	for _, r := range records {
		if home, _, err := next.decode(r); err == nil {
			next[r.Key] = home
		}
	}
	k.homes.Store(&next)
	k.endOffset = max(k.endOffset, offset+uint64(len(records)))
}

// decode returns the home of a record, and false if the record is not one of a home. The
// first home of a queue counts.
func (h homes) decode(r partition.Record) (home homeRecord, is bool, err error) {
	if !strings.HasPrefix(r.Key, addressPrefix) && !strings.HasPrefix(r.Key, namePrefix) {
		return homeRecord{}, false, nil
	}
	if err := workload.Decode(r.Value, &home); err != nil {
		return home, true, err
	}
	before, ok := h[r.Key]
	switch {
	case !ok:
		return home, true, nil
	case before.Service != home.Service:
		return home, true, errors.Errorf("home %q contradicts %q", home.Service, before.Service)
	}
	return before, true, nil
}
