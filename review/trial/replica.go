package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// beat is the time between two writes of a replica's row.
const beat = 1200 * time.Millisecond

// replica is a replica of a plain service, as the users' pages describe it.
type replica struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	// coldFor is how long it is cold after its start.
	coldFor time.Duration
	// coldBound is the number of requests in a second above which it crashes while it is cold.
	coldBound float64
	// stream is set if its responses are streams, of one event.
	stream bool
	// answer, if not nil, replaces the usual response.
	answer func(w http.ResponseWriter, r *http.Request)

	born     time.Time
	server   *http.Server
	address  string
	stop     chan struct{}
	stopOnce sync.Once
	running  atomic.Int64
	mu       sync.Mutex
	sequence int
	arrivals []arrival
}

// arrival is a request that reached a replica.
type arrival struct {
	at      time.Duration
	request string
	ran     bool
}

// startReplica starts a replica and writes its row.
func (f *fleet) startReplica(r *replica) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.fleet, r.address, r.born, r.stop = f, l.Addr().String(), time.Now(), make(chan struct{})
	r.server = &http.Server{Handler: r, IdleTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	f.record.add("replica", map[string]any{"id": r.id, "service": r.service, "address": r.address, "coldMs": r.coldFor.Milliseconds()})
	r.register()
	go func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(beat):
				r.register()
			}
		}
	}()
	return nil
}

// coldLeft returns how much longer the replica is cold.
func (r *replica) coldLeft() time.Duration { return max(0, r.coldFor-time.Since(r.born)) }

func (r *replica) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	raw, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"coldLeftMs": r.coldLeft().Milliseconds(), "sequence": r.sequence, "born": r.born.UnixMilli(),
	})
	r.fleet.store.Put("servers", r.id, raw)
}

// crash ends the replica. The store removes its row after three heartbeats of silence.
func (r *replica) crash() {
	r.stopOnce.Do(func() {
		close(r.stop)
		_ = r.server.Close()
		r.fleet.record.add("replica", map[string]any{"id": r.id, "ended": true})
		go func() {
			time.Sleep(3 * beat)
			r.fleet.store.Put("servers", r.id, nil)
		}()
	})
}

func (r *replica) arrived(request string, ran bool) {
	at := r.fleet.record.now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{at, request, ran})
	r.mu.Unlock()
	r.fleet.record.add("arrived", map[string]any{"replica": r.id, "request": request, "runs": ran})
}

// ServeHTTP serves one request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	if q.Header.Get("X-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	n := r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", min(n, int64(r.slots)), max(0, n-int64(r.slots)), r.slots))
	r.arrived(id, true)
	if r.coldLeft() > 0 && float64(r.lately(time.Second)) > r.coldBound {
		r.fleet.record.add("crash", map[string]any{"replica": r.id})
		r.crash()
		return
	}
	if r.answer != nil {
		r.answer(w, q)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	body := []byte("answer of " + r.id + " to " + id + "\n")
	if r.stream {
		body = []byte("id: 1\ndata: " + id + "\n\n")
		w.Header().Set("Content-Type", "text/event-stream")
	}
	w.Header().Set("X-Response-Seal", "s."+r.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// lately returns the number of requests that reached the cold replica in the last span.
func (r *replica) lately(span time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, n := r.fleet.record.now(), 0
	began := now - (r.coldFor - r.coldLeft())
	for _, a := range r.arrivals {
		if now-a.at < span && a.at >= began {
			n++
		}
	}
	return n
}

// most returns the largest number of requests that reached the replica within a span between
// two instants.
func (r *replica) most(span, since, until time.Duration) (count int, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for i, a := range r.arrivals {
		if a.at > until {
			break
		}
		if a.at < since {
			first = i + 1
			continue
		}
		for a.at-r.arrivals[first].at >= span {
			first++
		}
		if i-first+1 > count {
			count, from = i-first+1, r.arrivals[first].at
		}
	}
	return count, from
}
