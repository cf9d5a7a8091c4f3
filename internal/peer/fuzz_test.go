package peer_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// seedMessages are byte sequences that the other end of a connection may send.
var seedMessages = [][]byte{
	nil,
	frame(`{"jsonrpc":"2.0","id":0,"method":"peer.hello","params":{"name":"c","incarnation":"c1","region":"r"}}`),
	append(frame(`{"id":0,"method":"peer.hello","params":{"name":"c"}}`), frame(`{"id":1,"method":"echo","params":[]}`)...),
	// Several hellos with the name of a connected daemon.
	bytes.Repeat(frame(`{"id":0,"method":"peer.hello","params":{"name":"a"}}`), 8),
	frame(`{"jsonrpc":"2.0","id":1,"result":"x"}`),
	frame(`{"jsonrpc":"2.0","id":1,"error":{"code":1,"message":"m","data":{"verdict":"ran"}}}`),
	frame(`{"id":1,"method":"echo"}`),
	frame(`{"method":"peer.hello","params":null}`),
	frame(`[{}]`), frame(`null`), frame(`{"id":{},"method":7}`),
	binary.AppendUvarint(nil, 1<<62),
	bytes.Repeat([]byte{0xff}, 12),
}

// FuzzAccept sends arbitrary bytes to a daemon that accepts connections. The
// daemon must keep running and respond to other daemons.
func FuzzAccept(f *testing.F) {
	for _, seed := range seedMessages {
		f.Add(seed)
	}
	network := memnet.New()
	a := startWith(f, network, "a", "a1", nil, events.Discard())
	b := startWith(f, network, "b", "b1", nil, events.Discard())
	f.Cleanup(func() { a.stop(f); b.stop(f); network.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := network.Host("stranger", "r").Dial(t.Context(), "tcp", "b")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(data)
		_ = c.Close()
		// Without TLS any client may claim the name a, which closes a's own
		// connection once.
		for range 3 {
			if err = a.Call(t.Context(), "b", "echo", 1, nil); err == nil {
				return
			}
		}
		t.Errorf("call after the fuzzed connection: %v", err)
	})
}

// FuzzAnswer completes the hello and then sends arbitrary bytes to a daemon that
// waits for a response.
func FuzzAnswer(f *testing.F) {
	for _, seed := range seedMessages {
		f.Add(seed)
	}
	network := memnet.New()
	a := startWith(f, network, "a", "a1", nil, events.Discard())
	l, err := network.Host("b", "r").Listen("b")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { a.stop(f); network.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		done := make(chan struct{})
		go func() { defer close(done); respondOnce(l, data) }()
		var result struct{ A, B int }
		_ = a.Call(t.Context(), "b", "echo", 1, &result)
		<-done
		// Wait for the connection to close, so that the next call opens a new one.
		for len(a.Dump().([]peer.LinkStatus)) > 0 {
			time.Sleep(time.Millisecond)
		}
	})
}

// respondOnce accepts one connection, responds to the hello and sends data in
// place of the response to the next request.
func respondOnce(l net.Listener, data []byte) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	read := make([]byte, 1<<10)
	if _, err := c.Read(read); err != nil {
		return
	}
	_, _ = c.Write(frame(`{"jsonrpc":"2.0","id":0,"result":{"name":"b","incarnation":"b1","region":"r"}}`))
	_, _ = c.Read(read)
	_, _ = c.Write(data)
}
