package peer

import (
	"net"

	"github.com/pkg/errors"
)

// CheckSource returns an error if a connection over TCP does not come from the host of a daemon's
// peer address. The port is the system's choice.
func CheckSource(daemon, address string, remote net.Addr) error {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrapf(err, "address of daemon %q", daemon)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.Equal(tcp.IP) {
		return errors.Errorf("a connection from %s names itself daemon %q, whose address is %s", tcp.IP, daemon, address)
	}
	return nil
}
