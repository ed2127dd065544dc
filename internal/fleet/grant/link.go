package grant

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/control/directory"
)

const (
	// defaultPingInterval is the time between two pings to a peer. After
	// pongTimeout without a pong the peer gets no more placement requests, so
	// that a frozen peer delays them, by replyTimeout each, only for that long.
	defaultPingInterval = 100 * time.Millisecond
	pongTimeout         = 250 * time.Millisecond
	// reconnectTimeout is the time without a pong after which the connection is
	// closed and reopened, since it may be dead although the peer is alive.
	reconnectTimeout = 1500 * time.Millisecond
	// minRedialDelay is the delay after the first failed connection attempt.
	// Nodes that start together all listen within about ten milliseconds. The
	// delay doubles up to maxRedialDelay.
	minRedialDelay = 40 * time.Millisecond
	maxRedialDelay = 300 * time.Millisecond
	// stableConnectionTime is how long a connection has to last for its successor to
	// be opened without a delay.
	stableConnectionTime = 1 * time.Second
	// dialTimeout limits one connection attempt. A VM that lost power does not
	// respond, and it may be back before TCP retransmits a lost packet. Nodes are
	// at most about ten milliseconds apart.
	dialTimeout = 200 * time.Millisecond
	// digestPings is the number of pings to a feeder of which one requests digests. About
	// once a second is as often as upstreams write their rows.
	digestPings = 10
)

// errDisconnected is returned for a placement request to a peer that is not
// connected.
var errDisconnected = errors.New("peer is not connected")

// link is the connection to one peer. It is reopened whenever it breaks.
type link struct {
	client  *Client
	node    snipeford.NodeID
	address string
	cancel  context.CancelFunc
	// subscribeMu keeps Subscribe frames in the order of the states that they state.
	subscribeMu sync.Mutex

	// createdAt is when the link was created, and lastPongAt when the latest pong of all its
	// connections arrived.
	createdAt, lastPongAt snipeford.Instant

	mu sync.Mutex
	// statesRevisions is that of directory.Peer, and endsFeeds is set if the peer accepts a
	// second Subscribe on a connection. A release changes them at the same address.
	statesRevisions, endsFeeds bool

	conn        *frameConn
	pongAt      snipeford.Instant
	pingAt      snipeford.Instant
	pingNumber  uint64
	suspectedAt snipeford.Instant
	// staleness is the staleness of the peer's operator rows at its last pong. It
	// is valid if confirmed is set: the peer's rows were ever known to be current.
	staleness time.Duration
	confirmed bool
	// routing is the version of the peer's routing at its last pong.
	routing snipeford.Version
	// pingSinceBoot is when the last ping was sent, on a clock that keeps running
	// while the VM is suspended.
	pingSinceBoot snipeford.Instant
	// subscribed is set once the link has subscribed to the peer's rows, and
	// received holds the collections that have arrived since. complete is set if this
	// node had all rows of the peer at the last pong.
	subscribed bool
	received   map[snipeford.Collection]bool
	complete   bool
	// awaited holds the collections for which the link has subscribed again since a delta had
	// another base, and whose rows have not arrived yet.
	awaited map[snipeford.Collection]bool
	pending map[snipeford.RequestID]chan snipeford.Placement
}

// run keeps the link connected and reads from it until ctx ends.
func (l *link) run(ctx context.Context) {
	delay, logged := minRedialDelay, false
	for ctx.Err() == nil {
		started := l.client.Timer.Now()
		connected, err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if connected {
			delay, logged = minRedialDelay, false
		}
		if connected && l.client.Timer.Now().Sub(started) > stableConnectionTime {
			// Only the connection was lost. Until it is back, this node uses another
			// home, which does not know the requests of the others.
			l.client.Log.Info("peer connection lost", "Peer", l.node, "Error", err)
			continue
		}
		if !logged {
			l.client.Log.Info("peer not connected", "Peer", l.node, "Error", err)
		}
		logged = true
		l.client.Timer.Sleep(ctx, delay)
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect opens a connection and reads from it until it breaks. It reports
// whether the connection was opened, and the error that ended it.
func (l *link) connect(ctx context.Context) (bool, error) {
	c, err := l.dial(ctx)
	if err != nil {
		return false, fmt.Errorf("connect to peer: %w", trace.ConvertSystemError(err))
	}
	fc := newFrameConn(c, l.client.Timer)
	stop := context.AfterFunc(ctx, fc.close)
	defer stop()
	defer l.dropConn(fc)
	if err := fc.send(Frame{Hello: &Hello{l.client.Self.Node, l.client.Self.Incarnation}}); err != nil {
		return false, err
	}
	if err := fc.send(Frame{Sync: l.client.knownToHome()}); err != nil {
		return false, err
	}
	l.setConn(fc)
	// The peer gets no placement requests before its first pong.
	l.ping(l.client.Timer.Now())
	return true, l.read(fc)
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	if l.client.Dial != nil {
		return l.client.Dial(ctx, l.address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp4", l.address)
}

func (l *link) setConn(fc *frameConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = fc
	l.pongAt, l.pingAt = 0, 0
	l.subscribed, l.complete, l.received = false, false, map[snipeford.Collection]bool{}
	l.awaited = nil
	l.pending = map[snipeford.RequestID]chan snipeford.Placement{}
}

// dropConn closes the connection. Requests waiting for a reply are then placed
// by this node itself.
func (l *link) dropConn(fc *frameConn) {
	fc.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != fc {
		return
	}
	l.conn = nil
	for _, replies := range l.pending {
		close(replies)
	}
	l.pending = nil
}

func (l *link) read(fc *frameConn) error {
	frames := &frameLimit{reader: fc.conn, most: maxRowsFrameBytes}
	decoder := json.NewDecoder(bufio.NewReader(frames))
	for {
		var f Frame
		frames.next()
		if err := decoder.Decode(&f); err != nil {
			return fmt.Errorf("read from peer: %w", trace.ConvertSystemError(err))
		}
		switch {
		case f.Placement != nil:
			l.handlePlacement(*f.Placement)
		case f.Pong != nil:
			l.handlePong(*f.Pong)
		case f.Watch != nil:
			l.client.watches.set(l.node, *f.Watch)
		case len(f.Leaving) > 0:
			l.handleLeaving(f.Leaving)
		case f.Rows != nil:
			if err := l.handleRows(*f.Rows); err != nil {
				return err
			}
		}
	}
}

func (l *link) handlePlacement(p snipeford.Placement) {
	l.mu.Lock()
	replies, ok := l.pending[p.RequestID]
	if !p.Queued {
		delete(l.pending, p.RequestID)
	}
	l.mu.Unlock()
	if !ok {
		// This node has placed the request itself. Its PlacedLocally frame
		// corrects the home's state.
		l.client.Log.Decided("late reply from home discarded", p.RequestID, "Home", l.node)
		return
	}
	replies <- p
}

func (l *link) handlePong(p Pong) {
	l.mu.Lock()
	current := p.Number == l.pingNumber
	if current {
		l.pongAt = l.client.Timer.Now()
		l.lastPongAt = l.pongAt
		l.staleness, l.confirmed = time.Duration(p.StalenessMs)*time.Millisecond, p.Confirmed
		l.routing = p.RoutingVersion
	}
	confirms := current && p.Confirmed && len(l.received) == len(snipeford.Collections)
	// The peer rounds its staleness down to a millisecond.
	completeUntil := l.pingSinceBoot.Add(-time.Duration(p.StalenessMs+1) * time.Millisecond)
	l.mu.Unlock()
	if current {
		l.client.feederPonged(l.client.Timer.Now())
	}
	if !confirms {
		return
	}
	// The peer sends a pong after all rows that it had when the ping arrived.
	complete := l.client.ConfirmRows(FeedStatus{Revisions: p.Revisions, Digests: p.Digests}, completeUntil)
	if !complete && l.client.HasDiverged != nil && l.client.HasDiverged() {
		l.resubscribe()
	}
	l.mu.Lock()
	changed := l.complete != complete
	l.complete = complete
	l.mu.Unlock()
	if changed {
		l.client.Log.Info("rows of feeder", "Peer", l.node, "Complete", complete, "Revisions", fmt.Sprint(p.Revisions))
	}
}

// handleRows applies rows before the link reads the next frame.
func (l *link) handleRows(r Rows) error {
	r, err := r.unpacked()
	if err != nil {
		return err
	}
	r.Feeder = l.node
	if r, err = r.undelta(l.client.RowValue); errors.Is(err, errOtherBase) {
		l.handleOtherBase(r, err)
		return nil
	}
	if err != nil {
		return err
	}
	l.client.ApplyRows(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[r.Collection] = true
	delete(l.awaited, r.Collection)
	return nil
}

// isComplete reports whether this node had all rows of the peer at the last pong.
func (l *link) isComplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}

// setPeer sets what the peer's row says of its version.
func (l *link) setPeer(p directory.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statesRevisions, l.endsFeeds = p.StatesRevisions, p.HasStandbyFeeders
}

// countsForRouting reports whether the version of the peer's routing counts, see
// Client.NewestRouting.
func (l *link) countsForRouting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statesRevisions
}

// routingVersion returns the version of the peer's routing at its last pong.
func (l *link) routingVersion() snipeford.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routing
}

// currentStaleness returns the staleness of the peer's operator rows now. It
// returns false if they were never known to be current or the peer is unhealthy.
func (l *link) currentStaleness(now snipeford.Instant) (time.Duration, bool) {
	if !l.healthy(now) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.staleness + now.Sub(l.pongAt), l.confirmed
}

// isLost reports whether the peer has given no pong for lostFeederTime.
func (l *link) isLost(now snipeford.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(max(l.createdAt, l.lastPongAt)) > lostFeederTime
}

// mayBeFresh reports whether the peer responds and its rows are below a staleness, or the
// last pong is from before the pings that are sent to all feeders when one is lost.
func (l *link) mayBeFresh(now snipeford.Instant, limit time.Duration) bool {
	staleness, confirmed := l.currentStaleness(now)
	l.mu.Lock()
	pongAt := l.pongAt
	l.mu.Unlock()
	return confirmed && (staleness < limit || now.Sub(pongAt) > 2*defaultPingInterval)
}

// ping sends a ping unless one is outstanding. It closes the connection if the
// outstanding one is older than reconnectTimeout. It does not wait for the write,
// which a peer that does not read delays for up to writeTimeout.
func (l *link) ping(now snipeford.Instant) {
	l.mu.Lock()
	fc := l.conn
	if fc == nil {
		l.mu.Unlock()
		return
	}
	outstanding := l.pingAt > l.pongAt
	if outstanding && now.Sub(l.pingAt) > reconnectTimeout {
		l.mu.Unlock()
		fc.close()
		return
	}
	if outstanding {
		l.mu.Unlock()
		return
	}
	l.pingNumber++
	l.pingAt, l.pingSinceBoot = now, l.client.Timer.SinceBoot()
	frame := Frame{Ping: &Ping{Number: l.pingNumber, Digests: l.subscribed && l.pingNumber%digestPings == 0}}
	l.mu.Unlock()
	go func() {
		if err := fc.send(frame); err != nil {
			l.client.Log.Warn("cannot ping peer", err, "Peer", l.node)
		}
	}()
}

// awaitsPong reports whether a ping is outstanding, or no pong has arrived yet.
func (l *link) awaitsPong() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pongAt < l.pingAt || l.pongAt == 0
}

// healthy reports whether the peer has responded recently.
func (l *link) healthy(now snipeford.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.pongAt == 0 || now.Sub(l.suspectedAt) < suspicionTime && l.suspectedAt > 0 {
		return false
	}
	return l.pongAt >= l.pingAt || now.Sub(l.pingAt) < pongTimeout
}

// suspicionTime is how long a peer gets no placement requests after it failed to
// reply to one in time.
const suspicionTime = 400 * time.Millisecond

func (l *link) markSuspect(now snipeford.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectedAt = now
}

// requestPlacement sends a placement request and returns the channel that will
// receive the replies.
func (l *link) requestPlacement(req snipeford.PlacementRequest) (<-chan snipeford.Placement, error) {
	l.mu.Lock()
	fc := l.conn
	if fc == nil {
		l.mu.Unlock()
		return nil, errDisconnected
	}
	replies := make(chan snipeford.Placement, 2)
	l.pending[req.RequestID] = replies
	l.mu.Unlock()
	if err := fc.send(Frame{PlacementRequest: &req}); err != nil {
		l.cancelRequest(req.RequestID)
		return nil, err
	}
	return replies, nil
}

func (l *link) cancelRequest(id snipeford.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// notify sends a frame if the peer is connected. A lost frame is made up for by
// the Sync at the start of the next connection.
func (l *link) notify(f Frame) {
	l.mu.Lock()
	fc := l.conn
	l.mu.Unlock()
	if fc == nil {
		return
	}
	if err := fc.send(f); err != nil {
		l.client.Log.Warn("cannot send to peer", err, "Peer", l.node)
	}
}
