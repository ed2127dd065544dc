package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"snipeford/internal/control/directory"
	"snipeford/internal/fleet/detour"
	"snipeford/internal/upstream/connection"
)

// initDetours connects the pool of connections to upstreams with the other nodes: those
// that this node may ask for detours, and those that ask it.
func (n *Node) initDetours() {
	n.pool.OnOpen = func(string) { n.counts.ConnectionOpened() }
	n.pool.OnCutOff = n.cutOffChanged
	n.pool.Known = func() []string { return addresses(n.follower.current()) }
	n.pool.Detours = &detour.Client{Self: n.self, Timer: n.timer, View: n.follower.current, Dial: connection.Dial}
	n.gate.Timer, n.gate.View, n.gate.Upstreams, n.gate.OnOpen = n.timer, n.follower.current, n.pool, n.counts.DetourCarried
	n.peerServer.Detour = n.serveDetour
}

// initPauses makes the gate keep the pauses that upstreams ask of this node in responses to
// other nodes, and those that they ask for in its own.
func (n *Node) initPauses() {
	n.gate.Pauses = n.relay
	n.gate.RetryAfter = func(status int, h http.Header) time.Duration {
		return n.platform.HeaderCodec.DecodeResponse(status, h).Directives.RetryAfter
	}
}

// serveDetour serves a connection that is to lead to an upstream. Without DetectDead, an
// engine would go on working for a node that is gone.
func (n *Node) serveDetour(ctx context.Context, c net.Conn, r detour.Request) {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := connection.DetectDead(tcp); err != nil {
			n.log.Warn("cannot detect whether a node is gone", err, "Peer", r.Node)
		}
	}
	n.gate.Serve(ctx, c, r)
}

// cutOffChanged logs that the node has lost its links to upstreams, or has them back.
func (n *Node) cutOffChanged(cutOff bool, lost int) {
	n.counts.CutOffChanged(cutOff)
	if cutOff {
		n.log.Info("links to upstreams are lost", "Lost", lost, "Known", len(addresses(n.follower.current())))
		return
	}
	n.log.Info("links to upstreams are back", "Lost", lost)
}

// retainLinks makes the pool forget the upstreams that a view does not contain.
func (n *Node) retainLinks(v *directory.View) {
	known := map[string]bool{}
	for _, address := range addresses(v) {
		known[address] = true
	}
	n.pool.Retain(func(address string) bool { return known[address] })
}

// addresses returns the addresses of all usable upstreams, in a random order.
func addresses(v *directory.View) []string {
	var out []string
	for _, list := range v.Usable {
		for _, u := range list {
			out = append(out, u.Address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
