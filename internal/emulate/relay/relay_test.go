package relay_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"snipeford/internal/emulate/relay"
)

// startRelay returns a relay to a target that runs serve on each connection.
func startRelay(t *testing.T, serve func(net.Conn)) *relay.Relay {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	r, err := relay.Start(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *relay.Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestEndOfTarget guards against a response without a length that looks complete
// although its sender has reset the connection.
func TestEndOfTarget(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			r := startRelay(t, func(c net.Conn) {
				_, _ = c.Read(make([]byte, 1))
				_, _ = c.Write([]byte("a"))
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			c := dial(t, r)
			if _, err := c.Write([]byte("q")); err != nil {
				t.Fatal(err)
			}
			_, err := io.ReadAll(c)
			if got := errors.Is(err, syscall.ECONNRESET); got != reset {
				t.Errorf("got error %v, want a reset: %v", err, reset)
			}
		})
	}
}

func TestRefuse(t *testing.T) {
	r := startRelay(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
	c := dial(t, r)
	if _, err := c.Write([]byte("q")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.Refuse()
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got error %v on an open connection, want a reset", err)
	}
	if _, err := net.Dial("tcp4", r.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got error %v on a new connection, want refused", err)
	}
	if err := r.Listen(); err != nil {
		t.Fatal(err)
	}
	dial(t, r)
}
