// Package service is a stand-in for a plain service whose orders must not be
// repeated. It keeps a ledger of what it ran.
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

// Entry is one order that ran.
type Entry struct {
	Key     string
	Attempt snipeford.AttemptID
	Path    string
	Body    string
}

// State is what a test reads of the stand-in.
type State struct {
	Ledger  []Entry
	Peak    int
	Excess  int
	Running int
}

// Sizes of the stand-in.
const (
	// coldBears is how many calls it bears at once before it has served
	// warmAfter of them, and warmBears how many after.
	coldBears = 2
	warmBears = 64
	warmAfter = 10
	// workTime is how long one call takes.
	workTime = 5 * time.Millisecond
)

// Server is one replica.
type Server struct {
	ID          snipeford.UpstreamID
	Incarnation snipeford.Incarnation
	Timer       *timer.Clock
	mu          sync.Mutex
	served      int
	state       State
}

// Handler returns the service's routes. Each path but those of the load report
// and the control is a call; each method but GET is an order.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, s.load)
	mux.HandleFunc("GET /control/state", s.report)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Server) bears() int {
	if s.served < warmAfter {
		return coldBears
	}
	return warmBears
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(service.AttemptIDHeader, r.Header.Get(service.AttemptIDHeader))
	if !s.begin() {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if r.Method != http.MethodGet {
		s.record(r, string(body))
	}
	s.Timer.Sleep(r.Context(), workTime)
	w.Header().Set("Content-Type", "application/json")
	// Where the asker has left there is nobody to tell.
	_ = json.NewEncoder(w).Encode(map[string]string{"Path": r.URL.Path, "Key": r.Header.Get("Idempotency-Key"), "Result": "accepted"})
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Running >= s.bears() {
		s.state.Excess++
		return false
	}
	s.state.Running++
	s.state.Peak = max(s.state.Peak, s.state.Running)
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Running--
	s.served++
}

func (s *Server) record(r *http.Request, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Ledger = append(s.state.Ledger, Entry{
		Key:     r.Header.Get("Idempotency-Key"),
		Attempt: snipeford.AttemptID(r.Header.Get(service.AttemptIDHeader)),
		Path:    r.URL.Path,
		Body:    body,
	})
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := snipeford.LoadReport{Upstream: s.ID, Incarnation: s.Incarnation, Running: s.state.Running, Cold: s.served < warmAfter}
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.state)
}
