// Package relay is a TCP proxy that can disconnect, delay or stall its connections.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford/internal/control/timer"
)

// Direction is the direction of data through a relay.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Relay forwards the connections to its listener to a target.
type Relay struct {
	target       string
	address      string
	clock        timer.Clock
	mu           sync.Mutex
	listener     net.Listener
	disconnected bool
	connections  map[net.Conn]bool
	// stalled holds the directions whose data is held back; delay applies to the
	// others. Restore closes and replaces restored.
	stalled  map[Direction]bool
	delay    time.Duration
	restored chan struct{}
	// blocked replaces the listener after BlockNew.
	blocked *blockedListener
}

// Start listens on a loopback port and forwards connections to the target.
func Start(target string) (*Relay, error) { return StartAt("127.0.0.1:0", target) }

// StartAt listens at an address and forwards connections to the target.
func StartAt(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", trace.ConvertSystemError(err))
	}
	r := &Relay{
		target: target, address: listener.Addr().String(), listener: listener,
		connections: map[net.Conn]bool{}, stalled: map[Direction]bool{}, restored: make(chan struct{}),
	}
	go r.accept(listener)
	return r, nil
}

// Address returns the address of the listener.
func (r *Relay) Address() string { return r.address }

// Refuse resets all connections, and the operating system refuses new ones, until
// Listen.
func (r *Relay) Refuse() {
	r.mu.Lock()
	listener := r.listener
	r.mu.Unlock()
	listener.Close()
	r.Reset()
}

// RefuseNew makes the operating system refuse new connections until Listen. Open ones
// stay.
func (r *Relay) RefuseNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
}

// Listen ends the effect of Refuse, RefuseNew and BlockNew.
func (r *Relay) Listen() error {
	r.unblock()
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("listen again: %w", trace.ConvertSystemError(err))
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}

// Disconnect closes all connections, and new ones immediately, until Restore.
func (r *Relay) Disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
	for c := range r.connections {
		c.Close()
	}
}

// Reset resets all connections but does not reject new ones.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		resetOnClose(c)
		c.Close()
	}
}

// resetOnClose makes Close send a reset, which a linger time of zero does.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// SetLinger fails if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
}

// Stall holds back all data in the directions until Restore. Connections stay open.
func (r *Relay) Stall(directions ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.stalled[d] = true
	}
}

// Delay delays all data until Restore.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Restore ends the effects of Disconnect, Stall and Delay and forwards the data that
// was held back.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected, r.delay = false, 0
	clear(r.stalled)
	close(r.restored)
	r.restored = make(chan struct{})
}

// waitToForward waits while a direction is stalled, and then for the delay.
func (r *Relay) waitToForward(d Direction) {
	for {
		r.mu.Lock()
		stalled, delay, restored := r.stalled[d], r.delay, r.restored
		r.mu.Unlock()
		if !stalled {
			r.clock.Sleep(context.Background(), delay)
			return
		}
		<-restored
	}
}

// copy forwards data until one of the connections is closed. It reports whether a
// connection was reset.
func (r *Relay) copy(to, from net.Conn, d Direction) bool {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed)
		}
		r.waitToForward(d)
		if _, err := to.Write(buffer[:n]); err != nil {
			return !errors.Is(err, net.ErrClosed)
		}
	}
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	listener := r.listener
	r.mu.Unlock()
	listener.Close()
	r.unblock()
	r.Restore()
	r.Disconnect()
}

func (r *Relay) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// track records an open connection, or returns false if the relay is disconnected.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disconnected {
		return false
	}
	r.connections[c] = true
	return true
}

func (r *Relay) closeConnection(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

func (r *Relay) forward(from net.Conn) {
	defer r.closeConnection(from)
	if !r.track(from) {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.closeConnection(to)
	if !r.track(to) {
		return
	}
	reset := make(chan bool, 2)
	// When one connection is closed or reset, the other one is too.
	go func() { reset <- r.copy(to, from, ToTarget) }()
	go func() { reset <- r.copy(from, to, FromTarget) }()
	if <-reset {
		resetOnClose(to)
		resetOnClose(from)
	}
}
