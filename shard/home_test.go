package shard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/partition"
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
		for _, queue := range []string{"checks", "batch"} {
			if err := k.StoreHome(t.Context(), queue, "pool"); err != nil {
				t.Fatal(err)
			}
			if home, ok := k.Home(queue); !ok || home != "pool" {
				t.Errorf("the home of %q is %q, %t, want the one that was stored", queue, home, ok)
			}
		}
	})
}
