package peer_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/internal/standin/peerstandin"
)

func TestPeers_Contract(t *testing.T) {
	contracttest.Peers(t, func(t *testing.T, d *peerstandin.Daemon) contracttest.PeerPlatform {
		network := memnet.New()
		l, err := network.Host("b", "r").Listen("b")
		if err != nil {
			t.Fatal(err)
		}
		go d.Serve(l, "b")
		a := start(t, network, "a", "a1")
		return contracttest.PeerPlatform{
			Peers: a, Daemon: d,
			Refuse: func() { network.SetRefusing("b", true) },
			Close:  func() { a.stop(t); network.Close() },
		}
	})
}
