// Package table is a stand-in for the platform's transactional table service.
// It keeps all rows in memory and counts its reads and writes.
package table

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/backing/table"
	"snipeford/internal/control/timer"
)

// Counts is what the table was asked so far.
type Counts struct{ Reads, Writes, Conflicts int }

// Server is the table. Its zero value, with a timer, is empty.
type Server struct {
	Timer    *timer.Clock
	mu       sync.Mutex
	rows     map[string]row
	sequence uint64
	counts   Counts
}

type row struct {
	snipeford.Row
	until snipeford.Instant
}

// Handler returns the service's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /row", func(w http.ResponseWriter, r *http.Request) { reply(w, s.Get(r.FormValue("key"))) })
	mux.HandleFunc("GET /rows", func(w http.ResponseWriter, r *http.Request) { reply(w, s.Scan(r.FormValue("prefix"))) })
	mux.HandleFunc("POST /write", s.write)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts()) })
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Where the asker has left there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Counts returns what the table was asked so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns a row, or one of version zero.
func (s *Server) Get(key string) snipeford.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.live(key)
}

func (s *Server) live(key string) snipeford.Row {
	r, ok := s.rows[key]
	if ok && r.until > 0 && s.Timer.Now() >= r.until {
		delete(s.rows, key)
		ok = false
	}
	if !ok {
		return snipeford.Row{Key: key}
	}
	return r.Row
}

// Scan returns the rows under a prefix in key order.
func (s *Server) Scan(prefix string) []snipeford.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	out := []snipeford.Row{}
	for key := range s.rows {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if r := s.live(key); r.Version > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b snipeford.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	var body table.WriteRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, ok := s.Write(body)
	if !ok {
		http.Error(w, "version differs", http.StatusConflict)
		return
	}
	reply(w, table.WriteResponse{Version: version})
}

// Write applies all writes, or none and returns false.
func (s *Server) Write(body table.WriteRequest) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	for _, one := range body.Writes {
		if s.live(one.Key).Version != one.IfVersion {
			s.counts.Conflicts++
			return 0, false
		}
	}
	s.sequence++
	for _, one := range body.Writes {
		s.set(one)
	}
	return s.sequence, true
}

func (s *Server) set(one table.RowWrite) {
	if s.rows == nil {
		s.rows = map[string]row{}
	}
	if one.Value == nil {
		delete(s.rows, one.Key)
		return
	}
	r := row{Row: snipeford.Row{Key: one.Key, Value: one.Value, Version: s.sequence}}
	if one.TTLSeconds > 0 {
		r.until = s.Timer.Now().Add(time.Duration(one.TTLSeconds * float64(time.Second)))
	}
	s.rows[one.Key] = r
}
