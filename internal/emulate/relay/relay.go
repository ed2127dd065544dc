// Package relay passes TCP connections on to another address until it is cut,
// slowed down or silenced.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford/internal/control/timer"
)

// Direction is a direction through a relay.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Relay is a listener whose connections go on to Target.
type Relay struct {
	target   string
	clock    timer.Clock
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
	// silent directions hold all bytes back; delay is by how much the others
	// are late. Changed is closed, and replaced, when one of these changes.
	silent  map[Direction]bool
	delay   time.Duration
	changed chan struct{}
}

// Start listens on loopback and passes connections on to the target.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", trace.ConvertSystemError(err))
	}
	r := &Relay{target: target, listener: listener, open: map[net.Conn]bool{}, silent: map[Direction]bool{}, changed: make(chan struct{})}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Disconnect closes all connections and lets none through until Mend.
func (r *Relay) Disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.open {
		c.Close()
	}
}

// Reset closes all connections; new ones pass.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without lingering, the close is a reset.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Stall holds back all bytes of the ways until Mend; connections stay open.
func (r *Relay) Stall(ways ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range ways {
		r.silent[w] = true
	}
}

// Delay makes all bytes late until Mend.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Restore lets everything through again, what was held back included.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.delay = false, 0
	clear(r.silent)
	close(r.changed)
	r.changed = make(chan struct{})
}

// hindered waits as long as a way is silent, and for the delay.
func (r *Relay) hindered(w Direction) {
	for {
		r.mu.Lock()
		silent, delay, changed := r.silent[w], r.delay, r.changed
		r.mu.Unlock()
		if !silent {
			r.clock.Sleep(context.Background(), delay)
			return
		}
		<-changed
	}
}

// copy passes bytes on until one end closes.
func (r *Relay) copy(to, from net.Conn, w Direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.hindered(w)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.listener.Close()
	r.Restore()
	r.Disconnect()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// hold notes an open connection, or returns false where the relay is cut.
func (r *Relay) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	r.open[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *Relay) pass(from net.Conn) {
	defer r.drop(from)
	if !r.hold(from) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(to)
	if !r.hold(to) {
		return
	}
	done := make(chan struct{}, 2)
	// Either end closing ends the pair.
	go func() { r.copy(to, from, ToTarget); done <- struct{}{} }()
	go func() { r.copy(from, to, FromTarget); done <- struct{}{} }()
	<-done
}
