package main

import (
	"fmt"
	"net/http"
	"time"
)

// ran records that a request has reached a replica.
func (w *world) ran(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.arrived == nil {
		w.arrived = map[string]int{}
	}
	w.arrived[id]++
}

func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrived[id] > 0
}

// servePlain answers with a short body after some work.
func servePlain(work time.Duration) func(*replica, http.ResponseWriter, *http.Request) {
	return func(p *replica, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		p.begin(id)
		defer p.end()
		p.world.ran(id)
		time.Sleep(work)
		w.Header().Set("X-Response-Seal", seal(id))
		_, _ = fmt.Fprintf(w, "answer of %s", id)
	}
}
