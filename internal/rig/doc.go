// Package rig tests daemons as processes: several of them schedule tasks on stand-ins of
// the platform's store and backend servers, while the paths between any two of these are
// cut one by one, servers restart under their IDs, queues are renamed and led elsewhere, most
// daemons are lost for good together with servers, versions of the configuration come in series
// while daemons lag, and untrusted clients hold connections,
// bodies and messages open at every daemon. Its tests take flags; see rig_test.go.
package rig
