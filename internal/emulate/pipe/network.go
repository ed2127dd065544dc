// Package pipe is a network in memory. Its connections block only on each other, so
// that programs that use it run in the virtual time of package testing/synctest.
package pipe

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
)

// Network connects dialers and listeners by address. Its zero value is empty and ready
// to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	conns     []net.Conn
}

// Listen returns a listener for an address, which is any text.
func (n *Network) Listen(address string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*Listener{}
	}
	l := &Listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It waits until the listener accepts the connection.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, trace.ConvertSystemError(syscall.ECONNREFUSED)
	}
	ours, theirs := net.Pipe()
	select {
	case l.accepted <- theirs:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, ours)
		return ours, nil
	case <-l.closed:
		return nil, trace.ConvertSystemError(syscall.ECONNREFUSED)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ResetAll closes all connections.
func (n *Network) ResetAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		// Closing a pipe does not fail.
		_ = c.Close()
	}
	n.conns = nil
}

// Listener is a listener of a Network, and its own address.
type Listener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and waiting calls of Dial return.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener itself.
func (l *Listener) Addr() net.Addr { return l }

// Network returns the name of the network.
func (l *Listener) Network() string { return "pipe" }

// String returns the address.
func (l *Listener) String() string { return l.address }
