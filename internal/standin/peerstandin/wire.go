package peerstandin

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"time"
)

// methodHello is the first call on every connection.
const methodHello = "peer.hello"

// oversize is the response length that FaultOversized announces, in bytes.
const oversize = 1 << 30

// runTime is the run time of a call.
const runTime = 10 * time.Millisecond

type request struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
}

type response struct {
	Version string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *responseError  `json:"error,omitempty"`
}

type responseError struct {
	Code    int             `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data"`
}

// Serve accepts connections as the named daemon until the listener is closed.
func (d *Daemon) Serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go (&serverConn{daemon: d, conn: c, name: name}).serve()
	}
}

// serverConn serves one connection.
type serverConn struct {
	daemon *Daemon
	conn   net.Conn
	name   string
	// held are responses to send after the next one.
	held []response
}

func (w *serverConn) serve() {
	defer w.conn.Close()
	reader := bufio.NewReader(w.conn)
	for {
		n, err := binary.ReadUvarint(reader)
		if err != nil {
			return
		}
		data := make([]byte, n)
		if _, err := io.ReadFull(reader, data); err != nil {
			return
		}
		var r request
		if json.Unmarshal(data, &r) != nil || !w.handle(r) {
			return
		}
	}
}

// handle serves one request and reports whether the connection stays open.
func (w *serverConn) handle(r request) bool {
	ok := response{Version: "2.0", ID: r.ID, Result: r.Params}
	if r.Method == methodHello {
		ok.Result, _ = json.Marshal(map[string]string{"name": w.name, "incarnation": w.name + ".1", "region": "r"})
		return w.send(ok)
	}
	fault := w.daemon.fault(r.Method)
	switch fault {
	case FaultDecline:
		data := json.RawMessage(`{"verdict":"not_run","reason":"` + string(ReasonDeclined) + `"}`)
		return w.send(response{Version: "2.0", ID: r.ID, Error: &responseError{1, "declined", data}})
	case FaultHang:
		return true
	case FaultResetBefore:
		return false
	}
	w.daemon.run()
	if fault == FaultResetDuring {
		return false
	}
	time.Sleep(runTime)
	return w.finish(fault, ok)
}

// finish responds to a call that has run, and reports whether the connection
// stays open.
func (w *serverConn) finish(fault Fault, ok response) bool {
	switch fault {
	case FaultSlow:
		time.Sleep(SlowDelay)
		return w.send(ok)
	case FaultResetAfter:
		return false
	case FaultResponseLost:
		return true
	case FaultDuplicate:
		_ = w.send(ok)
		return w.send(ok)
	case FaultReordered:
		w.held = append(w.held, ok)
		return true
	case FaultTruncated:
		frame := frameOf(ok)
		_, _ = w.conn.Write(frame[:len(frame)/2])
		return false
	case FaultMalformed:
		_, err := w.conn.Write(append([]byte{4}, "nope"...))
		return err == nil
	case FaultMistyped:
		ok.Result = json.RawMessage(`[{"another": "type"}]`)
		return w.send(ok)
	case FaultOversized:
		_, err := w.conn.Write(binary.AppendUvarint(nil, oversize))
		return err == nil
	case FaultUnsolicited:
		unasked := ok
		unasked.ID, unasked.Result = json.RawMessage(`123456`), json.RawMessage(`"unasked"`)
		return w.send(unasked) && w.send(ok)
	}
	return w.send(ok)
}

// send writes a response and then the held responses. It reports whether the
// writes succeeded.
func (w *serverConn) send(r response) bool {
	all := append([]response{r}, w.held...)
	w.held = nil
	for _, each := range all {
		if _, err := w.conn.Write(frameOf(each)); err != nil {
			return false
		}
	}
	return true
}

func frameOf(r response) []byte {
	data, _ := json.Marshal(r)
	return append(binary.AppendUvarint(nil, uint64(len(data))), data...)
}
