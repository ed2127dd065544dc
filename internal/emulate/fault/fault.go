// Package fault makes a stand-in's HTTP answers fail on command:
// POST /control/fault takes a Fault as JSON, an empty Kind clears all.
package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipeford/internal/control/timer"
)

// Kind is a way to fail.
type Kind string

// Kinds of faults.
const (
	// Down closes the connection before anything is done.
	Down Kind = "Down"
	// Freeze keeps the request for the fault's time, then does nothing.
	Freeze Kind = "Freeze"
	// DropResponse does what was asked and closes the connection.
	DropResponse Kind = "LoseAnswer"
	// DelayRequest waits before it does what was asked.
	DelayRequest Kind = "Delay"
	// DelayResponse does what was asked and waits before it answers.
	DelayResponse Kind = "Late"
)

// Fault is one order to fail.
type Fault struct {
	Kind Kind
	// Prefix limits the fault to paths that start with it, and Method to one
	// method.
	Prefix string
	Method string
	// Count limits how many requests fail; zero means all until cleared.
	Count        int
	Milliseconds int
}

// Injector lets requests through or makes them fail. Its zero value lets all through.
type Injector struct {
	Timer  *timer.Clock
	mu     sync.Mutex
	faults []*Fault
}

// Set adds a fault, or clears all where its kind is empty.
func (g *Injector) Set(f Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Kind == "" {
		g.faults = nil
		return
	}
	g.faults = append(g.faults, &f)
}

// take returns the first fault that fits a request and counts it.
func (g *Injector) take(r *http.Request) (Fault, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, f := range g.faults {
		if !strings.HasPrefix(r.URL.Path, f.Prefix) || f.Method != "" && f.Method != r.Method {
			continue
		}
		found := *f
		if f.Count > 0 {
			f.Count--
			if f.Count == 0 {
				g.faults = append(g.faults[:i], g.faults[i+1:]...)
			}
		}
		return found, true
	}
	return Fault{}, false
}

// Wrap puts the gate before a stand-in's routes. Paths under /control pass.
func (g *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control/fault" {
			g.control(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/control") {
			next.ServeHTTP(w, r)
			return
		}
		f, ok := g.take(r)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		g.fail(f, w, r, next)
	})
}

func (g *Injector) control(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.Set(f)
}

func (g *Injector) fail(f Fault, w http.ResponseWriter, r *http.Request, next http.Handler) {
	pause := time.Duration(f.Milliseconds) * time.Millisecond
	switch f.Kind {
	case Down:
		panic(http.ErrAbortHandler)
	case Freeze:
		g.Timer.Sleep(r.Context(), pause)
		panic(http.ErrAbortHandler)
	case DelayRequest:
		g.Timer.Sleep(r.Context(), pause)
		next.ServeHTTP(w, r)
	case DelayResponse:
		held := &discard{header: http.Header{}}
		next.ServeHTTP(held, r)
		g.Timer.Sleep(r.Context(), pause)
		held.replay(w)
	case DropResponse:
		next.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

// discard takes an answer that the caller does not get, or not yet.
type discard struct {
	header http.Header
	status int
	body   []byte
}

func (d *discard) Header() http.Header { return d.header }

func (d *discard) WriteHeader(status int) { d.status = status }

func (d *discard) Write(b []byte) (int, error) {
	d.body = append(d.body, b...)
	return len(b), nil
}

func (d *discard) replay(w http.ResponseWriter) {
	for name, values := range d.header {
		w.Header()[name] = values
	}
	if d.status != 0 {
		w.WriteHeader(d.status)
	}
	// Where the asker has left there is nobody to tell.
	_, _ = w.Write(d.body)
}
