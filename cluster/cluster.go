// Package cluster defines the basic types of a cell that all parts of the
// scheduler use: VMs and their locations, resources, daemons, and the shares
// into which the cell's work is divided. It holds no state and does no I/O.
package cluster

import (
	"fmt"
	"strings"
)

// Role is the purpose of a VM.
type Role string

// Roles of VMs. Entry VMs run daemons, worker VMs run tasks, and backend VMs
// run requests.
const (
	RoleEntry   Role = "entry"
	RoleWorker  Role = "worker"
	RoleBackend Role = "backend"
)

// Location is the location of a VM.
type Location struct {
	Region        string `json:"region" validate:"required"`
	FailureDomain string `json:"failureDomain" validate:"required"`
	Rack          string `json:"rack,omitempty"`
}

// SameDomain reports whether both locations are in the same failure domain.
// Racks are ignored.
func (l Location) SameDomain(o Location) bool {
	return l.Region == o.Region && l.FailureDomain == o.FailureDomain
}

// VM is one entry of the platform's VM list.
type VM struct {
	Name     string   `json:"name"`
	Role     Role     `json:"role"`
	Location Location `json:"location"`
	// Address is an IP address and port. For an entry VM it is the address for
	// other daemons.
	Address string `json:"address"`
	// Leaving is set once the platform has announced that the VM will end.
	Leaving bool `json:"leaving"`
	// Capacity is the resources of a worker.
	Capacity Resources `json:"capacity,omitzero"`
	// AcceleratorKind is the kind of a worker's accelerators.
	AcceleratorKind string `json:"acceleratorKind,omitempty"`
	// Pool, Slots and Connections describe a backend server: its pool of
	// interchangeable servers, the number of requests that it runs
	// concurrently, and the number of connections that it accepts.
	Pool        string `json:"pool,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
}

// Resources is an amount of a worker's resources.
type Resources struct {
	// CPU is in millicores.
	CPU int64 `json:"cpu"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Accelerators is a number of whole devices.
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

// IsZero reports whether r is zero in every dimension.
func (r Resources) IsZero() bool { return r == Resources{} }

// ShareKind says what a share consists of.
type ShareKind string

// Kinds of shares.
const (
	// ShareRack consists of the workers of one rack.
	ShareRack ShareKind = "rack"
	// ShareBackend consists of a group of backend servers of one region.
	ShareBackend ShareKind = "backend"
	// ShareKey consists of a slice of the hash space of request keys and job
	// IDs.
	ShareKey ShareKind = "key"
)

// Share is a part of the cell for which at most one daemon acts at a time.
type Share struct {
	Kind ShareKind `json:"kind"`
	Name string    `json:"name"`
}

// String returns "kind/name".
func (s Share) String() string { return string(s.Kind) + "/" + s.Name }

// MarshalText returns "kind/name", so that a share can be the key of a JSON
// object.
func (s Share) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses "kind/name".
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
	// Name is the name of the entry VM. It survives restarts.
	Name string `json:"name"`
	// Incarnation is different for every run of the process.
	Incarnation string   `json:"incarnation"`
	Location    Location `json:"location"`
	// PeerAddress is the address at which other daemons reach it.
	PeerAddress string `json:"peerAddress"`
}
