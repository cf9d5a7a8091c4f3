package daemon

import (
	"encoding/json"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/internal/roles"
)

// maxRoleDump limits the encoded state of one role in a state dump, in bytes.
const maxRoleDump = 1 << 20

// Dump returns the state of all roles of the running daemon. It omits roles whose
// state exceeds maxRoleDump.
func (d *Daemon) Dump() operatorapi.Dump {
	out := operatorapi.Dump{
		Daemon: d.base.Self, Time: d.o.Now(), State: string(d.State()),
		Duties: encodeDump(d.base.Duties.Stats()),
		Roles:  make(map[string]json.RawMessage),
	}
	for _, r := range d.roles() {
		part := encodeDump(r.role.Dump())
		if len(part) > maxRoleDump {
			out.Omitted = append(out.Omitted, r.name)
			continue
		}
		out.Roles[r.name] = part
	}
	return out
}

func encodeDump(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		data, _ = json.Marshal(err.Error())
	}
	return data
}

// View returns a snapshot of the state that is in force on this daemon.
func (d *Daemon) View() roles.View { return d.log.View() }

// Changed returns a channel that is closed when the state next changes.
func (d *Daemon) Changed() <-chan struct{} { return d.log.Changed() }

// AllSharesOwned reports whether every share of the cell has an owner that this
// daemon believes alive.
func (d *Daemon) AllSharesOwned() bool {
	shares := d.log.View().Shares()
	for _, s := range shares {
		if _, ok := d.owner.Owner(s.Share); !ok {
			return false
		}
	}
	return len(shares) >= cluster.KeyShareCount
}

// InFlight returns the number of callers' requests that are being handled.
func (d *Daemon) InFlight() int { return d.servers.inFlight() }

// Incarnation returns the unique ID of this run of the daemon.
func (d *Daemon) Incarnation() string { return d.base.Self.Incarnation }
