package detour_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/detour"
)

// upstreams is a stub of the connections of a gate's node.
type upstreams struct {
	cutOff, confirms bool
	err              error
}

func (u *upstreams) Lend(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
	if u.err != nil {
		return nil, u.err
	}
	return net.Dial("tcp4", address)
}

func (u *upstreams) ConfirmsRefusal(context.Context, string) bool { return u.confirms }

func (u *upstreams) CutOff() bool { return u.cutOff }

// listen serves each connection to a loopback address with serve.
func listen(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// serveGate serves a connection of another node as package grant does.
func serveGate(g *detour.Gate) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		line, err := bufio.NewReader(c).ReadBytes('\n')
		var first struct{ Detour detour.Request }
		if err != nil || json.Unmarshal(line, &first) != nil {
			return
		}
		g.Serve(context.Background(), c, first.Detour)
	}
}

func dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp4", address)
}

// newClient returns a client of node "n" that knows an upstream and the peers.
func newClient(upstream string, peers ...directory.Peer) *detour.Client {
	v := &directory.View{
		Usable: map[snipeford.ServiceName][]directory.Upstream{"s": {{Upstream: snipeford.Upstream{ID: "i", Address: upstream}}}},
		Peers:  map[snipeford.NodeID]directory.Peer{},
	}
	for _, p := range peers {
		v.Peers[p.Node] = p
	}
	return &detour.Client{Self: directory.Peer{Node: "n", Domain: "a"}, Timer: &timer.Clock{}, View: func() *directory.View { return v }, Dial: dial}
}

// newGate returns a gate that knows node "n" and the upstream.
func newGate(upstream string, u *upstreams) *detour.Gate {
	v := newClient(upstream, directory.Peer{Node: "n"}).View()
	return &detour.Gate{Timer: &timer.Clock{}, View: func() *directory.View { return v }, Upstreams: u}
}

func peerAt(node snipeford.NodeID, address string) directory.Peer {
	return directory.Peer{Node: node, Domain: "a", Address: address, OffersDetours: true}
}

// respondAndClose reads a line and writes a response that ends with the connection.
func respondAndClose(c net.Conn) {
	_, _ = bufio.NewReader(c).ReadBytes('\n')
	_, _ = io.WriteString(c, "response")
	_ = c.Close()
}

// exchange sends a line through a detour and reads to its end.
func exchange(t *testing.T, c net.Conn) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, "request\n"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

func TestDetour(t *testing.T) {
	upstream := listen(t, respondAndClose)
	g := newGate(upstream, &upstreams{})
	c, node, err := newClient(upstream, peerAt("p", listen(t, serveGate(g)))).Open(t.Context(), upstream)
	if err != nil || node != "p" {
		t.Fatalf("got node %q, %v, want a connection through p", node, err)
	}
	if got, err := exchange(t, c); got != "response" || err != nil {
		t.Errorf("got %q, %v, want the whole response", got, err)
	}
	_ = c.Close()
	for range 100 {
		if g.Active() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %d connections at the gate, want none after the client's close", g.Active())
}

// TestEndOfGateIsNoEndOfResponse guards against responses without a length that look
// complete because the node that carries them has ended.
func TestEndOfGateIsNoEndOfResponse(t *testing.T) {
	upstream := listen(t, func(c net.Conn) {
		_, _ = bufio.NewReader(c).ReadBytes('\n')
		_, _ = io.WriteString(c, "resp")
		time.Sleep(time.Second)
		_ = c.Close()
	})
	g := newGate(upstream, &upstreams{})
	gate := listen(t, func(c net.Conn) {
		// The kernel closes the connections of a process that ends without a reset.
		time.AfterFunc(200*time.Millisecond, func() { _ = c.(*net.TCPConn).CloseWrite() })
		serveGate(g)(c)
	})
	c, _, err := newClient(upstream, peerAt("p", gate)).Open(t.Context(), upstream)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := exchange(t, c); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, %v, want %v", got, err, io.ErrUnexpectedEOF)
	}
}

func TestResetOfUpstreamIsPassedOn(t *testing.T) {
	upstream := listen(t, func(c net.Conn) {
		_, _ = bufio.NewReader(c).ReadBytes('\n')
		_, _ = io.WriteString(c, "resp")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	c, _, err := newClient(upstream, peerAt("p", listen(t, serveGate(newGate(upstream, &upstreams{}))))).Open(t.Context(), upstream)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := exchange(t, c); err == nil {
		t.Errorf("got %q as a whole response, want an error", got)
	}
}

func TestGateRefuses(t *testing.T) {
	upstream := listen(t, respondAndClose)
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, tt := range []struct {
		name string
		u    *upstreams
		gate func(g *detour.Gate)
		want error
	}{
		{"upstream that has ended", &upstreams{err: refused, confirms: true}, nil, snipeford.ErrUpstreamRefuses},
		{"refused by a link that may be cut", &upstreams{err: refused}, nil, snipeford.ErrNoDetour},
		{"upstream that does not respond", &upstreams{err: context.DeadlineExceeded}, nil, snipeford.ErrUpstreamUnreachable},
		{"node that is cut off as well", &upstreams{cutOff: true, err: refused, confirms: true}, nil, snipeford.ErrNoDetour},
		{"node that is leaving", &upstreams{}, (*detour.Gate).Leave, snipeford.ErrNoDetour},
		{"unknown upstream", &upstreams{}, func(g *detour.Gate) {
			g.View = func() *directory.View { return &directory.View{Peers: map[snipeford.NodeID]directory.Peer{"n": {}}} }
		}, snipeford.ErrNoDetour},
		{"unknown node", &upstreams{}, func(g *detour.Gate) {
			known := g.View()
			g.View = func() *directory.View { return &directory.View{Usable: known.Usable} }
		}, snipeford.ErrNoDetour},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate(upstream, tt.u)
			if tt.gate != nil {
				tt.gate(g)
			}
			c, _, err := newClient(upstream, peerAt("p", listen(t, serveGate(g)))).Open(t.Context(), upstream)
			if !errors.Is(err, tt.want) || c != nil {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// pauses is a stub of the pauses that were asked of a gate's node.
type pauses struct {
	mu   sync.Mutex
	kept time.Duration
}

func (p *pauses) KeepPause(_ snipeford.UpstreamID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept = d
}

func (p *pauses) left() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept
}

func (p *pauses) Paused(snipeford.UpstreamID) bool { return p.left() > 0 }

// TestPauseThroughGate guards against requests that several nodes send through one that an
// upstream has asked for a pause.
func TestPauseThroughGate(t *testing.T) {
	const asks = "HTTP/1.1 503 Unavailable\r\nRetry-After: 2\r\n\r\n"
	for name, tt := range map[string]struct {
		response string
		want     time.Duration
	}{
		"pause":                        {asks, 2 * time.Second},
		"pause after informational":    {"HTTP/1.1 103 Early\r\n\r\n" + asks, 2 * time.Second},
		"served":                       {"HTTP/1.1 200 OK\r\nRetry-After: 2\r\n\r\n", 0},
		"unavailable without a pause":  {"HTTP/1.1 503 Unavailable\r\n\r\n", 0},
		"head in a body":               {"HTTP/1.1 200 OK\r\n\r\n" + asks, 0},
		"no response":                  {"unreadable\r\n\r\n" + asks, 0},
		"head beyond the watched size": {"HTTP/1.1 503 X\r\nA: " + strings.Repeat("a", 9000) + "\r\nRetry-After: 2\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := listen(t, func(c net.Conn) {
				_, _ = bufio.NewReader(c).ReadBytes('\n')
				_, _ = io.WriteString(c, tt.response)
				_ = c.Close()
			})
			g := newGate(upstream, &upstreams{})
			kept := &pauses{}
			g.Pauses, g.RetryAfter = kept, func(status int, h http.Header) time.Duration {
				if status != http.StatusServiceUnavailable || h.Get("Retry-After") != "2" {
					return 0
				}
				return 2 * time.Second
			}
			client := newClient(upstream, peerAt("p", listen(t, serveGate(g))))
			c, _, err := client.Open(t.Context(), upstream)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := exchange(t, c); err != nil || got != tt.response {
				t.Errorf("got %q, %v, want the response", got, err)
			}
			_ = c.Close()
			if got := kept.left(); got != tt.want {
				t.Errorf("got a pause of %v, want %v", got, tt.want)
			}
			c, _, err = client.Open(t.Context(), upstream)
			if got, want := err == nil, tt.want == 0; got != want {
				t.Errorf("got opened %t (%v), want %t", got, err, want)
			}
			if err == nil {
				_ = c.Close()
			}
		})
	}
}

// TestNodeWhoseLinksAreBack guards against requests that are refused although the links of
// a node that was cut off are back, before its probes have found that out.
func TestNodeWhoseLinksAreBack(t *testing.T) {
	upstream := listen(t, respondAndClose)
	g := newGate(upstream, &upstreams{cutOff: true})
	c, _, err := newClient(upstream, peerAt("p", listen(t, serveGate(g)))).Open(t.Context(), upstream)
	if err != nil {
		t.Fatalf("got %v, want a connection", err)
	}
	_ = c.Close()
}

func TestAsksOtherNodes(t *testing.T) {
	upstream := listen(t, respondAndClose)
	good := peerAt("good", listen(t, serveGate(newGate(upstream, &upstreams{}))))
	good.Domain = "b"
	silent := peerAt("silent", listen(t, func(net.Conn) { select {} }))
	cut := peerAt("cut", listen(t, serveGate(newGate(upstream, &upstreams{cutOff: true, err: context.DeadlineExceeded}))))
	earlier := directory.Peer{Node: "earlier", Domain: "a", Address: listen(t, func(c net.Conn) {
		t.Error("got a request at a node of an earlier version, want none")
		_ = c.Close()
	})}
	client := newClient(upstream, good, silent, cut, earlier)
	for range 2 {
		started := time.Now()
		c, node, err := client.Open(t.Context(), upstream)
		if err != nil || node != "good" {
			t.Fatalf("got %q, %v, want a connection through the node of another failure domain", node, err)
		}
		if took := time.Since(started); took > 400*time.Millisecond {
			t.Errorf("got a connection after %v, want it soon", took)
		}
		_ = c.Close()
	}
}

func TestNoNodeOffersDetours(t *testing.T) {
	if _, _, err := newClient("127.0.0.1:1").Open(t.Context(), "127.0.0.1:1"); !errors.Is(err, snipeford.ErrNoDetour) {
		t.Errorf("got %v, want %v", err, snipeford.ErrNoDetour)
	}
	_, _, err := newClient("127.0.0.1:1", peerAt("p", "127.0.0.1:2")).Open(t.Context(), "127.0.0.1:9")
	if !errors.Is(err, snipeford.ErrNoDetour) || !strings.Contains(err.Error(), "no upstream") {
		t.Errorf("got %v, want an unknown upstream", err)
	}
}

// TestChecksNodeThatCarriesDetour guards against streams that are moved because another
// node than the one that carries them would now be asked first.
func TestChecksNodeThatCarriesDetour(t *testing.T) {
	upstream := listen(t, respondAndClose)
	near := peerAt("near", listen(t, serveGate(newGate(upstream, &upstreams{}))))
	far := peerAt("far", listen(t, serveGate(newGate(upstream, &upstreams{}))))
	far.Domain = "b"
	cut := peerAt("cut", listen(t, serveGate(newGate(upstream, &upstreams{cutOff: true, err: context.DeadlineExceeded}))))
	client := newClient(upstream, near, far, cut)
	for _, node := range []snipeford.NodeID{"near", "far"} {
		if err := client.Reaches(t.Context(), node, upstream); err != nil {
			t.Errorf("%s: got %v, want it to reach the upstream", node, err)
		}
	}
	for _, node := range []snipeford.NodeID{"cut", "unknown"} {
		if err := client.Reaches(t.Context(), node, upstream); !errors.Is(err, snipeford.ErrNoDetour) {
			t.Errorf("%s: got %v, want %v", node, err, snipeford.ErrNoDetour)
		}
	}
}
