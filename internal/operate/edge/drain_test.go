package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/pipe"
	"snipeford/internal/operate/decision"
	"snipeford/internal/operate/settings"
	"snipeford/internal/request/relay"
)

// startCallers returns a node that serves callers with handler, and a connection to it.
func startCallers(t *testing.T, handler http.HandlerFunc, wrap func(net.Listener) net.Listener) (*Node, net.Conn) {
	t.Helper()
	network, clock := &pipe.Network{}, &timer.Clock{}
	n := &Node{settings: settings.Edge{StopGrace: 8 * time.Second}, timer: clock, log: decision.New("n", log.InfoLevel, clock), relay: &relay.Server{Timer: clock}}
	group, ctx := errgroup.WithContext(t.Context())
	n.serveCallers(ctx, group, wrap(network.Listen("callers")), handler)
	c, err := network.Dial(ctx, "callers")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = n.callers.Close()
	})
	return n, c
}

func asIs(l net.Listener) net.Listener { return l }

func sendText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("got %v while a request was sent, want an open connection", err)
	}
}

// readResponse reads a response from a caller's connection.
func readResponse(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestRequestArrivesWhileNodeStops guards against requests that have begun to arrive
// when the drain ends, and that were cut off without a response.
func TestRequestArrivesWhileNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := startCallers(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		}, asIs)
		stopped := make(chan struct{})
		go func() {
			n.drain(context.Background())
			_ = n.callers.Close()
			close(stopped)
		}()
		time.Sleep(loadBalancerDelay - 10*time.Millisecond)
		sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(100 * time.Millisecond)
		sendText(t, c, "\r\n")
		if got, err := readResponse(c); got != "done" || err != nil {
			t.Errorf("got %q %v, want the whole response", got, err)
		}
		<-stopped
	})
}

// arrivalListener calls arrived when data has been read from a connection, before the
// reader gets it.
type arrivalListener struct {
	net.Listener
	arrived func()
}

func (l *arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &arrivalConn{c, l.arrived}, err
}

type arrivalConn struct {
	net.Conn
	arrived func()
}

func (c *arrivalConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.arrived()
	}
	return n, err
}

// TestIdleConnectionGetsRequest guards against a request that arrives on a kept
// connection in the instant in which a stopping node closes it, and that runs without
// a response.
func TestIdleConnectionGetsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs, requests := 0, 0
		var n *Node
		wrap := func(l net.Listener) net.Listener {
			return &arrivalListener{l, func() {
				requests++
				if requests == 2 {
					n.callerConns.closeIdle()
				}
			}}
		}
		var c net.Conn
		n, c = startCallers(t, func(w http.ResponseWriter, _ *http.Request) {
			runs++
			_, _ = io.WriteString(w, "done")
		}, wrap)
		for i := range 2 {
			sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			got, err := readResponse(c)
			synctest.Wait()
			if i == 0 && (got != "done" || err != nil) {
				t.Fatalf("got %q %v, want the first response", got, err)
			}
			if err != nil && runs > i {
				t.Errorf("got %v after the request has run, want its response or no run", err)
			}
		}
	})
}
