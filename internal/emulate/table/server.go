// Package table emulates the transactional table service. It stores all rows in memory
// and counts its reads and writes.
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

// Counts holds the numbers of reads, writes and rejected writes.
type Counts struct{ Reads, Writes, Conflicts int }

// Server is the table. The zero value with a Timer is an empty table.
type Server struct {
	Timer       *timer.Clock
	mu          sync.Mutex
	rows        map[string]row
	lastVersion uint64
	counts      Counts
}

type row struct {
	snipeford.Row
	expiresAt snipeford.Instant
}

// Handler returns the server's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /row", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Get(r.FormValue("key"))) })
	mux.HandleFunc("GET /rows", func(w http.ResponseWriter, r *http.Request) { writeJSON(w, s.Scan(r.FormValue("prefix"))) })
	mux.HandleFunc("POST /write", s.write)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns the row of a key, or a row of version zero if there is none.
func (s *Server) Get(key string) snipeford.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.liveRow(key)
}

func (s *Server) liveRow(key string) snipeford.Row {
	r, ok := s.rows[key]
	if ok && r.expiresAt > 0 && s.Timer.Now() >= r.expiresAt {
		delete(s.rows, key)
		ok = false
	}
	if !ok {
		return snipeford.Row{Key: key}
	}
	return r.Row
}

// Scan returns the rows whose keys start with the prefix, ordered by key.
func (s *Server) Scan(prefix string) []snipeford.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	out := []snipeford.Row{}
	for key := range s.rows {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if r := s.liveRow(key); r.Version > 0 {
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
	writeJSON(w, table.WriteResponse{Version: version})
}

// Write applies all writes, or none and returns false if a version differs.
func (s *Server) Write(body table.WriteRequest) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	for _, write := range body.Writes {
		if s.liveRow(write.Key).Version != write.IfVersion {
			s.counts.Conflicts++
			return 0, false
		}
	}
	s.lastVersion++
	for _, write := range body.Writes {
		s.apply(write)
	}
	return s.lastVersion, true
}

func (s *Server) apply(write table.RowWrite) {
	if s.rows == nil {
		s.rows = map[string]row{}
	}
	if write.Value == nil {
		delete(s.rows, write.Key)
		return
	}
	r := row{Row: snipeford.Row{Key: write.Key, Value: write.Value, Version: s.lastVersion}}
	if write.TTLSeconds > 0 {
		r.expiresAt = s.Timer.Now().Add(time.Duration(write.TTLSeconds * float64(time.Second)))
	}
	s.rows[write.Key] = r
}
