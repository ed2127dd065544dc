package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is one incarnation of a replica.
type replica struct {
	world             *world
	id, service, zone string
	address           string
	slots             int
	born              int64
	coldUntil         time.Time
	serve             func(p *replica, w http.ResponseWriter, r *http.Request)
	server            *http.Server
	listener          net.Listener
	mu                sync.Mutex
	conns             map[net.Conn]bool
	stopped           bool
	state             string
	sequence          int
	silent            bool
	silentSince       time.Time
	running           int
	runs              map[string]int
}

var (
	nextReplica int
	replicaMu   sync.Mutex
)

// addReplica starts a replica at an address, or at a free one if that is empty.
func (w *world) addReplica(service, zone, address string, slots int, cold time.Duration, serve func(*replica, http.ResponseWriter, *http.Request)) (*replica, error) {
	replicaMu.Lock()
	nextReplica++
	id := fmt.Sprintf("i-%06x", 0x1a2b3+nextReplica*7919)
	replicaMu.Unlock()
	if address == "" {
		address = freeAddress()
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for replica: %w", err)
	}
	p := &replica{world: w, id: id, service: service, zone: zone, address: address, slots: slots, born: time.Now().UnixMilli(), coldUntil: time.Now().Add(cold), serve: serve, listener: listener, conns: map[net.Conn]bool{}, state: "ready", runs: map[string]int{}}
	p.server = &http.Server{Handler: p, IdleTimeout: 5 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(p.conns, c)
			return
		}
		p.conns[c] = true
	}}
	go func() { _ = p.server.Serve(listener) }()
	w.mu.Lock()
	w.replicas = append(w.replicas, p)
	w.mu.Unlock()
	go p.beat()
	return p, nil
}

const beatInterval = 1200 * time.Millisecond

func (p *replica) row() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	cold := max(0, time.Until(p.coldUntil).Milliseconds())
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state,
		"coldLeftMs": cold, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": p.sequence, "born": p.born,
	}
}

// beat writes the replica's row, and removes it three intervals after the replica's end.
func (p *replica) beat() {
	for p.world.ctx.Err() == nil {
		p.mu.Lock()
		silent, since := p.silent, p.silentSince
		p.mu.Unlock()
		if silent {
			if time.Since(since) >= 3*beatInterval {
				p.world.store.remove("servers", p.id)
				return
			}
		} else if !p.world.store.isAway() {
			p.world.store.put("servers", p.id, p.row())
		}
		p.world.sleep(beatInterval)
	}
}

// crash resets all connections and closes the listener; the row expires.
func (p *replica) crash() {
	p.mu.Lock()
	p.stopped, p.silent, p.silentSince = true, true, time.Now()
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *replica) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	_ = p.server.Close()
}

func (p *replica) begin(id string) {
	p.world.line("replica %s runs %s", p.id, id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.runs[id]++
}

func (p *replica) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// ServeHTTP serves one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", min(running, p.slots), max(0, running-p.slots), p.slots))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Replica-Id", p.id)
		return
	}
	p.serve(p, w, r)
}

func seal(id string) string { return "seal." + id }
