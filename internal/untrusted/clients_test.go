package untrusted

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// redialPause is the pause before a client whose connection was closed opens another.
	redialPause = 200 * time.Millisecond
	// dripInterval is the time between two pieces of a client that sends slowly.
	dripInterval = 100 * time.Millisecond
)

// target is what clients need to know of the requests of one listener.
type target struct {
	// path returns the path of a client's requests, and fields are their header fields.
	path   func(number int) string
	fields []string
	// listing is a path that answers to GET.
	listing string
	// sent bytes of a body of declared bytes are sent by clients that stop short, and
	// largest is the legal size of a body.
	sent, declared, largest int
}

func (g target) head(number int, fields ...string) string {
	return head("POST", g.path(number), append(fields, g.fields...)...)
}

// client sends one load over one connection until the connection ends or ctx does.
type client func(ctx context.Context, c net.Conn, number int)

// attack runs clients against an address until the returned function is called. A client
// whose connection was closed opens another one.
func attack(address string, clients int, each client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				connectOnce(ctx, address, i, each)
				pause(ctx, redialPause)
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

func connectOnce(ctx context.Context, address string, number int, each client) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	each(ctx, c, number)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// hold reads and drops what comes until the connection ends.
func hold(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func head(method, path string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, path, hostName, strings.Join(append(fields, ""), "\r\n"))
}

func declared(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunked = "Transfer-Encoding: chunked"

// wholeBodies sends whole bodies of the largest legal size, one after the other.
func wholeBodies(g target, body []byte) client {
	return func(ctx context.Context, c net.Conn, number int) {
		answers := make(chan struct{}, 1)
		go func() {
			defer close(answers)
			buffer := make([]byte, 4096)
			for {
				if _, err := c.Read(buffer); err != nil {
					return
				}
				select {
				case answers <- struct{}{}:
				default:
				}
			}
		}()
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, g.head(number, declared(len(body)))); err != nil {
				return
			}
			if _, err := c.Write(body); err != nil {
				return
			}
			if _, ok := <-answers; !ok {
				return
			}
		}
	}
}

// paddedBody is a sound submission of a legal size.
func paddedBody(size int) []byte {
	text := `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":30}]`
	return []byte(text + strings.Repeat(" ", size-len(text)-1) + "}")
}

// manySteps is a body of legal size that takes many times as much memory once decoded.
func manySteps(size int) []byte {
	const first, last = `{"steps":[{}`, `]}`
	return []byte(first + strings.Repeat(",{}", (size-len(first)-len(last))/3) + last)
}

// stopShort declares a length and stops just before its end.
func stopShort(g target) client {
	body := bytes.Repeat([]byte(" "), g.sent)
	return func(_ context.Context, c net.Conn, number int) {
		_, _ = io.WriteString(c, g.head(number, declared(g.declared)))
		_, _ = c.Write(body)
		hold(c)
	}
}

// chunks sends a body in chunks of the given size, and never the last chunk.
func chunks(g target, size int) client {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat(" ", size))
	all := bytes.Repeat(one, g.sent/size)
	return func(_ context.Context, c net.Conn, number int) {
		_, _ = io.WriteString(c, g.head(number, chunked))
		_, _ = c.Write(all)
		hold(c)
	}
}

// slowPieces sends most of a body, and then a byte at a time, without an end.
func slowPieces(g target) client {
	body := bytes.Repeat([]byte(" "), g.sent-10_000)
	return func(ctx context.Context, c net.Conn, number int) {
		_, _ = io.WriteString(c, g.head(number, declared(g.declared)))
		_, _ = c.Write(body)
		drip(ctx, c, " ")
	}
}

// drip writes piece again and again until the connection ends.
func drip(ctx context.Context, c net.Conn, piece string) {
	go hold(c)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		pause(ctx, dripInterval)
	}
}

// endlessHeaders sends many headers, and then one at a time, without an end.
func endlessHeaders(g target) client {
	return func(ctx context.Context, c net.Conn, number int) {
		_, _ = io.WriteString(c, strings.TrimSuffix(g.head(number), "\r\n"))
		_, _ = io.WriteString(c, strings.Repeat("X-A: "+strings.Repeat("a", 93)+"\r\n", 600))
		drip(ctx, c, "X-A: a\r\n")
	}
}

// unread sends many requests and reads no answer.
func unread(path string, requests int) client {
	all := []byte(strings.Repeat(head("GET", path), requests))
	return func(ctx context.Context, c net.Conn, _ int) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4096)
		}
		_, _ = c.Write(all)
		<-ctx.Done()
	}
}

// unreadAnswer sends one whole body, whose answer is as long, and does not read it.
func unreadAnswer(g target, body []byte) client {
	return func(ctx context.Context, c net.Conn, number int) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4096)
		}
		_, _ = io.WriteString(c, g.head(number, declared(len(body))))
		_, _ = c.Write(body)
		<-ctx.Done()
	}
}

// idle sends nothing.
func idle(_ context.Context, c net.Conn, _ int) { hold(c) }

// frame returns a message between daemons that announces a length.
func frame(length int, content []byte) []byte {
	return append(binary.AppendUvarint(nil, uint64(length)), content...)
}

func call(id int, method string, params any) []byte {
	text, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": method, "params": params})
	if err != nil {
		panic(err)
	}
	return frame(len(text), text)
}

// greeting returns the hello of a client that names itself a daemon.
type greeting func(number int) []byte

// addressHello names a daemon at a port of the client's host, as `host` names its daemons.
func addressHello(number int) []byte {
	return hello(fmt.Sprintf("127.0.0.1:%d", 1+number), fmt.Sprint("i", number))
}

// listedHello names a daemon that the list of VMs shows.
func listedHello(int) []byte { return hello(listedDaemon, "i") }

// noHello names no daemon.
func noHello(int) []byte { return nil }

func hello(name, incarnation string) []byte {
	return call(0, "peer.hello", map[string]string{"name": name, "incarnation": incarnation, "region": "r"})
}

// messageStopsShort sends a message between daemons up to just before its end, after a hello.
func messageStopsShort(greet greeting) client {
	return func(_ context.Context, c net.Conn, number int) {
		_, _ = c.Write(greet(number))
		const length = 1_000_000
		_, _ = c.Write(frame(length+20, bytes.Repeat([]byte(" "), length)))
		hold(c)
	}
}

// messageInSlowPieces sends most of a message between daemons, and then a byte at a time.
func messageInSlowPieces(greet greeting) client {
	return func(ctx context.Context, c net.Conn, number int) {
		_, _ = c.Write(greet(number))
		const length = 1_000_000
		_, _ = c.Write(frame(length+100_000, bytes.Repeat([]byte(" "), length)))
		drip(ctx, c, " ")
	}
}

// unreadCalls sends calls between daemons with long answers and reads none.
func unreadCalls(greet greeting) client {
	return func(ctx context.Context, c net.Conn, number int) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4096)
		}
		_, _ = c.Write(greet(number))
		// The answer to a call of an unknown method holds the method's name.
		method := strings.Repeat("m", 100_000)
		for i := range 60 {
			if _, err := c.Write(call(i+1, method, nil)); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
}
