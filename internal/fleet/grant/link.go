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
)

const (
	// pingEvery is how often a peer is asked whether it answers, and pongWithin
	// how long it may take before it is not asked for places any more. A frozen
	// peer costs its askers askTimeout for that long at most.
	pingEvery  = 100 * time.Millisecond
	pongWithin = 250 * time.Millisecond
	// silentAfter is when a connection without a pong is closed and made anew:
	// it may have gone silent while the peer lives.
	silentAfter = 1500 * time.Millisecond
	// redialFirst is the pause after the first try to connect that failed: nodes
	// that start together listen within some ten milliseconds. It doubles up to
	// redialEvery.
	redialFirst = 40 * time.Millisecond
	redialEvery = 300 * time.Millisecond
	// dialTimeout bounds a try to connect. A VM that is without power answers
	// nothing, and may be back before a lost packet is sent again; nodes are at
	// most some ten milliseconds apart.
	dialTimeout = 200 * time.Millisecond
)

// errGone says that the connection ended before the answer came.
var errGone = errors.New("peer's connection ended")

// link is the connection to one peer, made again whenever it breaks.
type link struct {
	links   *Client
	node    snipeford.NodeID
	address string
	cancel  context.CancelFunc

	mu       sync.Mutex
	wire     *wire
	pongAt   snipeford.Instant
	pingAt   snipeford.Instant
	number   uint64
	failedAt snipeford.Instant
	// age is how old the peer's knowledge was at its last pong, if it had any.
	age   time.Duration
	known bool
	// pingElapsed is the instant of the last ping, time in suspension included.
	pingElapsed snipeford.Instant
	// subscribed links have asked for rows, and brought holds the collections
	// that have come since.
	subscribed bool
	brought    map[snipeford.Collection]bool
	pending    map[snipeford.RequestID]chan snipeford.Placement
}

// run connects and reads until ctx ends.
func (l *link) run(ctx context.Context) {
	pause, told := redialFirst, false
	for ctx.Err() == nil {
		opened, err := l.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if opened {
			pause, told = redialFirst, false
		}
		if !told {
			l.links.Log.Believed("peer not connected", "Peer", l.node, "Error", err)
		}
		told = true
		l.links.Timer.Sleep(ctx, pause)
		pause = min(2*pause, redialEvery)
	}
}

// connect reports whether the connection opened, and why it ended.
func (l *link) connect(ctx context.Context) (bool, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", l.address)
	if err != nil {
		return false, fmt.Errorf("connect to peer: %w", trace.ConvertSystemError(err))
	}
	w := newWire(c, l.links.Timer.Wall)
	stop := context.AfterFunc(ctx, w.close)
	defer stop()
	defer l.drop(w)
	if err := w.send(Frame{Hello: &Hello{l.links.Self.Node, l.links.Self.Incarnation}}); err != nil {
		return false, err
	}
	if err := w.send(Frame{Sync: &Sync{l.links.Loop.PlacedCalls()}}); err != nil {
		return false, err
	}
	l.open(w)
	// Without the first pong the peer is asked for no place.
	l.ping(l.links.Timer.Now())
	return true, l.read(w)
}

func (l *link) open(w *wire) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wire = w
	l.pongAt, l.pingAt = 0, 0
	l.subscribed, l.brought = false, map[snipeford.Collection]bool{}
	l.pending = map[snipeford.RequestID]chan snipeford.Placement{}
}

// drop closes the connection; whoever waits decides for itself.
func (l *link) drop(w *wire) {
	w.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wire != w {
		return
	}
	l.wire = nil
	for _, waiting := range l.pending {
		close(waiting)
	}
	l.pending = nil
}

func (l *link) read(w *wire) error {
	decoder := json.NewDecoder(bufio.NewReader(w.conn))
	for {
		var f Frame
		if err := decoder.Decode(&f); err != nil {
			return fmt.Errorf("read peer: %w", trace.ConvertSystemError(err))
		}
		switch {
		case f.Placement != nil:
			l.granted(*f.Placement)
		case f.Pong != nil:
			l.ponged(*f.Pong)
		case f.Rows != nil:
			l.bring(*f.Rows)
		}
	}
}

func (l *link) granted(p snipeford.Placement) {
	l.mu.Lock()
	waiting, ok := l.pending[p.RequestID]
	if !p.Queued {
		delete(l.pending, p.RequestID)
	}
	l.mu.Unlock()
	if !ok {
		// This node has decided itself, and its Adopt corrects the home.
		l.links.Log.Decided("late answer of the home dropped", p.RequestID, "Home", l.node)
		return
	}
	waiting <- p
}

func (l *link) ponged(p Pong) {
	l.mu.Lock()
	current := p.Number == l.number
	if current {
		l.pongAt = l.links.Timer.Now()
		l.age, l.known = time.Duration(p.StalenessMs)*time.Millisecond, p.Confirmed
	}
	complete := current && p.Confirmed && len(l.brought) == collections
	confirmed := l.pingElapsed.Add(-time.Duration(p.StalenessMs+1) * time.Millisecond)
	l.mu.Unlock()
	if complete {
		// The pong came behind all rows that the peer had when it was asked.
		l.links.ConfirmRows(confirmed)
	}
}

// bring passes rows on before anything that comes behind them.
func (l *link) bring(r Rows) {
	l.links.ApplyRows(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brought[r.Collection] = true
}

// collections returns how many collections the peer has brought.
func (l *link) collections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.brought)
}

// subscribe asks for rows once a connection.
func (l *link) subscribe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.subscribed || l.wire == nil {
		return
	}
	l.subscribed = true
	w := l.wire
	go func() {
		if err := w.send(Frame{Subscribe: &Subscribe{}}); err != nil {
			l.links.Log.Failed("feeder not asked", err, "Peer", l.node)
		}
	}()
}

// knowledge returns how old the peer's knowledge is, and false where it has
// none or does not answer.
func (l *link) knowledge(now snipeford.Instant) (time.Duration, bool) {
	if !l.healthy(now) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.age + now.Sub(l.pongAt), l.known
}

// ping asks for a sign of life, and closes a connection that gives none.
func (l *link) ping(now snipeford.Instant) {
	l.mu.Lock()
	w := l.wire
	if w == nil {
		l.mu.Unlock()
		return
	}
	waiting := l.pingAt > l.pongAt
	if waiting && now.Sub(l.pingAt) > silentAfter {
		l.mu.Unlock()
		w.close()
		return
	}
	if waiting {
		l.mu.Unlock()
		return
	}
	l.number++
	l.pingAt, l.pingElapsed = now, l.links.Timer.SinceBoot()
	frame := Frame{Ping: &Ping{l.number}}
	l.mu.Unlock()
	if err := w.send(frame); err != nil {
		l.links.Log.Failed("peer not asked", err, "Peer", l.node)
	}
}

// unanswered reports whether a ping is open, or none was answered yet.
func (l *link) unanswered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pongAt < l.pingAt || l.pongAt == 0
}

// healthy reports whether the peer answered lately.
func (l *link) healthy(now snipeford.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wire == nil || l.pongAt == 0 || now.Sub(l.failedAt) < suspicion && l.failedAt > 0 {
		return false
	}
	return l.pongAt >= l.pingAt || now.Sub(l.pingAt) < pongWithin
}

// suspicion is how long a peer that missed an answer is not asked.
const suspicion = 400 * time.Millisecond

func (l *link) suspect(now snipeford.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = now
}

// ask sends a question and returns where its answer will come.
func (l *link) ask(a snipeford.PlacementRequest) (<-chan snipeford.Placement, error) {
	l.mu.Lock()
	w := l.wire
	if w == nil {
		l.mu.Unlock()
		return nil, errGone
	}
	waiting := make(chan snipeford.Placement, 2)
	l.pending[a.RequestID] = waiting
	l.mu.Unlock()
	if err := w.send(Frame{PlacementRequest: &a}); err != nil {
		l.cancelAsk(a.RequestID)
		return nil, err
	}
	return waiting, nil
}

func (l *link) cancelAsk(call snipeford.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, call)
}

// tell sends a message where the peer is connected; a new connection begins
// with a Sync that makes up for what was not sent.
func (l *link) tell(f Frame) {
	l.mu.Lock()
	w := l.wire
	l.mu.Unlock()
	if w == nil {
		return
	}
	if err := w.send(f); err != nil {
		l.links.Log.Failed("peer not told", err, "Peer", l.node)
	}
}
