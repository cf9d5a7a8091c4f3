package rig

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
)

// All addresses of a fleet are 127.BLOCK.VIEW.HOST, with three digits each, so that the
// address of a machine in one view can replace that in another without changing the
// length of a message. The store and the ledger use the common view. Each daemon has a
// view of its own, in which the address of a server leads over the path between that
// daemon and that server. The address of a daemon in its own view is the one at which it
// listens; in the common view it is that of the proxy in front of it.
const (
	firstBlock, blocks = 100, 150
	commonView         = 100
	firstServerHost    = 100
	firstDaemonHost    = 150
	storeHost          = 199

	// machinePort is below the ports that outgoing connections get.
	machinePort   = 20100
	callerPort    = 20110
	readinessPort = 20111
)

// network is a block of loopback addresses that no other fleet on this machine uses.
type network struct {
	block            int
	lock             net.Listener
	servers, daemons int
}

// newNetwork takes a block for as long as the test runs.
func newNetwork(t testing.TB, servers, daemons int) *network {
	for _, i := range rand.Perm(blocks) {
		n := &network{block: firstBlock + i, servers: servers, daemons: daemons}
		lock, err := net.Listen("tcp", n.address(commonView, storeHost, machinePort))
		if err == nil {
			n.lock = lock
			t.Cleanup(func() { _ = lock.Close() })
			return n
		}
	}
	t.Fatal("no block of loopback addresses is free")
	return nil
}

func (n *network) ip(view, host int) string { return fmt.Sprintf("127.%d.%d.%d", n.block, view, host) }

func (n *network) address(view, host, port int) string {
	return fmt.Sprintf("%s:%d", n.ip(view, host), port)
}

func viewOf(daemon int) int { return commonView + 1 + daemon }

// server returns the address of a server in a view.
func (n *network) server(view, server int) string {
	return n.address(view, firstServerHost+server, machinePort)
}

// listen returns the address at which a daemon listens for others; it is its name in its
// own view.
func (n *network) listen(daemon int) string {
	return n.address(viewOf(daemon), firstDaemonHost+daemon, machinePort)
}

// name returns the name of a daemon in the views of all others.
func (n *network) name(daemon int) string {
	return n.address(commonView, firstDaemonHost+daemon, machinePort)
}

// toCommon returns the translation of what a daemon says to the common view.
func (n *network) toCommon(daemon int) *translation {
	pairs := [][2]string{{n.listen(daemon), n.name(daemon)}}
	for k := range n.servers {
		pairs = append(pairs, [2]string{n.server(viewOf(daemon), k), n.server(commonView, k)})
	}
	return newTranslation(pairs)
}

// fromCommon returns the translation of what a daemon is told from the common view.
func (n *network) fromCommon(daemon int) *translation {
	pairs := [][2]string{{n.name(daemon), n.listen(daemon)}}
	for k := range n.servers {
		pairs = append(pairs, [2]string{n.server(commonView, k), n.server(viewOf(daemon), k)})
	}
	return newTranslation(pairs)
}

// between returns the translation of what one daemon says to another.
func (n *network) between(from, to int) *translation {
	pairs := [][2]string{{n.listen(from), n.name(from)}, {n.name(to), n.listen(to)}}
	for k := range n.servers {
		pairs = append(pairs, [2]string{n.server(viewOf(from), k), n.server(viewOf(to), k)})
	}
	return newTranslation(pairs)
}

// translation replaces addresses by others of the same length, as they are and within
// texts in base64.
type translation struct {
	replacer *strings.Replacer
	from     []string
}

func newTranslation(pairs [][2]string) *translation {
	t := &translation{}
	var both []string
	for _, p := range pairs {
		from, to := forms(p[0]), forms(p[1])
		for i := range from {
			t.from = append(t.from, from[i])
			both = append(both, from[i], to[i])
		}
	}
	t.replacer = strings.NewReplacer(both...)
	return t
}

// forms returns a text and what is certain of it in base64, at each of the three offsets.
func forms(text string) []string {
	out := []string{text}
	for offset := range 3 {
		padded := make([]byte, offset, offset+len(text)+3)
		padded = append(padded, text...)
		padded = append(padded, 0, 0, 0)
		encoded := base64.StdEncoding.EncodeToString(padded)
		out = append(out, encoded[(offset*8+5)/6:(offset+len(text))*8/6])
	}
	return out
}

func (t *translation) apply(data []byte) []byte { return []byte(t.replacer.Replace(string(data))) }

// split returns the part of a stream that can be translated now, and the rest, which may
// be the beginning of an address.
func (t *translation) split(data []byte) (ready, rest []byte) {
	text := string(data)
	for i := max(0, len(text)-maxForm); i < len(text); i++ {
		tail := text[i:]
		if slices.ContainsFunc(t.from, func(f string) bool { return len(tail) < len(f) && strings.HasPrefix(f, tail) }) {
			return data[:i], data[i:]
		}
	}
	return data, nil
}

// maxForm is longer than any form of an address.
const maxForm = 32

// Addresses must be translated in plain texts and in base64 at each offset, and a stream
// must not be held up by what cannot become an address.
func TestTranslation_ReplacesAddresses(t *testing.T) {
	n := &network{block: 123, servers: 2, daemons: 2}
	for offset := range 4 {
		prefix := strings.Repeat("x", offset)
		from, to := prefix+n.server(viewOf(0), 1)+" "+n.listen(0), prefix+n.server(commonView, 1)+" "+n.name(0)
		if got := string(n.toCommon(0).apply([]byte(from))); got != to {
			t.Errorf("%q becomes %q, want %q", from, got, to)
		}
		encoded := base64.StdEncoding.EncodeToString([]byte(from))
		if got, want := string(n.toCommon(0).apply([]byte(encoded))), base64.StdEncoding.EncodeToString([]byte(to)); got != want {
			t.Errorf("%q in base64 becomes %q, want %q", from, got, want)
		}
		if got := string(n.fromCommon(0).apply([]byte(to))); got != from {
			t.Errorf("%q becomes %q again, want %q", to, got, from)
		}
	}
	message := []byte(`{"name":"` + n.listen(0) + `"}`)
	if _, rest := n.between(0, 1).split(message); len(rest) > 0 {
		t.Errorf("%q of a whole message is held up", rest)
	}
	if ready, rest := n.between(0, 1).split(message[:20]); len(ready) != len(`{"name":"`) || len(rest) == 0 {
		t.Errorf("%q of a part of a message is passed on, want what precedes the address", ready)
	}
}
