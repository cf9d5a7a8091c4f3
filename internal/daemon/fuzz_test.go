package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/internal/standin/vmstandin"
)

// vmList reads the VM list of the stand-in without HTTP.
type vmList struct{ *vmstandin.VMs }

func (l vmList) List(context.Context) ([]cluster.VM, error) { return l.Visible(), nil }

// callTimeout limits one call. Some calls wait for a log or a share that never
// becomes available.
const callTimeout = 20 * time.Millisecond

// startSingleDaemon starts one daemon, with a log and a VM list without workers.
func startSingleDaemon(f testing.TB, network *memnet.Network, platformLog *logstandin.Log) *Daemon {
	f.Helper()
	host := network.Host("entry", "north")
	var listeners Listeners
	for address, listener := range map[string]*net.Listener{"entry:1": &listeners.Callers, "entry:2": &listeners.Operators, "entry:3": &listeners.Peers} {
		l, err := host.Listen(address)
		if err != nil {
			f.Fatal(err)
		}
		*listener = l
	}
	at := cluster.Location{Region: "north", FailureDomain: "a"}
	vms := vmstandin.New(time.Now, 0, cluster.VM{Name: "entry", Role: cluster.RoleEntry, Address: "entry:3", Location: at})
	d, err := New(Options{
		Name: "entry", Location: at, Credential: "system/entry:secret", Listeners: listeners, Dial: host.Dial,
		Platform: Platform{Log: logstandin.NewClient(platformLog), VMs: vmList{vms}},
		Now:      time.Now, Seed: 1, Events: events.Discard(),
	})
	if err != nil {
		f.Fatal(err)
	}
	if err := d.Start(f.Context()); err != nil {
		f.Fatal(err)
	}
	return d
}

// FuzzPeerMessages calls every method of the protocol between daemons with
// arbitrary JSON parameters. No handler may panic and no duty may fail.
func FuzzPeerMessages(f *testing.F) {
	network := memnet.New()
	d := startSingleDaemon(f, network, logstandin.New(time.Now))
	f.Cleanup(func() { d.Kill(); network.Close() })
	methods := d.peers.Methods()
	for i := range methods {
		for _, seed := range []string{
			`null`, `{}`, `[]`, `"x"`, `{"share":{"kind":"key","name":"0"},"shares":[{"share":{"kind":"key","name":"0"},"epoch":1}],"key":"k","epoch":1}`,
			`{"to":"","from":"a","shares":[{"share":{"kind":"rack","name":"r"},"epoch":18446744073709551615}]}`,
			`{"i":"a","o":1,"l":true,"m":["x"],"h":[{"n":"y","i":"z","a":-1}]}`,
			`{"i":"a","h":[{"n":"entry","i":"z","a":0},{"n":"far","i":"z","a":-9223372036854775808}]}`,
			`{"from":-1,"index":-1,"count":1000000000,"id":"x","tasks":[{}],"asks":[{}]}`,
		} {
			f.Add(uint8(i), []byte(seed))
		}
	}
	f.Fuzz(func(t *testing.T, method uint8, params []byte) {
		if !json.Valid(params) {
			return
		}
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		_ = d.peers.Call(ctx, d.Name(), methods[int(method)%len(methods)], json.RawMessage(params), nil)
		select {
		case <-d.Failed():
			var p *duty.PanicError
			_ = errors.As(d.Err(), &p)
			t.Fatalf("%s: a duty failed: %v\n%s", methods[int(method)%len(methods)], d.Err(), p.Stack)
		default:
		}
	})
}
