package shard

import (
	"context"
	"maps"
	"strings"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

// homePrefix begins the keys of the records of homes; the queue's name follows.
const homePrefix = "queue/"

// ErrNotLoaded is returned by StoreHome until the records have been read.
var ErrNotLoaded = errors.New("the layouts have not been read yet")

// homes maps queues to their homes. A published homes is never modified.
type homes map[string]string

// homeRecord is the stored home of a queue.
type homeRecord struct {
	Service string `cbor:"1,keyasint"`
}

// Home returns the service whose shard decides whether an ID of a queue is new: the one to
// which the queue led when a submission was first made to it. It never changes, wherever
// later configurations lead the queue. It returns false if none is known.
func (k *Manager) Home(queue string) (service string, ok bool) {
	service, ok = (*k.homes.Load())[queue]
	return service, ok
}

// StoreHome stores the home of a queue that has none. Of two daemons one fails, and another
// call while one is under way has no effect; the outcome shows in Home.
func (k *Manager) StoreHome(ctx context.Context, queue, service string) error {
	if _, known := k.Home(queue); known || !k.storingHome.CompareAndSwap(false, true) {
		return nil
	}
	defer k.storingHome.Store(false)
	k.mu.Lock()
	end, loaded := k.endOffset, k.loaded
	k.mu.Unlock()
	if !loaded {
		return ErrNotLoaded
	}
	value, err := workload.Encode(homeRecord{service})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = k.o.Log.Append(ctx, LayoutPartition, partition.Fence{At: &end}, []partition.Record{{Key: homePrefix + queue, Value: value}})
	if err == nil {
		k.homeStored(queue, service, end)
	}
	return errors.Wrap(err, "store the home of a queue")
}

// homeStored applies a home that was appended at the given offset. Everything before it has
// been applied, so that it is the first of its queue; callers need not wait until it is read.
func (k *Manager) homeStored(queue, service string, offset uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.Home(queue); !known {
		next := maps.Clone(*k.homes.Load())
		next[queue] = service
		k.homes.Store(&next)
	}
	k.endOffset = max(k.endOffset, offset+1)
}

// decode returns the home of a record, and false if the record is not one of a home. The
// first home of a queue counts.
func (h homes) decode(r partition.Record) (queue, service string, is bool, err error) {
	queue, is = strings.CutPrefix(r.Key, homePrefix)
	if !is {
		return "", "", false, nil
	}
	var kept homeRecord
	if err := workload.Decode(r.Value, &kept); err != nil {
		return queue, "", true, err
	}
	if before, ok := h[queue]; ok && before != kept.Service {
		return queue, "", true, errors.Errorf("home %q contradicts %q", kept.Service, before)
	}
	return queue, kept.Service, true, nil
}
