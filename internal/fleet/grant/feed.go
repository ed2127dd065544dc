package grant

import (
	"slices"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/fleet/home"
)

const (
	// framesQueued is how many messages wait for a slow subscriber. Beyond it
	// the connection is closed, and the subscriber begins anew.
	framesQueued = 128
	// feedersOf is how many nodes of a failure domain one feeder serves.
	feedersOf = 16
	// feedAge is how old the knowledge of a feeder may be. It is above the time
	// between two answers of the store, and well below the age at which keys
	// are not honoured any more.
	feedAge = 2200 * time.Millisecond
)

// feedersName stands for the service in the order of feeders.
const feedersName snipeford.ServiceName = "rows of the store"

// feedWriter sends rows to one subscriber, and pongs behind the rows that they
// confirm.
type feedWriter struct {
	wire   *wire
	frames chan Frame

	mu      sync.Mutex
	started bool
	ended   bool
	cancel  func()
}

// start subscribes; only the first call has an effect.
func (f *feedWriter) start(subscribe func(push func(Rows)) func()) {
	f.mu.Lock()
	first := !f.started
	f.started = true
	f.mu.Unlock()
	if !first {
		return
	}
	go f.write()
	cancel := subscribe(func(r Rows) { f.queue(Frame{Rows: &r}) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
}

// pong sends a pong: behind all rows so far where the peer has subscribed.
func (f *feedWriter) pong(p *Pong) error {
	f.mu.Lock()
	started := f.started
	f.mu.Unlock()
	if !started {
		return f.wire.send(Frame{Pong: p})
	}
	f.queue(Frame{Pong: p})
	return nil
}

// queue never blocks: a subscriber that does not read loses its connection.
func (f *feedWriter) queue(frame Frame) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	select {
	case f.frames <- frame:
	default:
		f.wire.close()
	}
}

func (f *feedWriter) write() {
	for frame := range f.frames {
		// After an error the connection is closed, and its reader tells why.
		if f.wire.send(frame) != nil {
			return
		}
	}
}

// stop ends the subscription. It is called once.
func (f *feedWriter) stop() {
	f.mu.Lock()
	cancel := f.cancel
	f.ended = true
	close(f.frames)
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// feeders returns the nodes of this node's failure domain that follow the store
// for the others there, the one that this node prefers first. Rows never pass
// between failure domains, where bytes are dear.
func (l *Links) feeders(v *directory.View) []snipeford.NodeID {
	near := []home.Candidate{{Node: l.Self.Node, Weight: l.Self.Weight}}
	for id, p := range v.Peers {
		if id != l.Self.Node && p.Domain == l.Self.Domain {
			near = append(near, home.Candidate{Node: id, Weight: p.Weight})
		}
	}
	count := 1 + len(near)/feedersOf
	order := home.Rank(feedersName, near)
	return home.Rank(feedersName+snipeford.ServiceName("|"+l.Self.Node), memberList(order[:min(count, len(order))]))
}

func memberList(nodes []snipeford.NodeID) []home.Candidate {
	var out []home.Candidate
	for _, id := range nodes {
		out = append(out, home.Candidate{Node: id, Weight: 1})
	}
	return out
}

// selectFeed picks the link that brings this node the store's rows, and
// subscribes there. A feeder itself has none.
func (l *Links) selectFeed(now snipeford.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.feed = nil
	if slices.Contains(l.feedOrder, l.Self.Node) {
		return
	}
	for _, id := range l.feedOrder {
		one := l.links[id]
		if one == nil {
			continue
		}
		if age, ok := one.knowledge(now); ok && age < feedAge {
			l.feed = one
			one.subscribe()
			return
		}
	}
}

// Fed reports whether another node brings the store's rows, all of them and
// fresh.
func (l *Links) Fed() bool {
	now := l.Timer.Now()
	l.mu.Lock()
	feed := l.feed
	l.mu.Unlock()
	if feed == nil || feed.collections() < collections {
		return false
	}
	age, ok := feed.knowledge(now)
	return ok && age < feedAge
}

// FeederAnswers reports whether another node that should bring the store's rows
// answers, however old its rows are.
func (l *Links) FeederAnswers() bool {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(l.feedOrder, l.Self.Node) {
		return false
	}
	return slices.ContainsFunc(l.feedOrder, func(id snipeford.NodeID) bool {
		one := l.links[id]
		return one != nil && one.healthy(now)
	})
}

// collections is how many collections a feeder brings.
const collections = 3

// membersOf lists all nodes of a view, this one included.
func (l *Links) membersOf(v *directory.View) []home.Candidate {
	members := []home.Candidate{{Node: l.Self.Node, Weight: l.Self.Weight}}
	for id, p := range v.Peers {
		if id != l.Self.Node {
			members = append(members, home.Candidate{Node: id, Weight: p.Weight})
		}
	}
	return members
}
