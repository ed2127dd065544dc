package detour

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/home"
)

// Client opens connections to upstreams through other nodes. It implements
// snipeford.Detours.
type Client struct {
	Self  directory.Peer
	Timer *timer.Clock
	View  func() *directory.View
	// Dial connects to the address of a peer.
	Dial func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

	mu sync.Mutex
	// order holds the nodes that may be asked, as of the view orderView.
	order     []directory.Peer
	orderView *directory.View
	avoided   map[snipeford.NodeID]snipeford.Instant
}

// asked is the result of asking one node.
type asked struct {
	conn net.Conn
	node snipeford.NodeID
	err  error
}

// Open asks nodes for a connection to the upstream with an address, one after the other
// and the next one beside one that takes long. The first connection that is open is used.
func (c *Client) Open(ctx context.Context, address string) (net.Conn, snipeford.NodeID, error) {
	v := c.View()
	upstream, ok := upstreamAt(v, address)
	if !ok {
		return nil, "", fmt.Errorf("%w: %w", snipeford.ErrNoDetour, errNoUpstream)
	}
	peers := c.candidates(v)
	if len(peers) == 0 {
		return nil, "", snipeford.ErrNoDetour
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan asked, len(peers))
	var failures []error
	started, ended, unreached := 0, 0, 0
	for {
		if started < len(peers) {
			go func(p directory.Peer) {
				conn, err := c.ask(ctx, p, upstream)
				results <- asked{conn, p.Node, err}
			}(peers[started])
			started++
		}
		r, ok := c.next(ctx, results, started < len(peers))
		if !ok {
			continue
		}
		ended++
		if errors.Is(r.err, snipeford.ErrUpstreamUnreachable) {
			unreached++
		}
		switch {
		case r.err == nil:
			go closeRest(results, started-ended)
			return r.conn, r.node, nil
		case errors.Is(r.err, snipeford.ErrUpstreamRefuses), unreached == minUnreached, ended == len(peers), ctx.Err() != nil:
			go closeRest(results, started-ended)
			return nil, "", summary(append(failures, r.err))
		}
		failures = append(failures, r.err)
	}
}

// minUnreached is the number of nodes that do not reach an upstream, after which no more
// are asked.
const minUnreached = 2

// Reaches asks one node for a connection to the upstream with an address, and closes it.
func (c *Client) Reaches(ctx context.Context, node snipeford.NodeID, address string) error {
	v := c.View()
	upstream, known := upstreamAt(v, address)
	p, found := v.Peers[node]
	if !known || !found {
		return fmt.Errorf("%w: %s to %s", snipeford.ErrNoDetour, node, address)
	}
	conn, err := c.ask(ctx, p, upstream)
	if err != nil {
		return err
	}
	// No data was sent, so an error of Close does not matter.
	_ = conn.Close()
	return nil
}

// next waits for the next result, at most for staggerDelay if another node can be asked.
func (c *Client) next(ctx context.Context, results <-chan asked, more bool) (asked, bool) {
	if !more {
		return <-results, true
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	due := make(chan struct{})
	go func() {
		c.Timer.Sleep(waiting, staggerDelay)
		close(due)
	}()
	select {
	case r := <-results:
		return r, true
	case <-due:
		return asked{}, false
	}
}

func closeRest(results <-chan asked, count int) {
	for range count {
		if r := <-results; r.err == nil {
			_ = r.conn.Close()
		}
	}
}

// summary returns the error that tells most about the upstream.
func summary(failures []error) error {
	for _, kind := range []error{snipeford.ErrUpstreamRefuses, snipeford.ErrUpstreamUnreachable} {
		if slices.ContainsFunc(failures, func(err error) bool { return errors.Is(err, kind) }) {
			return kind
		}
	}
	return fmt.Errorf("%w: %w", snipeford.ErrNoDetour, errors.Join(failures...))
}

func upstreamAt(v *directory.View, address string) (snipeford.UpstreamID, bool) {
	for _, list := range v.Usable {
		for _, u := range list {
			if u.Address == address {
				return u.ID, true
			}
		}
	}
	return "", false
}

// ask asks one node for a connection to an upstream.
func (c *Client) ask(ctx context.Context, p directory.Peer, upstream snipeford.UpstreamID) (net.Conn, error) {
	conn, err := c.Dial(ctx, p.Address, peerDialTimeout)
	if err != nil {
		return nil, c.failed(ctx, p, fmt.Errorf("%w: connect to %s: %w", snipeford.ErrNoDetour, p.Node, err))
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	r, err := c.exchange(conn, Request{Node: c.Self.Node, Upstream: upstream})
	if err == nil {
		err = r.err()
	}
	if !stop() || err != nil {
		_ = conn.Close()
		return nil, c.failed(ctx, p, fmt.Errorf("%s: %w", p.Node, errors.Join(err, ctx.Err())))
	}
	c.avoid(p.Node, 0)
	return &framedConn{Conn: conn, reader: bufio.NewReaderSize(conn, maxFrameBytes)}, nil
}

// failed notes that a node could not help, unless the connection was no longer needed or
// the fault is the upstream's.
func (c *Client) failed(ctx context.Context, p directory.Peer, err error) error {
	if ctx.Err() == nil && !errors.Is(err, snipeford.ErrUpstreamRefuses) {
		c.avoid(p.Node, c.Timer.Now().Add(avoidTime))
	}
	return err
}

// exchange sends a request to a gate and reads its reply.
func (c *Client) exchange(conn net.Conn, request Request) (reply, error) {
	if err := conn.SetDeadline(c.Timer.Deadline(replyTimeout)); err != nil {
		return 0, fmt.Errorf("%w: set deadline: %w", snipeford.ErrNoDetour, trace.Wrap(err))
	}
	line, err := json.Marshal(struct{ Detour Request }{request})
	if err != nil {
		return 0, fmt.Errorf("encode request for detour: %w", trace.Wrap(err))
	}
	if _, err := conn.Write(append(line, '\n')); err != nil {
		return 0, fmt.Errorf("%w: send request: %w", snipeford.ErrNoDetour, trace.ConvertSystemError(err))
	}
	var r [1]byte
	if _, err := conn.Read(r[:]); err != nil {
		return 0, fmt.Errorf("%w: read reply: %w", snipeford.ErrNoDetour, trace.ConvertSystemError(err))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return 0, fmt.Errorf("%w: clear deadline: %w", snipeford.ErrNoDetour, trace.Wrap(err))
	}
	return reply(r[0]), nil
}

// avoid asks a node after all others until an instant.
func (c *Client) avoid(node snipeford.NodeID, until snipeford.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoided == nil {
		c.avoided = map[snipeford.NodeID]snipeford.Instant{}
	}
	c.avoided[node] = until
}

// candidates returns the nodes to ask, in this order. Nodes that could not help lately
// come last.
func (c *Client) candidates(v *directory.View) []directory.Peer {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orderView != v {
		c.order, c.orderView = c.rank(v), v
	}
	var out, late []directory.Peer
	for _, p := range c.order {
		if c.avoided[p.Node] > now {
			late = append(late, p)
			continue
		}
		out = append(out, p)
	}
	out = append(out, late...)
	return out[:min(len(out), maxAsked)]
}

// rank orders the nodes that offer detours: those of the own failure domain first, since
// bytes between failure domains are expensive, and each by a hash of both nodes, which
// spreads the detours of several nodes.
func (c *Client) rank(v *directory.View) []directory.Peer {
	var own, others []home.Candidate
	for id, p := range v.Peers {
		switch {
		case id == c.Self.Node || !p.OffersDetours:
		case p.Domain == c.Self.Domain:
			own = append(own, home.Candidate{Node: id, Weight: p.ProcessorShare})
		default:
			others = append(others, home.Candidate{Node: id, Weight: p.ProcessorShare})
		}
	}
	key := snipeford.ServiceName("detours of " + c.Self.Node)
	ranked := home.Spread(key, own)
	ranked = append(ranked[:min(len(ranked), maxOwnDomain)], home.Spread(key, others)...)
	out := make([]directory.Peer, 0, maxRanked)
	for _, id := range ranked[:min(len(ranked), maxRanked)] {
		out = append(out, v.Peers[id])
	}
	return out
}

// maxRanked is the number of nodes among which those to ask are chosen.
const maxRanked = 8
