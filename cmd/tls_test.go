package cmd_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/standin/cell"
	"github.com/currantwinch/currantwinch/internal/standin/testca"
	"github.com/rogpeppe/go-internal/testscript"
)

// authorities holds the certificate authorities of each running script.
var (
	authoritiesMu sync.Mutex
	authorities   = make(map[*testscript.TestScript]*testca.CellAuthorities)
)

// issueCertificates writes certificates for a daemon and for an operator to the
// script's directory.
func issueCertificates(ts *testscript.TestScript, _ bool, _ []string) {
	c, err := testca.NewCellAuthorities(ts.MkAbs("."), time.Now)
	ts.Check(err)
	_, err = c.Daemon(testca.Request{Name: "daemon"})
	ts.Check(err)
	_, err = c.Operator(testca.Request{Name: "operator"})
	ts.Check(err)
	authoritiesMu.Lock()
	defer authoritiesMu.Unlock()
	authorities[ts] = c
}

// startSecureCell starts a cell with TLS and sets the environment variables with
// which the command line uses the operator's certificate.
func startSecureCell(ts *testscript.TestScript, _ bool, _ []string) {
	authoritiesMu.Lock()
	c := authorities[ts]
	authoritiesMu.Unlock()
	startCellWith(ts, func(daemon string) (*certs.Store, error) {
		files, err := c.Daemon(testca.Request{Name: daemon})
		if err != nil {
			return nil, err
		}
		return certs.Open(files, daemon, time.Now)
	})
	ts.Setenv("CURRANTWINCH_CA", "daemon.ca")
	ts.Setenv("CURRANTWINCH_CERT", "operator.crt")
	ts.Setenv("CURRANTWINCH_KEY", "operator.key")
}

// secureSettings is the settings file of one daemon with TLS.
const secureSettings = `{"name": "daemon", "location": {"region": "north", "failureDomain": "north-a"},
 "regions": [{"name": "north", "failureDomains": ["north-a"]}],
 "listen": {"callers": %q, "operators": %q, "peers": %q}, "platform": {"log": %q, "vmList": %q},
 "credential": "system/daemon:secret", "log": {"level": "info", "format": "text"},
 "tls": {"certificate": "daemon.crt", "key": "daemon.key", "authority": "daemon.ca", "operatorAuthority": "operator.ca"}}`

// startPlatform starts the stand-ins without daemons, writes the settings file of
// a daemon that uses them, and sets the environment of the command line.
func startPlatform(ts *testscript.TestScript, _ bool, _ []string) {
	c, err := cell.New(cell.Options{
		Network: cell.Loopback{}, Regions: []cell.RegionSpec{{Region: "north", FailureDomains: []string{"north-a"}}},
		Now: time.Now, Seed: 1, Events: func(string) *events.Logger { return events.Discard() },
	})
	ts.Check(err)
	ts.Defer(c.Close)
	ports := make([]string, 3)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		ports[i] = l.Addr().String()
		defer l.Close()
	}
	c.VMs.Put(cluster.VM{
		Name: "daemon", Role: cluster.RoleEntry, Address: ports[2],
		Location: cluster.Location{Region: "north", FailureDomain: "north-a"},
	})
	log, vms := c.PlatformURLs()
	text := fmt.Sprintf(secureSettings, ports[0], ports[1], ports[2], log, vms)
	ts.Check(os.WriteFile(ts.MkAbs("secure.jsonc"), []byte(text), 0o600))
	ts.Setenv("CURRANTWINCH_OPERATORS", ports[1])
	ts.Setenv("CURRANTWINCH_CALLERS", ports[0])
	ts.Setenv("CURRANTWINCH_CREDENTIAL", "desk/ann:secret")
	ts.Setenv("CURRANTWINCH_CA", "daemon.ca")
	ts.Setenv("CURRANTWINCH_CERT", "operator.crt")
	ts.Setenv("CURRANTWINCH_KEY", "operator.key")
}

// waitUntilSucceeds runs a command repeatedly until it succeeds, for at most one
// minute, which is the longest that a daemon may take to start.
func waitUntilSucceeds(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(time.Minute)
	for {
		err := ts.Exec(args[0], args[1:]...)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v", err)
		}
	}
}
