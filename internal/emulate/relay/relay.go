// Package relay passes TCP connections on to another address until it is cut.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Relay is a listener whose connections go on to Target.
type Relay struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	open     map[net.Conn]bool
}

// Start listens on loopback and passes connections on to the target.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", trace.ConvertSystemError(err))
	}
	r := &Relay{target: target, listener: listener, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut closes all connections and lets none through until Mend.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.open {
		c.Close()
	}
}

// Mend lets connections through again.
func (r *Relay) Mend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Close ends the relay.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut()
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
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			// Either end closing ends the pair.
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}
