package grant_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
)

// memoryNetwork connects the nodes of a test without the operating system, so that
// the test runs in virtual time.
type memoryNetwork struct {
	listeners map[string]*memoryListener
	mu        sync.Mutex
	conns     []net.Conn
}

// resetAll closes all connections.
func (n *memoryNetwork) resetAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

var errRefused = errors.New("connection refused")

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

func (n *memoryNetwork) listen(address string) net.Listener {
	l := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	l := n.listeners[address]
	if l == nil {
		return nil, errRefused
	}
	ours, theirs := net.Pipe()
	select {
	case l.accepted <- theirs:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, ours)
		return ours, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener is a listener of a memoryNetwork, and its own address.
type memoryListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l }

func (l *memoryListener) Network() string { return "memory" }

func (l *memoryListener) String() string { return l.address }

func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
