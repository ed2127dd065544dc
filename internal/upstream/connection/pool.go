// Package connection pools HTTP connections to upstreams and sends one request
// at a time over each. It never retries a request; retries are up to the caller.
package connection

import (
	"bufio"
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"snipeford"
	"snipeford/internal/control/timer"
)

const (
	// dialTimeout is the maximum time to open a connection. Upstreams are a few
	// milliseconds away, and a lost SYN packet is retransmitted after 1 s.
	dialTimeout = 1200 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive
	// probes, which detect a dead connection while a response is pending.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout is the assumed idle timeout of an upstream that does not
	// state one. Connections are kept for idleTimeoutRatio of the idle timeout, so
	// that none is reused shortly before the upstream closes it.
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutRatio   = 0.6
	// maxIdlePerAddress is the maximum number of idle connections to one upstream.
	maxIdlePerAddress = 32
	// maxRequestsPerConnection is the maximum number of requests that are sent over one
	// connection, as it remembers their ids.
	maxRequestsPerConnection = 512
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// Pool keeps idle connections, and opens new ones directly or through another node.
// Timer must be set; the other fields may be zero.
type Pool struct {
	Timer *timer.Clock
	// OnOpen, if not nil, is called for each new connection.
	OnOpen func(address string)
	// Detours opens connections through other nodes. Nil means that all connections are
	// direct.
	Detours snipeford.Detours
	// Known returns the addresses of the upstreams, for probes.
	Known func() []string
	// OnCutOff, if not nil, is called when the node has lost its links to upstreams that
	// other nodes reach, and when it has them back. lost is the number of upstreams that
	// were found to be lost.
	OnCutOff func(cutOff bool, lost int)

	mu    sync.Mutex
	idle  map[string][]*conn
	links links
}

// conn is one connection. It carries at most one request at a time.
type conn struct {
	*link
	head    *headReader
	reader  *bufio.Reader
	address string
	reused  bool
	expires snipeford.Instant
	// sent holds the hashes of the ids of the requests that were sent.
	sent []uint64
	// tainted is set once bytes have arrived that belong to no awaited response.
	tainted bool
}

// get returns an idle connection that is still reusable, or opens a new one. A
// request that is sent again needs another connection than before: a second
// response to its first attempt could not be told from that to the new one. A
// request without an id needs a new one for the same reason.
//
// A connection that leads into a cut looks open. A request that must not be sent again
// gets a new connection while direct connections fail.
func (p *Pool) get(ctx context.Context, address string, r Request) (*conn, error) {
	usesIdle := r.ID != "" && p.usesIdle(address, r.Repeatable)
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if usesIdle && p.Timer.Now() < c.expires && !c.hasSent(r.ID) && isReusable(c.Conn) {
			c.reused = true
			return c, nil
		}
		c.close()
	}
}

var hashSeed = maphash.MakeSeed()

func hashOf(id snipeford.RequestID) uint64 { return maphash.String(hashSeed, string(id)) }

// hasSent reports whether a request was sent over the connection.
func (c *conn) hasSent(id snipeford.RequestID) bool { return slices.Contains(c.sent, hashOf(id)) }

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	l, err := p.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	if p.OnOpen != nil {
		p.OnOpen(address)
	}
	return newConn(l, address), nil
}

func newConn(l *link, address string) *conn {
	head := &headReader{source: l}
	return &conn{link: l, head: head, reader: bufio.NewReaderSize(head, readBufferSize), address: address}
}

// DetectDead makes the kernel close an accepted connection whose peer does not acknowledge
// sent data or probes in time, as Dial does for connections that it opens.
func DetectDead(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", trace.ConvertSystemError(err))
	}
	if err := setUserTimeout("", "", raw); err != nil {
		return err
	}
	if err := c.SetKeepAliveConfig(keepAlive); err != nil {
		return fmt.Errorf("set keep-alive: %w", trace.ConvertSystemError(err))
	}
	return nil
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a TCP connection that the kernel closes if the other side does not
// acknowledge sent data or probes in time.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return c, nil
}

// setUserTimeout makes the kernel close a connection whose peer does not
// acknowledge sent data within tcpUserTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if sockErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", sockErr)
	}
	return nil
}

// isReusable reports whether an idle connection is open and has no bytes to
// read. Bytes that arrive while no request is pending belong to no request.
func isReusable(c net.Conn) bool {
	sockets, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sockets.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, errno := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errno == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// put returns a connection to the pool for the next request.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.expires = p.Timer.Now().Add(time.Duration(idleTimeoutRatio * float64(idleTimeout)))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := p.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.expires {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// close closes the connection. Errors are ignored, as it is not used again.
func (c *conn) close() { _ = c.link.Close() }
