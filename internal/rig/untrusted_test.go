package rig

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

var untrustedFlag = flag.Int("untrusted", 24, "number of untrusted clients of each daemon; 0 plays without")

const (
	// untrustedBytes of a body or message of untrustedLength are sent, and the rest never.
	untrustedBytes, untrustedLength = 250_000, 250_020
	// untrustedPause is the time between two connections of one client, and between two
	// bytes of one that sends slowly.
	untrustedPause = 200 * time.Millisecond
)

// untrusted runs clients against the listeners of all daemons until the returned function
// is called: unfinished bodies, one byte at a time, unread answers, unfinished messages
// between daemons, and connections without a request.
func (f *fleet) untrusted(perDaemon int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, d := range f.daemons {
		for i := range perDaemon {
			all.Go(func() {
				for ctx.Err() == nil {
					f.untrustedOnce(ctx, d, i)
					wait(ctx, untrustedPause)
				}
			})
		}
	}
	return func() { cancel(); all.Wait() }
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *fleet) untrustedOnce(ctx context.Context, d *daemon, number int) {
	address := d.callers
	body := fmt.Sprintf("POST /q0/%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", 0xbad00+number, hostName, untrustedLength, strings.Repeat(" ", untrustedBytes))
	drip := ""
	switch number % 6 {
	case 1:
		drip = " "
		body = body[:len(body)-10_000]
	case 2:
		body = strings.Repeat(fmt.Sprintf("GET /q0/ HTTP/1.1\r\nHost: %s\r\n\r\n", hostName), 2000)
	case 3:
		address = f.net.listen(d.number)
		body = string(binary.AppendUvarint(nil, untrustedLength)) + strings.Repeat(" ", untrustedBytes)
	case 4:
		address = d.ready
	case 5:
		body = ""
	}
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if _, err := io.WriteString(c, body); err != nil {
		return
	}
	if number%6 == 2 {
		// The answers are not read.
		wait(ctx, 10*untrustedPause)
		return
	}
	go func() {
		for ctx.Err() == nil && drip != "" {
			if _, err := io.WriteString(c, drip); err != nil {
				return
			}
			wait(ctx, untrustedPause)
		}
	}()
	_, _ = io.Copy(io.Discard, c)
}
