package loghttp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/adapter/loghttp"
	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

const address = "10.0.0.1:80"

func TestLog_Contract(t *testing.T) {
	contracttest.Log(t, func(t *testing.T) contracttest.LogPlatform {
		stand := logstandin.New(time.Now)
		return contracttest.LogPlatform{Log: stand, StandIn: stand}
	})
}

func TestLog_ContractOverHTTP(t *testing.T) {
	contracttest.Log(t, func(t *testing.T) contracttest.LogPlatform {
		network := memnet.New()
		stand := logstandin.New(time.Now)
		handler := stand.Handler()
		listener, err := network.Host("log", "north").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: network.Host("daemon", "north").Dial}
		t.Cleanup(func() {
			transport.CloseIdleConnections()
			_ = server.Close()
			network.Close()
		})
		return contracttest.LogPlatform{
			Log:     loghttp.New("http://"+address, &http.Client{Transport: transport}),
			StandIn: stand,
			Transport: &contracttest.LogTransport{
				SetRefusing:      func(refuse bool) { network.SetRefusing("log", refuse) },
				ResetConnections: func() { network.ResetConnections("daemon", "log") },
				SetResponseFault: handler.SetResponseFault,
			},
		}
	})
}
