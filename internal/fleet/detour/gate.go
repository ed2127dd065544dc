package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
)

// Upstreams opens connections from the gate's own node.
type Upstreams interface {
	// Lend opens a direct connection to an upstream.
	Lend(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// ConfirmsRefusal reports whether a refused connection shows that the upstream has
	// ended.
	ConfirmsRefusal(ctx context.Context, address string) bool
	// CutOff reports whether the node has lost its own links.
	CutOff() bool
}

// Pauses keeps the pauses that upstreams have asked of a node.
type Pauses interface {
	// KeepPause records that an upstream wants no requests from the node for d.
	KeepPause(id snipeford.UpstreamID, d time.Duration)
	// Paused reports whether an upstream wants no requests from the node.
	Paused(id snipeford.UpstreamID) bool
}

const (
	// maxOpen is the number of connections that a gate carries at most, and
	// maxOpenPerNode those for one node. A connection takes three buffers of
	// maxFrameBytes.
	maxOpen        = 256
	maxOpenPerNode = 128
	// endTimeout is how long the node that asked may take to close the connection after
	// the upstream has ended its response.
	endTimeout = 5 * time.Second
)

// Gate connects other nodes to upstreams.
type Gate struct {
	Timer     *timer.Clock
	View      func() *directory.View
	Upstreams Upstreams
	// OnOpen, if not nil, is called for each connection that the gate carries.
	OnOpen func()
	// Pauses holds the pauses that upstreams have asked of the gate's node, and RetryAfter
	// returns the one that the head of a response asks for, or 0. An upstream sees the
	// gate's node as the one that sends. If one is nil, no pauses are kept.
	Pauses     Pauses
	RetryAfter func(status int, h http.Header) time.Duration

	leaving atomic.Bool
	mu      sync.Mutex
	open    map[snipeford.NodeID]int
	total   int
}

// Leave makes the gate open no more connections.
func (g *Gate) Leave() { g.leaving.Store(true) }

// Active returns the number of connections that the gate carries.
func (g *Gate) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// Serve serves the connection of a node that has sent a request, until it is closed.
func (g *Gate) Serve(ctx context.Context, peer net.Conn, request Request) {
	if !g.enter(request.Node) {
		g.respond(peer, replyBusy)
		return
	}
	defer g.exit(request.Node)
	upstream, r := g.connect(ctx, request)
	if !g.respond(peer, r) || upstream == nil {
		if upstream != nil {
			_ = upstream.Close()
		}
		return
	}
	if g.OnOpen != nil {
		g.OnOpen()
	}
	g.carry(peer, upstream, request.Upstream)
}

// enter counts a connection, unless the gate carries enough.
func (g *Gate) enter(node snipeford.NodeID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving.Load() || g.total >= maxOpen || g.open[node] >= maxOpenPerNode {
		return false
	}
	if g.open == nil {
		g.open = map[snipeford.NodeID]int{}
	}
	g.open[node]++
	g.total++
	return true
}

func (g *Gate) exit(node snipeford.NodeID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	if g.open[node]--; g.open[node] == 0 {
		delete(g.open, node)
	}
}

// connect connects to the upstream of a request.
func (g *Gate) connect(ctx context.Context, request Request) (net.Conn, reply) {
	v := g.View()
	address, known := addressOf(v, request.Upstream)
	if _, ok := v.Peers[request.Node]; !ok || !known {
		return nil, replyUnknown
	}
	if g.Pauses != nil && g.Pauses.Paused(request.Upstream) {
		return nil, replyBusy
	}
	// The links of a node that is cut off may be back. If they are not, its failure tells
	// nothing about the upstream.
	upstream, err := g.Upstreams.Lend(ctx, address, gateDialTimeout)
	switch {
	case err == nil:
		return upstream, replyOpen
	case g.Upstreams.CutOff():
		return nil, replyBusy
	case !errors.Is(err, syscall.ECONNREFUSED):
		return nil, replyUnreachable
	case g.Upstreams.ConfirmsRefusal(ctx, address):
		return nil, replyRefused
	}
	return nil, replyBusy
}

func addressOf(v *directory.View, id snipeford.UpstreamID) (string, bool) {
	for _, list := range v.Usable {
		for _, u := range list {
			if u.ID == id {
				return u.Address, true
			}
		}
	}
	return "", false
}

func (g *Gate) respond(peer net.Conn, r reply) bool {
	if err := peer.SetWriteDeadline(g.Timer.Deadline(replyTimeout)); err != nil {
		return false
	}
	if _, err := peer.Write([]byte{byte(r)}); err != nil {
		return false
	}
	return peer.SetWriteDeadline(time.Time{}) == nil
}

// carry copies bytes in both directions until both connections are closed.
func (g *Gate) carry(peer, upstream net.Conn, id snipeford.UpstreamID) {
	var group sync.WaitGroup
	group.Go(func() {
		err := copyBytes(upstream, peer)
		// A node never closes one direction only, so nobody awaits the response.
		if err == nil {
			_ = upstream.Close()
			return
		}
		reset(upstream)
	})
	frames := &frameWriter{to: peer}
	err := copyBytes(frames, io.TeeReader(upstream, &headWatch{onHead: func(status int, h http.Header) { g.keepPause(id, status, h) }}))
	if err == nil {
		err = frames.end()
	}
	if err == nil {
		err = peer.SetReadDeadline(g.Timer.Deadline(endTimeout))
	}
	if err != nil {
		reset(peer)
	}
	group.Wait()
	_ = peer.Close()
	_ = upstream.Close()
}

// keepPause keeps the pause that the head of a response asks for.
func (g *Gate) keepPause(id snipeford.UpstreamID, status int, h http.Header) {
	if g.Pauses == nil || g.RetryAfter == nil {
		return
	}
	if d := g.RetryAfter(status, h); d > 0 {
		g.Pauses.KeepPause(id, d)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	switch c := c.(type) {
	case interface{ Abort() }:
		c.Abort()
		return
	case interface{ SetLinger(sec int) error }:
		// With a linger time of zero, Close sends a reset.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// copyBytes copies until the end of from, for which it returns nil, or an error. It uses
// a buffer of its own, since splicing sockets takes two more descriptors each.
func copyBytes(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, maxFrameBytes-frameHeaderBytes))
	return err
}
