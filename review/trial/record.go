package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(kind string, fields map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, _ := json.Marshal(fields)
	fmt.Fprintf(r.file, "%9.3f %s %s\n", time.Since(r.start).Seconds(), kind, raw)
}

func (r *record) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	fmt.Fprintf(r.file, "%9.3f note %s\n", time.Since(r.start).Seconds(), text)
	r.mu.Unlock()
	fmt.Printf("%9.3f %s\n", time.Since(r.start).Seconds(), text)
}
