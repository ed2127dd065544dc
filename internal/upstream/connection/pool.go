// Package connection pools HTTP connections to upstreams and sends one request
// at a time over each. It never retries a request; retries are up to the caller.
package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
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
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// Pool keeps idle connections. Timer must be set; the other fields may be zero.
type Pool struct {
	Timer *timer.Clock
	// OnOpen, if not nil, is called for each new connection.
	OnOpen func(address string)
	mu     sync.Mutex
	idle   map[string][]*conn
}

// conn is one connection. It carries at most one request at a time.
type conn struct {
	net.Conn
	head    *headReader
	reader  *bufio.Reader
	address string
	reused  bool
	expires snipeford.Instant
	// lastRequest is the request that was sent last.
	lastRequest snipeford.RequestID
}

// get returns an idle connection that is still reusable, or opens a new one. A
// request that is sent again needs another connection than before: a second
// response to its first attempt could not be told from that to the new one.
func (p *Pool) get(ctx context.Context, address string, id snipeford.RequestID) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.Timer.Now() < c.expires && c.lastRequest != id && isReusable(c.Conn) {
			c.reused = true
			return c, nil
		}
		c.close()
	}
}

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

// CheckReachable returns nil if an upstream accepts connections. It tries twice,
// each time for at most timeout, because a single lost packet does not mean that
// the upstream is unreachable.
func (p *Pool) CheckReachable(ctx context.Context, address string, timeout time.Duration) error {
	var err error
	for range reachabilityTries {
		dialer := net.Dialer{Timeout: timeout}
		var raw net.Conn
		if raw, err = dialer.DialContext(ctx, "tcp4", address); err == nil {
			// No data was sent, so an error of Close does not matter.
			_ = raw.Close()
			return nil
		}
	}
	return fmt.Errorf("upstream does not accept connections: %w", trace.ConvertSystemError(err))
}

// Refuses reports whether the upstream's VM refuses connections to its address: the
// upstream has ended, whereas its VM has not. It tries a second time after
// endedRetryDelay, because a process that ends may close its listener last.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	for try := range reachabilityTries {
		if try > 0 && !p.Timer.Sleep(ctx, endedRetryDelay) {
			return false
		}
		dialer := net.Dialer{Timeout: endedCheckTimeout}
		raw, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return errors.Is(err, unix.ECONNREFUSED)
		}
		// No data was sent, so an error of Close does not matter.
		_ = raw.Close()
	}
	return false
}

const (
	// endedCheckTimeout limits one attempt of Refuses. A VM refuses a connection
	// within a network round trip.
	endedCheckTimeout = 100 * time.Millisecond
	endedRetryDelay   = 20 * time.Millisecond
)

// reachabilityTries is how many times CheckReachable tries to connect.
const reachabilityTries = 2

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", trace.ConvertSystemError(err))
	}
	if p.OnOpen != nil {
		p.OnOpen(address)
	}
	head := &headReader{source: raw}
	return &conn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, readBufferSize), address: address}, nil
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
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
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
func (c *conn) close() { _ = c.Conn.Close() }
