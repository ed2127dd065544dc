// Package vmlist is a stand-in for the platform's lagging list of VMs.
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

// Server is the list. Changes show after Lag.
type Server struct {
	Timer *timer.Clock
	Lag   time.Duration
	mu    sync.Mutex
	past  []edition
}

type edition struct {
	at   snipeford.Instant
	list []snipeford.Upstream
}

// Handler returns the service's routes: GET /vms, and PUT /control/vms to
// replace the list.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", s.read)
	mux.HandleFunc("PUT /control/vms", s.replace)
	return mux
}

// Set replaces the list.
func (s *Server) Set(list []snipeford.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.past = append(s.past, edition{s.Timer.Now(), list})
}

// visible returns the edition that readers see now, and its number.
func (s *Server) visible() ([]snipeford.Upstream, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.Timer.Now().Add(-s.Lag)
	for i := len(s.past) - 1; i >= 0; i-- {
		if s.past[i].at <= until || i == 0 {
			return s.past[i].list, i + 1
		}
	}
	return []snipeford.Upstream{}, 0
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	list, n := s.visible()
	tag := strconv.Quote(strconv.Itoa(n))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	// Where the asker has left there is nobody to tell.
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var list []snipeford.Upstream
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(list)
}
