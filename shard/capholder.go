package shard

import (
	"context"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

// capHolderKey is the key of the record of the first holder of the tenants' caps.
const capHolderKey = "caps/holder"

// capHolderRecord is the stored first holder. Its field has a number that a Layout does not
// use, so that earlier versions do not take the record for a layout.
type capHolderRecord struct {
	Partition *int `cbor:"3,keyasint"`
}

// CapHolder returns the partition that held the whole of all caps first. It never changes.
// Known is false if none is stored, and loaded is false until the records have been read.
func (k *Manager) CapHolder() (part int, known, loaded bool) {
	loaded = k.Version() > 0
	if p := k.capHolder.Load(); p != nil {
		return *p, true, loaded
	}
	return 0, false, loaded
}

// StoreCapHolder stores a partition as the first holder of all caps unless one is stored. If
// two daemons try at the same time, one gets an error; CapHolder returns the outcome.
func (k *Manager) StoreCapHolder(ctx context.Context, part int) error {
	k.mu.Lock()
	end, loaded := k.endOffset, k.loaded
	k.mu.Unlock()
	if !loaded {
		return ErrNotLoaded
	}
	if k.capHolder.Load() != nil {
		return nil
	}
	value, err := workload.Encode(capHolderRecord{&part})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = k.o.Log.Append(ctx, LayoutPartition, partition.Fence{At: &end}, []partition.Record{{Key: capHolderKey, Value: value}})
	return errors.Wrap(err, "store the first holder of the caps")
}

// applyCapHolder applies a record if it is that of the first holder, and reports whether it
// is. A second record that names another partition is an error.
func (k *Manager) applyCapHolder(r partition.Record) (applied bool, err error) {
	if r.Key != capHolderKey {
		return false, nil
	}
	var kept capHolderRecord
	if err := workload.Decode(r.Value, &kept); err != nil {
		return true, err
	}
	if kept.Partition == nil {
		return true, errors.New("no partition")
	}
	if before := k.capHolder.Load(); before != nil && *before != *kept.Partition {
		return true, errors.Errorf("first holder %d of the caps contradicts %d", *kept.Partition, *before)
	}
	k.capHolder.Store(kept.Partition)
	return true, nil
}
