package grant

import (
	"cmp"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/fleet/home"
)

const (
	// maxQueuedFrames limits the frames queued for a slow subscriber. If the
	// queue is full, the connection is closed and the subscriber starts over.
	maxQueuedFrames = 128
	// nodesPerFeeder is how many nodes of a failure domain one feeder serves beside nodes
	// of earlier versions.
	nodesPerFeeder = 16
	// DefaultMaxFeedStaleness limits the staleness of a feeder's rows. It is above the
	// maximum time between two responses of the store, maxOperatorWatchTimeout of
	// package edge, and well below relay.Server.MaxKeyAge, the staleness at which
	// API keys are no longer accepted.
	DefaultMaxFeedStaleness = 2200 * time.Millisecond
)

// feederRankKey takes the place of the service name when feeders are ranked. It is
// part of the hashed text, so that all nodes must use the same key.
const feederRankKey snipeford.ServiceName = "rows of the store"

// SubscribeFunc calls push with the present rows, except for collections that have not
// changed since the known revision, and then with each change, until the returned
// function is called. The push function must not block.
type SubscribeFunc func(known map[snipeford.Collection]snipeford.Revision, push func(Rows)) (cancel func())

// feedWriter sends rows to one subscriber. It sends each pong after the rows that
// the pong confirms.
type feedWriter struct {
	conn   *frameConn
	frames chan Frame
	// sent is called with the size of rows to send; it may be nil.
	sent func(c snipeford.Collection, asDelta bool, bytes int)

	mu      sync.Mutex
	started bool
	stopped bool
	cancel  func()
}

// start starts the subscription, in the place of an earlier one. Calls must not overlap.
func (f *feedWriter) start(s Subscribe, subscribe SubscribeFunc) {
	f.mu.Lock()
	first, earlier := !f.started, f.cancel
	f.started, f.cancel = true, nil
	f.mu.Unlock()
	if first {
		go f.write()
	}
	if earlier != nil {
		earlier()
	}
	if s.Ends {
		return
	}
	cancel := subscribe(s.Revisions, func(r Rows) {
		if r, ok := r.forPeer(s); ok {
			if f.sent != nil {
				f.sent(r.Collection, len(r.Deltas) > 0, r.size())
			}
			f.enqueue(Frame{Rows: &r})
		}
	})
	f.mu.Lock()
	f.cancel = cancel
	stopped := f.stopped
	f.mu.Unlock()
	if stopped {
		cancel()
	}
}

// sendPong sends a pong. If the peer has subscribed, the pong follows all rows
// queued so far, and states their revisions.
func (f *feedWriter) sendPong(p *Pong) error {
	f.mu.Lock()
	started := f.started
	f.mu.Unlock()
	if !started {
		p.Revisions, p.Digests = nil, nil
		return f.conn.send(Frame{Pong: p})
	}
	f.enqueue(Frame{Pong: p})
	return nil
}

// enqueue never blocks. If the queue is full because the subscriber does not
// read, it closes the connection.
func (f *feedWriter) enqueue(frame Frame) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	select {
	case f.frames <- frame:
	default:
		f.conn.close()
	}
}

func (f *feedWriter) write() {
	for frame := range f.frames {
		// On an error the connection is closed, and its reader logs why it ended.
		if f.conn.send(frame) != nil {
			return
		}
	}
}

// stop ends the subscription. It must be called only once.
func (f *feedWriter) stop() {
	f.mu.Lock()
	cancel := f.cancel
	f.stopped = true
	close(f.frames)
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// NewestRouting returns the highest version of the routing that is in force at a peer
// that responds, or zero if none does. Peers of earlier builds, which put invalid routings
// into force, do not count.
func (c *Client) NewestRouting() snipeford.Version {
	now, newest := c.Timer.Now(), snipeford.Version(0)
	for _, l := range c.allLinks() {
		if l.countsForRouting() && l.healthy(now) {
			newest = max(newest, l.routingVersion())
		}
	}
	return newest
}

func (c *Client) maxFeedStaleness() time.Duration {
	return cmp.Or(c.MaxFeedStaleness, DefaultMaxFeedStaleness)
}

func (c *Client) takeoverStaleness() time.Duration {
	return cmp.Or(c.TakeoverStaleness, c.maxFeedStaleness())
}

// membersOf returns all nodes of a view, including this one.
func (c *Client) membersOf(v *directory.View) []home.Candidate {
	members := []home.Candidate{{Node: c.Self.Node, Weight: c.Self.ProcessorShare}}
	for id, p := range v.Peers {
		if id != c.Self.Node {
			members = append(members, home.Candidate{Node: id, Weight: p.ProcessorShare})
		}
	}
	return members
}
