package gateway_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/internal/adapter/backendhttp"
	"github.com/currantwinch/currantwinch/internal/gateway"
)

// BenchmarkOverhead measures the overhead of the gateway in real time over
// loopback: requests sent directly to a stand-in backend server with net/http, and
// requests sent to it through one gateway, in one run.
func BenchmarkOverhead(b *testing.B) {
	r := newRig(&testing.T{}, rigOptions{
		daemons: 1, backends: 4, slots: 8,
		wrap: func(gateway.Backends) gateway.Backends {
			return backendhttp.New((&net.Dialer{}).DialContext, dispatch.MaxConnections(64, 8, 8, 9))
		},
		serve: func(h http.Handler) string {
			s := httptest.NewServer(h)
			b.Cleanup(s.Close)
			return s.Listener.Addr().String()
		},
	})
	defer r.close()
	server := httptest.NewUnstartedServer(nil)
	server.Config = r.daemons[0].Server()
	server.Start()
	defer server.Close()
	time.Sleep(time.Second)
	directURL := "http://" + r.vms[0].Address + "/v1/run/desk/peek"
	gatewayURL := server.URL + "/v1/services/desk/requests/peek"
	for _, c := range []struct {
		name    string
		callers int
	}{{"one_caller", 1}, {"16_callers", 16}} {
		b.Run(c.name, func(b *testing.B) {
			load(b, directURL, c.callers, max(b.N/10, c.callers))
			load(b, gatewayURL, c.callers, max(b.N/10, c.callers))
			base := load(b, directURL, c.callers, b.N)
			viaGateway := load(b, gatewayURL, c.callers, b.N)
			micros := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
			b.ReportMetric(micros(base.latency, 50), "direct-p50-µs")
			b.ReportMetric(micros(base.latency, 99), "direct-p99-µs")
			b.ReportMetric(micros(viaGateway.latency, 50)-micros(base.latency, 50), "added-p50-µs")
			b.ReportMetric(micros(viaGateway.latency, 99)-micros(base.latency, 99), "added-p99-µs")
			b.ReportMetric(float64(b.N)/(viaGateway.cpu-base.cpu).Seconds(), "req/s-core")
			b.ReportMetric(viaGateway.allocs-base.allocs, "added-allocs/req")
			b.ReportMetric(0, "ns/op")
		})
	}
}

type loadResult struct {
	latency *hdrhistogram.Histogram
	cpu     time.Duration
	allocs  float64
}

// load sends n requests from several callers and measures the latency, and the
// processor time and allocations of the whole process.
func load(b *testing.B, url string, callers, n int) loadResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	all := hdrhistogram.New(1, int64(10*time.Second), 3)
	var mu sync.Mutex
	var calls sync.WaitGroup
	before, cpu := mallocs(), processorTime()
	for i := range callers {
		calls.Go(func() {
			h := hdrhistogram.New(1, int64(10*time.Second), 3)
			for turn := i; turn < n; turn += callers {
				start := time.Now()
				sendOne(b, client, url)
				_ = h.RecordValue(int64(time.Since(start)))
			}
			mu.Lock()
			all.Merge(h)
			mu.Unlock()
		})
	}
	calls.Wait()
	return loadResult{all, processorTime() - cpu, float64(mallocs()-before) / float64(n)}
}

func sendOne(b *testing.B, client *http.Client, url string) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, 100)))
	if err != nil {
		b.Error(err)
		return
	}
	request.Header.Set("Caller", "ann")
	request.Header.Set("Request-Id", "1")
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	n, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || n != 100 || response.StatusCode != http.StatusOK {
		b.Errorf("got %d bytes, status %d, %v", n, response.StatusCode, err)
	}
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
