package peer

import (
	"net"
	"testing"
)

// Without TLS anybody who reaches the port for daemons could name itself any daemon, and its
// calls were done.
func TestCheckSource_TakesNamesFromTheirHostsAlone(t *testing.T) {
	tcp := func(ip string) net.Addr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: 50000} }
	for _, c := range []struct {
		name, address string
		remote        net.Addr
		ok            bool
	}{
		{"its host", "10.1.0.13:7720", tcp("10.1.0.13"), true},
		{"its host as IPv4 in IPv6", "10.1.0.13:7720", tcp("::ffff:10.1.0.13"), true},
		{"another host", "10.1.0.13:7720", tcp("10.1.0.14"), false},
		{"no address", "entry-1", tcp("10.1.0.14"), false},
		{"a host name", "entry-1:7720", tcp("10.1.0.14"), false},
		{"a network without IP addresses", "entry-1:7720", &net.UnixAddr{Name: "entry-1"}, true},
	} {
		if err := CheckSource("d", c.address, c.remote); (err == nil) != c.ok {
			t.Errorf("%s: %v, want accepted %t", c.name, err, c.ok)
		}
	}
}
