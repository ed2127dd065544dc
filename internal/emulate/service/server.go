// Package service emulates a plain service whose orders must not run twice. It
// records the orders that it ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/upstream/engine"
	"snipeford/internal/upstream/service"
)

// Entry is an order that ran.
type Entry struct {
	Key     string
	Attempt snipeford.AttemptID
	Path    string
	Body    string
}

// State is the state of an emulated service, for checks by tests.
type State struct {
	// RecordedOrders lists the orders that ran.
	RecordedOrders []Entry `json:"Ledger"`
	// PeakCalls is the maximum number of concurrent calls.
	PeakCalls int `json:"Peak"`
	// ExcessCalls counts the calls that exceeded the concurrency limit.
	ExcessCalls int `json:"Excess"`
	Running     int
}

// Capacity of an emulated service.
const (
	// coldConcurrencyLimit is the maximum number of concurrent calls until warmUpCalls
	// calls have ended, and warmConcurrencyLimit from then on.
	coldConcurrencyLimit = 2
	warmConcurrencyLimit = 64
	warmUpCalls          = 10
	// callTime is the duration of a call.
	callTime = 5 * time.Millisecond
)

// Server is an emulated replica of the service.
type Server struct {
	ID          snipeford.UpstreamID
	Incarnation snipeford.Incarnation
	Timer       *timer.Clock
	mu          sync.Mutex
	servedCalls int
	state       State
}

// Handler returns the server's routes. All paths except those of the load report and of
// the state are calls. Requests with a method other than GET are recorded as orders.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, s.reportLoad)
	mux.HandleFunc("GET /control/state", s.reportState)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) concurrencyLimit() int {
	if s.servedCalls < warmUpCalls {
		return coldConcurrencyLimit
	}
	return warmConcurrencyLimit
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(service.AttemptIDHeader, r.Header.Get(service.AttemptIDHeader))
	if !s.beginCall() {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer s.endCall()
	if r.Method != http.MethodGet {
		s.recordOrder(r, string(body))
	}
	s.Timer.Sleep(r.Context(), callTime)
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]string{"Path": r.URL.Path, "Key": r.Header.Get("Idempotency-Key"), "Result": "accepted"})
}

func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Running >= s.concurrencyLimit() {
		s.state.ExcessCalls++
		return false
	}
	s.state.Running++
	s.state.PeakCalls = max(s.state.PeakCalls, s.state.Running)
	return true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Running--
	s.servedCalls++
}

func (s *Server) recordOrder(r *http.Request, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RecordedOrders = append(s.state.RecordedOrders, Entry{
		Key:     r.Header.Get("Idempotency-Key"),
		Attempt: snipeford.AttemptID(r.Header.Get(service.AttemptIDHeader)),
		Path:    r.URL.Path,
		Body:    body,
	})
}

func (s *Server) reportLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := snipeford.LoadReport{Upstream: s.ID, Incarnation: s.Incarnation, Running: s.state.Running, Cold: s.servedCalls < warmUpCalls}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (s *Server) reportState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.state)
}
