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

// oversize is the length that FaultOversized announces, in bytes.
const oversize = 1 << 30

// runTime is how long a call runs.
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

// Serve speaks as the named daemon on a listener until it is closed.
func (d *Daemon) Serve(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go (&wire{daemon: d, conn: c, name: name}).serve()
	}
}

// wire is one connection.
type wire struct {
	daemon *Daemon
	conn   net.Conn
	name   string
	// held are answers that wait for the next one.
	held []response
}

func (w *wire) serve() {
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
		if json.Unmarshal(data, &r) != nil || !w.answer(r) {
			return
		}
	}
}

// answer handles one request and reports whether the connection goes on.
func (w *wire) answer(r request) bool {
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

// finish answers a call that has run.
func (w *wire) finish(fault Fault, ok response) bool {
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

// send writes an answer and then those that were held back for it.
func (w *wire) send(r response) bool {
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
