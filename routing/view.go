package routing

import "time"

// View is the configuration in force on a daemon, with what the daemon knows of how recent it is.
type View struct {
	// Configuration is nil before the first version.
	*Configuration
	// Unconfirmed is the time since the daemon knew of no later version.
	Unconfirmed time.Duration
}
