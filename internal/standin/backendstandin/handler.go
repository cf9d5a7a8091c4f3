package backendstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/gorilla/mux"
)

// oversizedBytes is the body size of a FaultOversized response.
const oversizedBytes = 4 << 20

// Handler serves the protocol between gateways and backend servers over HTTP.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/run/{service}/{kind}", s.serveRun).Methods(http.MethodPost)
	router.HandleFunc("/v1/status", s.serveStatus).Methods(http.MethodGet)
	return router
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Status())
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	vars := mux.Vars(r)
	request := gateway.Request{
		ID: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key"), Caller: r.Header.Get("Caller"),
		Service: vars["service"], Kind: vars["kind"], ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	fault := s.fault(request)
	if s.failBefore(fault, w, r) {
		return
	}
	if fault == FaultResetDuring {
		go s.run(request, false)
		panic(http.ErrAbortHandler)
	}
	s.run(request, fault == FaultSlow)
	s.reply(fault, w, request)
}

// failBefore injects the faults that prevent a request from running, and
// reports whether it did.
func (s *Server) failBefore(fault Fault, w http.ResponseWriter, r *http.Request) bool {
	switch fault {
	case FaultHang:
		s.hang(r.Context())
		panic(http.ErrAbortHandler)
	case FaultResetBefore:
		panic(http.ErrAbortHandler)
	case FaultDecline:
		h := w.Header()
		h.Set("Request-Id", r.Header.Get("Request-Id"))
		h.Set("Currantwinch-Verdict", "not_run")
		h.Set("Leaving", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Server) reply(fault Fault, w http.ResponseWriter, request gateway.Request) {
	h := w.Header()
	h.Set("Request-Id", request.ID)
	h.Set("Content-Type", request.ContentType)
	body := request.Body
	switch fault {
	case FaultResetAfter:
		panic(http.ErrAbortHandler)
	case FaultTruncated:
		h.Set("Content-Length", strconv.Itoa(len(body)+1))
	case FaultOversized:
		body = make([]byte, oversizedBytes)
	case FaultMismatched:
		h.Set("Request-Id", "crossed-"+request.ID)
		body = []byte("the answer to another request")
	case FaultError:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultMalformed:
		hijack(w, "this is not HTTP\r\n\r\n")
		return
	case FaultDuplicate:
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", request.ID, len(body), body)
		hijack(w, one+one)
		return
	}
	_, _ = io.Copy(w, bytes.NewReader(body))
	if fault == FaultTruncated {
		panic(http.ErrAbortHandler)
	}
}

func hijack(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
