// Package connection keeps connections to upstreams and sends one request at a
// time over each. It never repeats a request: its caller decides that.
package connection

import (
	"bufio"
	"context"
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
	// dialTimeout bounds the making of a connection. Upstreams are some
	// milliseconds away; a lost packet is sent again after a second.
	dialTimeout = 1200 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay unacknowledged.
	silenceTimeout = 2 * time.Second
	// probeAfter and probeEvery set the keep-alive probes, which show that a
	// connection went silent while an answer is awaited.
	probeAfter  = 1 * time.Second
	probeEvery  = 500 * time.Millisecond
	probeFailed = 3
	// defaultIdle is how long an idle connection is kept where the upstream
	// does not say, and idleShare the share of what it says.
	defaultIdle = 4 * time.Second
	idleShare   = 0.6
	// idlePerAddress bounds the idle connections to one upstream.
	idlePerAddress = 32
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Pool keeps idle connections. Its zero value, with a timer, works.
type Pool struct {
	Timer *timer.Clock
	// OnOpen is told of each new connection, where it is not nil.
	OnOpen func(address string)
	mu     sync.Mutex
	idle   map[string][]*conn
}

// conn is one connection. At most one request is on its way over it.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	expires snipeford.Instant
}

// take returns an idle connection that still looks alive, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.Timer.Now() < c.expires && quiet(c.Conn) {
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

// CheckReachable reports whether an upstream accepts connections. Each of two tries
// takes within at most: one lost packet says nothing.
func (p *Pool) CheckReachable(ctx context.Context, address string, within time.Duration) error {
	var err error
	for range reachTries {
		dialer := net.Dialer{Timeout: within}
		var raw net.Conn
		if raw, err = dialer.DialContext(ctx, "tcp4", address); err == nil {
			// Nothing was sent, so that nothing can get lost with it.
			_ = raw.Close()
			return nil
		}
	}
	return fmt.Errorf("upstream accepts no connection: %w", trace.ConvertSystemError(err))
}

// reachTries is how often Reaches tries.
const reachTries = 2

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setSilence, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeFailed,
	}}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", trace.ConvertSystemError(err))
	}
	if p.OnOpen != nil {
		p.OnOpen(address)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

// setSilence lets the kernel give a connection up whose peer acknowledges
// nothing.
func setSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set silence timeout: %w", failed)
	}
	return nil
}

// quiet reports whether an idle connection is open and has no bytes to read:
// bytes that nobody asked for belong to no request.
func quiet(c net.Conn) bool {
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
		var one [1]byte
		_, _, got := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = got == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdle
	}
	c.expires = p.Timer.Now().Add(time.Duration(idleShare * float64(idle)))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	if len(p.idle[c.address]) >= idlePerAddress {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes idle connections whose time is over.
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

// close ends the connection; its state is of no interest any more.
func (c *conn) close() { _ = c.Conn.Close() }
