// Package fault injects faults into the HTTP servers of emulators. POST /control/fault
// adds a Fault, encoded as JSON; one with an empty Kind removes all faults.
package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipeford/internal/control/timer"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Down closes the connection without handling the request.
	Down Kind = "Down"
	// Freeze waits for the fault's duration and closes the connection without
	// handling the request.
	Freeze Kind = "Freeze"
	// DropResponse handles the request and closes the connection without a response.
	DropResponse Kind = "LoseAnswer"
	// DelayRequest waits before it handles the request.
	DelayRequest Kind = "Delay"
	// DelayResponse handles the request and waits before it responds.
	DelayResponse Kind = "Late"
)

// Fault describes which requests fail and how.
type Fault struct {
	Kind Kind
	// Prefix limits the fault to paths with this prefix, and Method to one method.
	Prefix string
	Method string
	// Count is the number of requests that fail; zero means all until the faults
	// are removed.
	Count        int
	Milliseconds int
}

// Injector applies faults to requests. The zero value has none.
type Injector struct {
	Timer  *timer.Clock
	mu     sync.Mutex
	faults []*Fault
}

// Set adds a fault, or removes all if its kind is empty.
func (in *Injector) Set(f Fault) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if f.Kind == "" {
		in.faults = nil
		return
	}
	in.faults = append(in.faults, &f)
}

// match returns the first fault that applies to a request, and decrements its Count.
func (in *Injector) match(r *http.Request) (Fault, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for i, f := range in.faults {
		if !strings.HasPrefix(r.URL.Path, f.Prefix) || f.Method != "" && f.Method != r.Method {
			continue
		}
		found := *f
		if f.Count > 0 {
			f.Count--
			if f.Count == 0 {
				in.faults = append(in.faults[:i], in.faults[i+1:]...)
			}
		}
		return found, true
	}
	return Fault{}, false
}

// Wrap applies the faults to the requests of a handler, except to those under
// /control.
func (in *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control/fault" {
			in.serveControl(w, r)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/control") {
			next.ServeHTTP(w, r)
			return
		}
		f, ok := in.match(r)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		in.inject(f, w, r, next)
	})
}

func (in *Injector) serveControl(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.Set(f)
}

func (in *Injector) inject(f Fault, w http.ResponseWriter, r *http.Request, next http.Handler) {
	delay := time.Duration(f.Milliseconds) * time.Millisecond
	switch f.Kind {
	case Down:
		panic(http.ErrAbortHandler)
	case Freeze:
		in.Timer.Sleep(r.Context(), delay)
		panic(http.ErrAbortHandler)
	case DelayRequest:
		in.Timer.Sleep(r.Context(), delay)
		next.ServeHTTP(w, r)
	case DelayResponse:
		buffered := &responseBuffer{header: http.Header{}}
		next.ServeHTTP(buffered, r)
		in.Timer.Sleep(r.Context(), delay)
		buffered.replay(w)
	case DropResponse:
		next.ServeHTTP(&responseBuffer{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

// responseBuffer buffers a response that is sent later or not at all.
type responseBuffer struct {
	header http.Header
	status int
	body   []byte
}

func (buf *responseBuffer) Header() http.Header { return buf.header }

func (buf *responseBuffer) WriteHeader(status int) { buf.status = status }

func (buf *responseBuffer) Write(b []byte) (int, error) {
	buf.body = append(buf.body, b...)
	return len(b), nil
}

func (buf *responseBuffer) replay(w http.ResponseWriter) {
	for name, values := range buf.header {
		w.Header()[name] = values
	}
	if buf.status != 0 {
		w.WriteHeader(buf.status)
	}
	// An error means that the client has disconnected.
	_, _ = w.Write(buf.body)
}
