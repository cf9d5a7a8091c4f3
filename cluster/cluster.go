// Package cluster holds the vocabulary that every part of the scheduler
// shares: VMs and where they stand, resources, and the shares that are owned
// by one daemon at a time.
package cluster

import (
	"fmt"
	"strings"
)

// Role says what a VM is for.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleWorker  Role = "worker"
	RoleBackend Role = "backend"
)

// Location is where a VM stands.
type Location struct {
	Region        string `json:"region" validate:"required"`
	FailureDomain string `json:"failureDomain" validate:"required"`
	Rack          string `json:"rack,omitempty"`
}

// SameDomain reports whether both places fail together, whatever their racks.
func (l Location) SameDomain(o Location) bool {
	return l.Region == o.Region && l.FailureDomain == o.FailureDomain
}

// VM is one entry of the platform's list.
type VM struct {
	Name     string   `json:"name"`
	Role     Role     `json:"role"`
	Location Location `json:"location"`
	// Address is an IP number and port. For an entry VM it is the peer address.
	Address string `json:"address"`
	// Leaving is set once the platform has announced the VM's end.
	Leaving bool `json:"leaving"`
	// Capacity is what a worker holds.
	Capacity Resources `json:"capacity,omitzero"`
	// AcceleratorKind names a worker's accelerators.
	AcceleratorKind string `json:"acceleratorKind,omitempty"`
	// Pool, Slots and Connections describe a backend server: the pool of
	// interchangeable servers it belongs to, the requests it runs at once and
	// the connections it accepts.
	Pool        string `json:"pool,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

// Resources is an exact amount of what a worker has.
type Resources struct {
	// CPU is in millicores.
	CPU int64 `json:"cpu"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Accelerators is a count of whole devices.
	Accelerators int64 `json:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// IsZero reports whether r is nothing at all.
func (r Resources) IsZero() bool { return r == Resources{} }

// ShareKind says what a share is made of.
type ShareKind string

// The kinds of shares.
const (
	// ShareRack is the workers of one rack.
	ShareRack ShareKind = "rack"
	// ShareBackend is a group of backend servers of one region.
	ShareBackend ShareKind = "backend"
	// ShareKey is a slice of the hash space of request keys and job IDs.
	ShareKey ShareKind = "key"
)

// Share is a part of the cell that one daemon at a time may act for.
type Share struct {
	Kind ShareKind `json:"kind"`
	Name string    `json:"name"`
}

// String returns "kind/name".
func (s Share) String() string { return string(s.Kind) + "/" + s.Name }

// MarshalText returns "kind/name", so that a share can be a JSON object key.
func (s Share) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads "kind/name".
func (s *Share) UnmarshalText(text []byte) error {
	kind, name, ok := strings.Cut(string(text), "/")
	if !ok {
		return fmt.Errorf("cluster: share %q has no kind", text)
	}
	s.Kind, s.Name = ShareKind(kind), name
	return nil
}

// Daemon identifies one process of the scheduler.
type Daemon struct {
	// Name is the entry VM's name and survives restarts.
	Name string `json:"name"`
	// Incarnation differs between any two runs of the process.
	Incarnation string   `json:"incarnation"`
	Location    Location `json:"location"`
	// PeerAddress is where other daemons reach it.
	PeerAddress string `json:"peerAddress"`
}
