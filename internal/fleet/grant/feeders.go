package grant

import (
	"slices"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/fleet/home"
)

const (
	// nodesPerActiveFeeder is how many nodes of a failure domain one active feeder serves.
	// A change of an upstream's row is about 0.5 KB as a frame, so that one to 63 nodes
	// takes 13 ms of a link of 20 Mbit/s.
	nodesPerActiveFeeder = 64
	// standbyFeeders is the number of standby feeders of a failure domain. The nodes of a
	// domain all read the store while all feeders are lost, for lostFeederTime; with three, a
	// loss of one node in four leaves a feeder in all but one of 256 cases.
	standbyFeeders = 3
	// maxRankedFeeders limits how many nodes of the order may be skipped or chosen, since a
	// node keeps links to them.
	maxRankedFeeders = 12
	// lostFeederTime is how long a node has given no pong when the next one in the order
	// takes its place. Rows of replaced nodes stay in the store. A restart takes less.
	lostFeederTime = 5 * time.Second
	// handoverTime is how long a node that has lost its feeder waits for the rows of the
	// next one: a frozen feeder is noticed after pongTimeout and a ping interval; the next
	// one notices no later, reads the store, and sends its rows with the next pong.
	handoverTime = 600 * time.Millisecond
)

// feeders are the feeders of this node's failure domain, as this node sees them.
type feeders struct {
	// all holds the feeders, active and standby, and the lost nodes that rank before them.
	all []snipeford.NodeID
	// follow holds the feeders whose rows this node may use, in its order of preference. It
	// is empty on an active feeder, and on a standby feeder it holds only the active ones
	// and those that rank before it, so that rows never loop.
	follow []snipeford.NodeID
	// standby reports whether this node is a standby feeder.
	standby bool
}

// rankFeeders returns the feeders of this node's failure domain. An active feeder watches
// the store and forwards its rows to the other nodes of the domain. Standby feeders do the
// same once no feeder before them is fresh. Rows are never sent between failure domains,
// since that traffic is expensive.
func (c *Client) rankFeeders(v *directory.View) feeders {
	sameDomain := []home.Candidate{{Node: c.Self.Node, Weight: c.Self.ProcessorShare}}
	for id, p := range v.Peers {
		if id == c.Self.Node || p.Domain != c.Self.Domain {
			continue
		}
		if !p.HasStandbyFeeders {
			return c.rankActiveFeeders(v)
		}
		sameDomain = append(sameDomain, home.Candidate{Node: id, Weight: p.ProcessorShare})
	}
	// A feeder that falls behind makes the rows of its domain late, as a home does the
	// requests of its service, so that both are large nodes.
	order := home.Rank(feederRankKey, sameDomain)
	active := 1 + len(order)/nodesPerActiveFeeder
	chosen, f := []snipeford.NodeID{}, feeders{}
	for _, id := range order[:min(len(order), maxRankedFeeders)] {
		if len(chosen) == active+standbyFeeders {
			break
		}
		// Links to lost nodes are kept, to notice their return.
		if f.all = append(f.all, id); !c.isLost(id) {
			chosen = append(chosen, id)
		}
	}
	active = min(active, len(chosen))
	rank := slices.Index(chosen, c.Self.Node)
	if rank >= 0 && rank < active {
		return f
	}
	f.standby = rank >= 0
	f.follow = home.Spread(feederRankKey+snipeford.ServiceName("|"+c.Self.Node), equalWeightMembers(chosen[:active]))
	for i, id := range chosen[active:] {
		if rank < 0 || active+i < rank {
			f.follow = append(f.follow, id)
		}
	}
	return f
}

// isLost reports whether a node has given no pong for lostFeederTime. The caller holds mu.
func (c *Client) isLost(id snipeford.NodeID) bool {
	l := c.links[id]
	return l != nil && l.isLost(c.Timer.Now())
}

// refreshFeeders ranks the feeders again, since a node may have been lost or have returned.
func (c *Client) refreshFeeders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != nil && !c.feeders.equal(c.rankFeeders(c.view)) {
		c.setView(c.view)
	}
}

func (f feeders) equal(other feeders) bool {
	return f.standby == other.standby && slices.Equal(f.all, other.all) && slices.Equal(f.follow, other.follow)
}

// rankActiveFeeders is the ranking on which nodes of earlier versions agree, in which all
// feeders are active.
func (c *Client) rankActiveFeeders(v *directory.View) feeders {
	sameDomain := []home.Candidate{{Node: c.Self.Node, Weight: c.Self.ProcessorShare}}
	for id, p := range v.Peers {
		if id != c.Self.Node && p.Domain == c.Self.Domain && p.StatesRevisions {
			sameDomain = append(sameDomain, home.Candidate{Node: id, Weight: p.ProcessorShare})
		}
	}
	feederCount := 1 + len(sameDomain)/nodesPerFeeder
	order := home.Spread(feederRankKey, sameDomain)
	f := feeders{all: order[:min(feederCount, len(order))]}
	if !slices.Contains(f.all, c.Self.Node) {
		f.follow = home.Spread(feederRankKey+snipeford.ServiceName("|"+c.Self.Node), equalWeightMembers(f.all))
	}
	return f
}

func equalWeightMembers(nodes []snipeford.NodeID) []home.Candidate {
	var out []home.Candidate
	for _, id := range nodes {
		out = append(out, home.Candidate{Node: id, Weight: 1})
	}
	return out
}

// feedLimit returns the staleness up to which this node uses a feeder's rows. The caller
// holds mu.
func (c *Client) feedLimit() time.Duration {
	if c.feeders.standby {
		return c.takeoverStaleness()
	}
	return c.maxFeedStaleness()
}

// selectFeeder selects the feeder that sends the store's rows to this node, and subscribes
// to it alone. A feeder that a standby feeder would take over from is used only if there is
// no better one.
func (c *Client) selectFeeder(now snipeford.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooseFeeder(now)
}

// feederPonged selects a feeder at the pong of a peer, if this node has none, or one from
// which a standby feeder takes over.
func (c *Client) feederPonged(now snipeford.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.feeders.follow) > 0 && c.freshFeeder(now, c.takeoverStaleness()) != c.feederLink {
		c.chooseFeeder(now)
	}
}

func (c *Client) chooseFeeder(now snipeford.Instant) {
	if c.feederLink = c.freshFeeder(now, c.takeoverStaleness()); c.feederLink == nil {
		c.feederLink = c.freshFeeder(now, c.feedLimit())
	}
	if c.feederLink == nil {
		return
	}
	c.feederLink.subscribe()
	for id, l := range c.links {
		if l != c.feederLink && !(slices.Contains(c.feeders.follow, id) && !c.feederLink.isComplete()) {
			l.unsubscribe()
		}
	}
}

// freshFeeder returns the link to the preferred feeder below a staleness, or nil. The
// caller holds mu.
func (c *Client) freshFeeder(now snipeford.Instant, limit time.Duration) *link {
	for _, id := range c.feeders.follow {
		l := c.links[id]
		if l == nil {
			continue
		}
		if staleness, ok := l.currentStaleness(now); ok && staleness < limit {
			return l
		}
	}
	return nil
}

// HasFreshFeed reports whether a feeder has sent this node all collections of
// the store, and this node has all rows that the feeder has, which are fresh.
func (c *Client) HasFreshFeed() bool {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.feederLink == nil || !c.feederLink.isComplete() {
		return false
	}
	staleness, ok := c.feederLink.currentStaleness(now)
	if !ok || staleness >= c.feedLimit() {
		return false
	}
	c.fedAt = now
	return true
}

// HandsOver reports whether this node waits for the rows of its next feeder: it was fed
// until just now, its rows are fresh, and another feeder responds whose rows are fresh as far
// as is known. It would otherwise call the store, together with all nodes that have lost the
// same feeder.
func (c *Client) HandsOver() bool {
	now := c.Timer.Now()
	staleness, ok := c.Staleness()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.feedLimit()
	if c.fedAt == 0 || now.Sub(c.fedAt) > handoverTime || !ok || staleness >= limit {
		return false
	}
	return slices.ContainsFunc(c.feeders.follow, func(id snipeford.NodeID) bool {
		l := c.links[id]
		return l != nil && l.mayBeFresh(now, limit)
	})
}

// FeederHealthy reports whether any feeder of this node responds, however stale
// its rows are. It is false on an active feeder.
func (c *Client) FeederHealthy() bool {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.feederHealthy(now)
}

func (c *Client) feederHealthy(now snipeford.Instant) bool {
	return slices.ContainsFunc(c.feeders.follow, func(id snipeford.NodeID) bool {
		l := c.links[id]
		return l != nil && l.healthy(now)
	})
}

// FollowedFeeders returns the number of feeders whose rows this node may use.
func (c *Client) FollowedFeeders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.feeders.follow)
}

// IsStandbyFeeder reports whether this node is a standby feeder.
func (c *Client) IsStandbyFeeder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.feeders.standby
}

// needsFeeder reports whether a link leads to a feeder that may be the next one of this
// node, which has none that is fresh. The caller holds mu.
func (c *Client) needsFeeder(l *link, now snipeford.Instant) bool {
	return slices.Contains(c.feeders.follow, l.node) && c.freshFeeder(now, c.takeoverStaleness()) == nil
}
