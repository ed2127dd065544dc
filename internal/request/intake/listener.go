package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// Limits bound the heads and idle times of connections.
type Limits struct {
	// HeaderBytes limits a head with its request line.
	HeaderBytes int
	// HeaderTime limits the time from the first byte of a head to its end, and IdleTime that
	// between two requests.
	HeaderTime, IdleTime time.Duration
}

// minLineBytes is the least number of bytes of a header line: a name of one letter, a colon
// and the end of the line.
const minLineBytes = 4

// headerLines limits the lines of a head. No head of legal lines within HeaderBytes has more.
func (l Limits) headerLines() int { return l.HeaderBytes / minLineBytes }

const (
	// defaultHeaderBytes, defaultHeaderTime and defaultIdleTime apply where the operators'
	// configuration has no limit. They are above all limits in the platform's configurations.
	defaultHeaderBytes = 64 << 10
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = 75 * time.Second
	// headerSlack is added to the limit on a head for the request line, which the limit may
	// not include, and for pipelined bytes. net/http allows as much.
	headerSlack = 4 << 10
	// headerTimeSlack is added to the limit on the time of a head for the time that a VM
	// with a small share of a processor may stand still.
	headerTimeSlack = time.Second
)

// LimitsFor returns the limits for an operators' configuration.
func LimitsFor(l snipeford.CallerLimits) Limits {
	out := Limits{HeaderBytes: defaultHeaderBytes + headerSlack, HeaderTime: defaultHeaderTime, IdleTime: defaultIdleTime}
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes + headerSlack
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTime = l.HeaderTimeout + headerTimeSlack
	}
	if l.IdleTimeout > 0 {
		out.IdleTime = l.IdleTimeout
	}
	return out
}

// Listener accepts connections within bounds.
type Listener struct {
	net.Listener
	Budget *Budget
	// Limits returns the limits in force. Nil means the defaults.
	Limits func() Limits
	// MaxDescriptors is the number of descriptors that connections may use. A connection
	// with a request counts twice, with that to an upstream. Zero means no limit.
	MaxDescriptors int
	// Raw is set if the connections do not carry requests of HTTP.
	Raw bool
	// Essential is set if the connections are those of probes, operators or other nodes.
	// Each of them has room for essentialBytes, also while callers hold all memory, and
	// does not give way up to that.
	Essential bool

	mu          sync.Mutex
	open        map[*Conn]struct{}
	descriptors int
}

func (l *Listener) limits() Limits {
	if l.Limits == nil {
		return LimitsFor(snipeford.CallerLimits{})
	}
	return l.Limits()
}

// Accept waits for the next connection within the bounds, and closes others at once, of which
// nothing has been read.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		c.inHead.Store(true)
		address, _ := netip.ParseAddrPort(raw.RemoteAddr().String())
		c.account = l.Budget.open(c, address.Addr())
		if l.admit(c) && c.account.Charge(connectionBytes) {
			return c, nil
		}
		l.Budget.counts.add(CauseConnection)
		_ = c.Close()
	}
}

// admit counts a new connection. At the limit, a connection without a request is closed for
// it.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxDescriptors > 0 && l.descriptors >= l.MaxDescriptors && !l.closeIdle(c) {
		return false
	}
	if l.open == nil {
		l.open = map[*Conn]struct{}{}
	}
	l.open[c] = struct{}{}
	l.descriptors++
	return true
}

// begin counts the descriptor of the request that has begun on a connection.
func (l *Listener) begin(c *Conn) bool {
	if l.MaxDescriptors == 0 {
		c.account.SetStage(StageHead)
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.account.twice {
		return true
	}
	if l.descriptors >= l.MaxDescriptors && !l.closeIdle(c) {
		return false
	}
	c.account.twice = true
	l.descriptors++
	c.account.SetStage(StageHead)
	return true
}

// finish is called at the end of a request.
func (l *Listener) finish(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.account.twice {
		c.account.twice = false
		l.descriptors--
	}
}

func (l *Listener) remove(c *Conn) {
	l.finish(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget counts a connection no more. The mutex is held.
func (l *Listener) forget(c *Conn) {
	if _, ok := l.open[c]; ok {
		delete(l.open, c)
		l.descriptors--
	}
}

// closeIdle closes another connection than c that has no request, and waits until its
// descriptor is free. It returns false if there is none. The mutex is held.
func (l *Listener) closeIdle(c *Conn) bool {
	a := l.Budget.evictIdle(l, c)
	if a == nil {
		return false
	}
	// The connection is closed already if this fails.
	_ = a.conn.Conn.Close()
	l.forget(a.conn)
	return true
}

// evictIdle chooses another connection of a listener than c that has no request, or nil.
func (b *Budget) evictIdle(l *Listener, c *Conn) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *Account
	for _, a := range b.accounts {
		if a.conn == c || a.conn.listener != l || a.evicted || a.stage > StageIdle {
			continue
		}
		if best == nil || b.goesBefore(a, best) {
			best = a
		}
	}
	if best != nil {
		b.evict(best)
	}
	return best
}

// goesBefore orders connections without a request: those on which nothing was ever sent go
// first, then those of an address that holds more than its share, and the oldest of these.
func (b *Budget) goesBefore(a, o *Account) bool {
	if a.stage != o.stage {
		return a.stage < o.stage
	}
	if aOver, oOver := b.overAddressShare(a.address, b.used), b.overAddressShare(o.address, b.used); aOver != oOver {
		return aOver
	}
	return a.since < o.since
}

// Server prepares a server for the connections of the listener. Its ConnState function is
// called with the connections that the listener wraps, as well as inner.
func (l *Listener) Server(s *http.Server) *http.Server {
	inner := s.ConnState
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		c, ok := raw.(*Conn)
		if !ok {
			return
		}
		c.StateChanged(state)
		if inner != nil {
			inner(c.Inner(), state)
		}
	}
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c, ok := raw.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, c.account)
		}
		return ctx
	}
	return s
}

// Cause is the cause of a refusal, or of a connection that was closed.
type Cause int

// Causes of refusals.
const (
	// CauseHeadSize and CauseHeadTime are heads over the limits, and CauseBody bodies that
	// stand still or miss their deadline.
	CauseHeadSize Cause = iota
	CauseHeadTime
	CauseBody
	// CauseMemory and CauseDescriptors are requests for which there was no room, and
	// CauseConnection connections.
	CauseMemory
	CauseDescriptors
	CauseConnection
	// CauseEvicted is a connection or request that gave way to others.
	CauseEvicted
	causeCount
)

var causeNames = [causeCount]string{"HeadSize", "HeadTime", "Body", "Memory", "Descriptors", "Connection", "Evicted"}

// counts counts the refusals by cause.
type counts [causeCount]atomic.Int64

func (c *counts) add(cause Cause) { c[cause].Add(1) }

// Count counts a refusal that was made outside this package.
func (a *Account) Count(cause Cause) {
	if a != nil {
		a.budget.counts.add(cause)
	}
}

// Refusals returns the number of refusals of all causes.
func (b *Budget) Refusals() int64 {
	total := int64(0)
	for i := range b.counts {
		total += b.counts[i].Load()
	}
	return total
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Measure sets the gauges of the budget.
func (b *Budget) Measure(r metrics.Registry) {
	b.mu.Lock()
	open := len(b.accounts)
	b.mu.Unlock()
	for name, value := range map[string]int64{"Intake.Bytes": b.Used(), "Intake.Capacity": b.Capacity, "Intake.Connections": int64(open)} {
		metrics.GetOrRegisterGauge(name, r).Update(value)
	}
	for cause, name := range causeNames {
		metrics.GetOrRegisterGauge("Intake.Refused."+name, r).Update(b.counts[cause].Load())
	}
}

// DescriptorLimit returns the limit on the descriptors of the process.
func DescriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > maxDescriptorLimit {
		return maxDescriptorLimit
	}
	return int(l.Cur)
}

// maxDescriptorLimit stands for a limit that is unknown, or higher than any VM needs.
const maxDescriptorLimit = 65_536
