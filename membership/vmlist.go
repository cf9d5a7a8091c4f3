// Package membership detects which daemons of a cell are alive. It combines
// heartbeats between daemons, indirect reports of other daemons and the
// platform's list of VMs, which lags behind. The daemon's owner role feeds a
// Detector and assigns shares to the daemons that count as alive. The package
// does no I/O; a Detector takes the time as an argument.
package membership

import (
	"context"

	"github.com/currantwinch/currantwinch/cluster"
)

// VMList reads the platform's list of live and leaving VMs, which lags behind.
type VMList interface {
	// List returns every VM that the platform believes to exist. The caller
	// must not change the list; the same one may be returned again. On an
	// error the caller keeps its last list.
	List(ctx context.Context) ([]cluster.VM, error)
}
