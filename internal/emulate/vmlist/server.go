// Package vmlist emulates the VM list, which lags behind its changes.
package vmlist

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
)

// Server serves the list. A change becomes visible after Lag.
type Server struct {
	Timer    *timer.Clock
	Lag      time.Duration
	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	at   snipeford.Instant
	list []snipeford.Upstream
}

// Handler returns the server's routes: GET /vms returns the list, and
// PUT /control/vms replaces it.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", s.serveList)
	mux.HandleFunc("PUT /control/vms", s.replaceList)
	return mux
}

// Set replaces the list.
func (s *Server) Set(list []snipeford.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, listVersion{s.Timer.Now(), list})
}

// visible returns the version of the list that is visible now, and its number.
func (s *Server) visible() ([]snipeford.Upstream, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.Timer.Now().Add(-s.Lag)
	for i := len(s.versions) - 1; i >= 0; i-- {
		if s.versions[i].at <= until || i == 0 {
			return s.versions[i].list, i + 1
		}
	}
	return []snipeford.Upstream{}, 0
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	list, n := s.visible()
	tag := strconv.Quote(strconv.Itoa(n))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) replaceList(w http.ResponseWriter, r *http.Request) {
	var list []snipeford.Upstream
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(list)
}
