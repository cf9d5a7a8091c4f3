package routing

import "time"

// View is the configuration in force on a daemon, with what the daemon knows of how recent it is.
type View struct {
	// Configuration is nil before the first version.
	*Configuration
	// Unconfirmed is the time since the daemon knew of no later version.
	Unconfirmed time.Duration
	// MayBeOutdated is set if a later version may have to be in force by now: the daemon has
	// heard neither the store nor another daemon for longer than versions may take.
	MayBeOutdated bool
}
