package backendstandin_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
)

func TestInProcess_Contract(t *testing.T) {
	contracttest.Backends(t, func(_ *testing.T, o backendstandin.Options) contracttest.BackendPlatform {
		server := backendstandin.New(o)
		direct := backendstandin.InProcess{o.Name: server}
		return contracttest.BackendPlatform{
			Backends: direct, VM: cluster.VM{Name: o.Name}, Server: server,
			Refuse: func() { server.SetUnreachable(true) }, Close: server.Close,
		}
	})
}
