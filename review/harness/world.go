// Package main plays small deployments on loopback addresses: the platform's store,
// replicas and clients in this process, and nodes as separate processes.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes the events of a run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) since() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), text)
}

// world is one deployment.
type world struct {
	*record
	dir      string
	program  string
	store    *store
	nodes    []*node
	mu       sync.Mutex
	replicas []*replica
	ctx      context.Context
	cancel   context.CancelFunc
	trouble  bool
	arrived  map[string]int
	kept     sync.WaitGroup
}

func newWorld(caseDir, program string) (*world, error) {
	r, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, program: program, store: s, trouble: os.Getenv("TROUBLE") != "0"}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w, nil
}

// close ends all that the world has started.
func (w *world) close() {
	w.cancel()
	for _, n := range w.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	for _, p := range w.list() {
		p.stop()
	}
	_ = w.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (w *world) list() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*replica(nil), w.replicas...)
}
