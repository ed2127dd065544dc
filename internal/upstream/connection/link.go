package connection

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/policy/reach"
)

const (
	// watchInterval is how often the connections in use are checked for silence.
	watchInterval = 100 * time.Millisecond
	// silenceTime is how long all upstreams may be silent until the links are probed,
	// and, on a node that is cut off, until requests that may be sent again leave a
	// silent connection.
	silenceTime = 300 * time.Millisecond
	// silenceProbeInterval is the time between two such probes.
	silenceProbeInterval = 500 * time.Millisecond
	// lostResponseTime is how long, on a node that is cut off, a request that must not be
	// sent again waits on a silent connection. TCP delivers what a short cut held back.
	lostResponseTime = time.Second
	// probeTimeout limits a direct connection that is only a probe.
	probeTimeout = 200 * time.Millisecond
)

// link is one connection to an upstream, direct or through another node.
type link struct {
	net.Conn
	pool    *Pool
	address string
	// through is the node that the connection leads through, or empty if it is direct.
	through snipeford.NodeID
	// activeAt is when a request was sent or bytes arrived last.
	activeAt atomic.Int64
	lost     atomic.Bool

	// busy and repeatable are guarded by the pool's mutex.
	busy, repeatable bool
}

// links is what a pool knows of its links to upstreams.
type links struct {
	reach reach.State
	busy  map[*link]bool
	// contactAt is when bytes arrived last over a direct connection or one was opened,
	// and anyContactAt the same for all connections.
	contactAt, anyContactAt atomic.Int64
	probing                 sync.Mutex
	probedAt                snipeford.Instant
	// undecidedProbing and undecidedProbedAt do the same for undecided upstreams. Probes
	// of silent ones take longer, and go on for as long as a response is overdue.
	undecidedProbing  sync.Mutex
	undecidedProbedAt snipeford.Instant
	// waiting holds the requests whose wait ends when no upstream is reachable.
	waiting map[*waiter]bool
}

func (p *Pool) newLink(c net.Conn, address string, through snipeford.NodeID) *link {
	return &link{Conn: c, pool: p, address: address, through: through}
}

// Read reads from the connection and records the contact to the upstream.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if n > 0 {
		l.touched(l.pool.Timer.Now())
	}
	return n, err
}

func (l *link) touched(now snipeford.Instant) {
	l.activeAt.Store(int64(now))
	l.pool.links.anyContactAt.Store(int64(now))
	if l.through == "" {
		l.pool.links.contactAt.Store(int64(now))
	}
}

// SyscallConn gives access to the socket.
func (l *link) SyscallConn() (syscall.RawConn, error) {
	sockets, ok := l.Conn.(syscall.Conn)
	if !ok {
		return nil, trace.BadParameter("connection has no socket")
	}
	return sockets.SyscallConn()
}

// isLost reports whether the pool has closed the connection because its link is lost.
func (l *link) isLost() bool { return l.lost.Load() }

// begin records that a request is sent over a connection.
func (p *Pool) begin(l *link, repeatable bool) {
	l.activeAt.Store(int64(p.Timer.Now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	l.busy, l.repeatable = true, repeatable
	if p.links.busy == nil {
		p.links.busy = map[*link]bool{}
	}
	p.links.busy[l] = true
}

// end records that no response is awaited any more.
func (p *Pool) end(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.busy = false
	delete(p.links.busy, l)
}

// Lend returns a direct connection to an upstream for another node, which closes it. It
// counts as one of the node's own until then.
func (p *Pool) Lend(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	l, err := p.openDirect(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen(address)
	}
	p.begin(l, true)
	return &lent{l}, nil
}

// lent is a connection for another node.
type lent struct{ *link }

// Close closes the connection.
func (l *lent) Close() error {
	l.pool.end(l.link)
	return l.link.Close()
}

// Abort closes the connection with a reset.
func (l *lent) Abort() {
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		// With a linger time of zero, Close sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = l.Close()
}

// Watch probes links that are silent or lost, and ends requests on silent connections
// of a node that is cut off, until ctx ends.
func (p *Pool) Watch(ctx context.Context) error {
	ticks := p.Timer.Every(ctx, watchInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			p.probeSilence(ctx, now)
			p.probeUnreached(ctx, now)
			p.probeLost(ctx, now)
			p.cancelWaiting(now)
			p.dropSilent(now)
		}
	}
}

// probeSilence probes the links if requests await responses and no upstream has sent
// anything for a while.
func (p *Pool) probeSilence(ctx context.Context, now snipeford.Instant) {
	if now.Sub(snipeford.Instant(p.links.contactAt.Load())) < silenceTime || now.Sub(p.links.probedAt) < silenceProbeInterval {
		return
	}
	p.mu.Lock()
	var silent *link
	for l := range p.links.busy {
		if l.through == "" && now.Sub(snipeford.Instant(l.activeAt.Load())) >= silenceTime {
			silent = l
			break
		}
	}
	skip := silent == nil || p.links.reach.CutOff()
	p.mu.Unlock()
	if skip {
		return
	}
	p.links.probedAt = now
	go p.probeUntilCertain(ctx, silent.address)
}

// probeUntilCertain probes upstreams, an address first, until one is reached directly,
// or enough are lost to show that the node is cut off.
func (p *Pool) probeUntilCertain(ctx context.Context, first string) {
	if !p.links.probing.TryLock() {
		return
	}
	defer p.links.probing.Unlock()
	if p.probe(ctx, first) {
		return
	}
	tried := 1
	for _, address := range p.known() {
		if address == first {
			continue
		}
		if p.CutOff() || tried >= maxProbes || p.probe(ctx, address) {
			return
		}
		tried++
	}
}

// maxProbes is the number of upstreams that are probed at most to tell a cut from
// upstreams that are silent.
const maxProbes = 4

// probe reports whether an upstream was reached directly. The connection is kept for
// the next request.
func (p *Pool) probe(ctx context.Context, address string) bool {
	return p.keepDirect(p.race(ctx, address, false))
}

// keepDirect keeps a connection of a probe for the next request, and reports whether it
// is a direct one.
func (p *Pool) keepDirect(l *link, err error) bool {
	if err != nil {
		return false
	}
	if l.through != "" {
		_ = l.Close()
		return false
	}
	if p.OnOpen != nil {
		p.OnOpen(l.address)
	}
	p.put(newConn(l, l.address), 0)
	return true
}

func (p *Pool) known() []string {
	if p.Known == nil {
		return nil
	}
	return p.Known()
}

// probeLost tries a direct connection to an upstream that was lost.
func (p *Pool) probeLost(ctx context.Context, now snipeford.Instant) {
	noWay := p.NoWay(p.known)
	p.mu.Lock()
	address, due := p.links.reach.NextProbe(now)
	p.mu.Unlock()
	if !due {
		return
	}
	go func() {
		l, err := p.openDirect(ctx, address, probeTimeout)
		if err == nil {
			p.put(newConn(l, address), 0)
			return
		}
		if noWay && p.reachedByDetour(ctx, address) == nil {
			return
		}
		p.updateReach(func(now snipeford.Instant, s *reach.State) { s.ProbeFailed(now, address) })
	}()
}

// dropSilent closes the direct connections of a node that is cut off on which a response
// is overdue.
func (p *Pool) dropSilent(now snipeford.Instant) {
	silence := now.Sub(snipeford.Instant(p.links.contactAt.Load()))
	p.mu.Lock()
	var dropped []*link
	for l := range p.links.busy {
		limit := lostResponseTime
		if l.repeatable {
			limit = silenceTime
		}
		if p.links.reach.CutOff() && l.through == "" && silence >= limit && now.Sub(snipeford.Instant(l.activeAt.Load())) >= limit {
			dropped = append(dropped, l)
		}
	}
	p.mu.Unlock()
	for _, l := range dropped {
		l.lost.Store(true)
		// An error means that the connection is already closed.
		_ = l.Close()
	}
}
