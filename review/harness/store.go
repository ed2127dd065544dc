package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// storeRow is a row of the store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store: rows, a feed of their changes, and transactions.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]storeRow
	start   time.Time
	address string
	server  *http.Server
	// era is the value of the header Store-Era, or 0 for none. While away is set, calls get 503.
	era  uint64
	away bool
}

func newStore() (*store, error) {
	s := &store{changed: make(chan struct{}), rows: map[string]storeRow{}, start: time.Now()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if era > 0 {
			w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		}
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// door is another address of the store, for one node. While it is shut, calls get 503.
type door struct {
	address string
	shut    atomic.Bool
}

// addDoor opens another address of the store.
func (s *store) addDoor() (*door, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	d := &door{address: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.server.Handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

func (s *store) nowMs() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.write(table, key, base64.StdEncoding.EncodeToString(raw), false)
}

func (s *store) remove(table, key string) { s.write(table, key, "", true) }

func (s *store) write(table, key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"\x00"+key] = storeRow{Table: table, Key: key, Value: value, Version: s.version, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyRows returns a copy of the store's rows.
func (s *store) copyRows() (map[string]storeRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.version
}

// goAway makes the store refuse all calls and end those that wait.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store serve again, from a copy, in a new era.
func (s *store) comeBack(rows map[string]storeRow, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.away = rows, version, false
	s.era++
}

// isAway reports whether writers have to try again.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) reply(w http.ResponseWriter, rows []storeRow, more bool, version uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "schemaVersion": version, "nowMs": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var out []storeRow
	for _, row := range s.rows {
		if row.Table == r.FormValue("table") && !row.Deleted && row.Key >= r.FormValue("from") {
			out = append(out, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	s.reply(w, out[:min(len(out), 500)], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("afterRev"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		var out []storeRow
		for _, row := range s.rows {
			if row.Table == r.FormValue("table") && row.Version > after {
				out = append(out, row)
			}
		}
		version, changed, gone, lost := s.version, s.changed, after > s.version, s.away || s.era != era
		s.mu.Unlock()
		if lost {
			// The store ends its connections when it goes away.
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
		if len(out) > 0 || waitMs == 0 {
			s.reply(w, out, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct{ Writes, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range body.Writes {
		s.write(row.Table, row.Key, row.Value, false)
	}
	for _, row := range body.Remove {
		s.write(row.Table, row.Key, "", true)
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.reply(w, nil, false, version)
}
