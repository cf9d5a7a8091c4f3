package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

// handlerTransport is an http.RoundTripper that calls a handler directly.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func TestOperator_Contract(t *testing.T) {
	for name, overHTTP := range map[string]bool{"direct": false, "over HTTP": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				contracttest.Operators(t, func(t *testing.T) contracttest.OperatorPlatform {
					network, log := memnet.New(), logstandin.New(time.Now)
					d := startSingleDaemon(t, network, log)
					transport := &http.Transport{DialContext: network.Host("operator", "north").Dial}
					t.Cleanup(func() { transport.CloseIdleConnections(); d.Kill(); network.Close() })
					p := contracttest.OperatorPlatform{Operator: transport, LoseResponses: log.LoseResponses, SetDown: log.SetDown}
					if !overHTTP {
						p.Operator = handlerTransport{d.operator.Handler()}
					}
					return p
				})
			})
		})
	}
}
