package shard

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// unreadLog answers its first reads, and then accepts appends that nobody can read.
type unreadLog struct{ *fakeLog }

func (l unreadLog) Read(ctx context.Context, _ partition.ID, _ uint64, _ time.Duration) (partition.Batch, error) {
	<-ctx.Done()
	return partition.Batch{}, ctx.Err()
}

// Guards against submissions that wait for a home which is stored already, and end with
// no_layout after 2.2 s: the daemon knew it only once its next read was answered, which takes
// seconds where the store is slow or the daemon is busy.
func TestManager_HomeIsKnownOnceItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := startManager(t, unreadLog{&fakeLog{}})
		synctest.Wait()
		for _, queue := range []Queue{{"desk.example/checks/", "checks"}, {"desk.example/batch/", "batch"}} {
			if err := k.StoreHome(t.Context(), queue, "pool"); err != nil {
				t.Fatal(err)
			}
			if home, ok := k.Home(queue.Address); !ok || home != "pool" {
				t.Errorf("the home of %q is %q, %t, want the one that was stored", queue.Address, home, ok)
			}
		}
	})
}

// storedHome returns the record of a home as a version stored it: the present one, or one
// before that knew queues by name.
func storedHome(t *testing.T, recordKey string, home homeRecord) partition.Record {
	t.Helper()
	value, err := workload.Encode(home)
	if err != nil {
		t.Fatal(err)
	}
	return partition.Record{Key: recordKey, Value: value}
}

// Guards against a queue whose name changes and that gets a second home, where nobody knows
// what it accepted: two daemons submit at once, one of which has the next configuration.
func TestManager_HomeOutlivesTheName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		before, after := startManager(t, log), startManager(t, log)
		const address = "desk.example/jobs/"
		if err := before.StoreHome(t.Context(), Queue{address, "jobs"}, "pool"); err != nil {
			t.Fatal(err)
		}
		if err := after.StoreHome(t.Context(), Queue{address, "renamed"}, "annex"); err == nil {
			t.Error("the daemon that has not read the home yet stored another one")
		}
		time.Sleep(time.Second)
		for _, k := range []*Manager{before, after} {
			if home, ok := k.Home(address); !ok || home != "pool" {
				t.Errorf("home %q, %t, want the first one", home, ok)
			}
		}
	})
}

// A home that an earlier version stored by the queue's name becomes that of its address, and
// one that this version stored by the name does not become that of another address.
func TestManager_HomeByNameIsTakenOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		stored homeRecord
		want   string
	}{
		{"of an earlier version", homeRecord{Service: "pool"}, "pool"},
		{"of this version, for another address", homeRecord{"pool", "desk.example/other/"}, "annex"},
	} {
		synctest.Test(t, func(t *testing.T) {
			k := startManager(t, &fakeLog{records: []partition.Record{storedHome(t, "queue/jobs", c.stored)}})
			const address = "desk.example/jobs/"
			if home, ok := k.Home(address); ok {
				t.Errorf("%s: home %q before it is stored", c.name, home)
			}
			if err := k.StoreHome(t.Context(), Queue{address, "jobs"}, "annex"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if home, _ := k.Home(address); home != c.want {
				t.Errorf("%s: home %q, want %q", c.name, home, c.want)
			}
		})
	}
}

// An earlier version that serves beside this one finds the home by the queue's name, and takes
// no record for a layout.
func TestManager_EarlierVersionFindsTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		k := startManager(t, log)
		if err := k.StoreHome(t.Context(), Queue{"desk.example/jobs/", "jobs"}, "pool"); err != nil {
			t.Fatal(err)
		}
		found := false
		for _, r := range log.records {
			var byName struct {
				Service string `cbor:"1,keyasint"`
			}
			if err := workload.Decode(r.Value, &byName); err == nil && r.Key == "queue/jobs" && byName.Service == "pool" {
				found = true
			}
			var l Layout
			if err := workload.Decode(r.Value, &l); err == nil && l.valid() {
				t.Errorf("%s is a valid layout", r.Key)
			}
		}
		if !found {
			t.Errorf("records %+v, want one by the name", log.records)
		}
	})
}

// The log refuses keys of over 255 bytes. A queue with such an address had no home, and every
// submission to it was refused.
func TestManager_LongAddressHasAHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		k := startManager(t, log)
		long := Queue{workload.QueueAddress("desk.example/" + strings.Repeat("x", 300) + "/"), strings.Repeat("y", 300)}
		if err := k.StoreHome(t.Context(), long, "pool"); err != nil {
			t.Fatal(err)
		}
		if home, ok := k.Home(long.Address); !ok || home != "pool" {
			t.Errorf("home %q, %t, want the one that was stored", home, ok)
		}
		for _, r := range log.records {
			if len(r.Key) > 255 {
				t.Errorf("a key of %d bytes", len(r.Key))
			}
		}
	})
}

// deafLog leaves the reads that wait for records without an answer once they are lost.
type deafLog struct {
	*fakeLog
	deaf atomic.Bool
}

func (l *deafLog) Read(ctx context.Context, id partition.ID, from uint64, wait time.Duration) (partition.Batch, error) {
	if l.deaf.Load() && wait > 0 {
		<-ctx.Done()
		return partition.Batch{}, ctx.Err()
	}
	return l.fakeLog.Read(ctx, id, from, wait)
}

// Guards against a route that is not served for as long as the daemon's reads wait in vain: another
// daemon has stored a home meanwhile, so that the offset at which this one appends is out of date
// (issue 63).
func TestManager_StoresAHomeAfterOthersThatItHasNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &deafLog{fakeLog: &fakeLog{}}
		k, other := startManager(t, log), startManager(t, log.fakeLog)
		synctest.Wait()
		log.deaf.Store(true)
		// A read that is under way may still be answered.
		time.Sleep(2 * watchWait)
		for _, address := range []workload.QueueAddress{"desk.example/checks/", "desk.example/batch/"} {
			if err := other.StoreHome(t.Context(), Queue{address, string(address)}, "pool"); err != nil {
				t.Fatal(err)
			}
		}
		const added = "desk.example/added/"
		for attempt := 0; attempt < 2; attempt++ {
			// A failed attempt is repeated.
			_ = k.StoreHome(t.Context(), Queue{added, "added"}, "pool")
		}
		if home, ok := k.Home(added); !ok || home != "pool" {
			t.Errorf("the home of an added queue is %q, %t, want it to be stored at the second attempt", home, ok)
		}
		if home, ok := k.Home("desk.example/batch/"); !ok || home != "pool" {
			t.Errorf("the home that the other daemon stored is %q, %t", home, ok)
		}
	})
}
