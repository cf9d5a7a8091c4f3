// Package state computes the state that every daemon shares from the records
// of the platform's log: documents in force, accepted jobs, shares, daemons
// and bills. The state is a pure function of the records and their order, so
// daemons that have applied the same records have equal states, however they
// received the records. A daemon's store applies records to a State and hands
// out immutable Views; snapshots encode a View for the log and for other
// daemons.
//
// Memory is bounded by counts of records, never by a clock: MaxKeys, MaxBills,
// MaxEndedJobs, MaxPublicationsPerService and MaxRefusedPublications say how
// much is remembered. The oldest is dropped first. The newest document of each
// service is never dropped.
package state
