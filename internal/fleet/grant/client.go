package grant

import (
	"cmp"
	"context"
	"math"
	"net"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/placer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/home"
	"snipeford/internal/operate/decision"
)

const (
	// replyTimeout is how long an entry node waits for the home's reply before it
	// places the request itself. Nodes of one region are a few milliseconds apart.
	replyTimeout = 40 * time.Millisecond
	// reconnectCheckInterval is how often a node checks whether a lost connection to
	// a home is back.
	reconnectCheckInterval = 5 * time.Millisecond
	// standbyPingDivisor is the number of ping intervals between two pings on a
	// link that is not in use, such as to a standby of a home.
	standbyPingDivisor = 10
	// stalenessMargin is how much staler than the freshest candidate's rows the
	// rows of a home may be. It is above the maximum time between two responses of
	// the store, maxOperatorWatchTimeout of package edge.
	stalenessMargin = 2500 * time.Millisecond
	// linksPerService is the number of nodes of a service to which links are kept:
	// the preferred home and the standbys that follow it in the ranking.
	linksPerService = 3
)

// Client keeps links to the homes and feeders of this node, and sends placement
// requests to the homes.
type Client struct {
	Self  directory.Peer
	Loop  *placer.Loop
	Timer *timer.Clock
	Log   *decision.Log
	// Staleness returns the staleness of this node's upstreams and routing, and
	// false if they were never known to be current.
	Staleness func() (time.Duration, bool)

	// Dial connects to the address of a peer. Nil means a TCP connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// PingInterval is the time between two pings. Zero means
	// defaultPingInterval.
	PingInterval time.Duration

	// MaxFeedStaleness limits the staleness of a feeder's rows. Zero means
	// DefaultMaxFeedStaleness.
	MaxFeedStaleness time.Duration
	// TakeoverStaleness is the staleness of a feeder's rows from which on a standby feeder
	// reads the store. Zero means MaxFeedStaleness.
	TakeoverStaleness time.Duration

	// ApplyRows is called with rows from a feeder, and ConfirmRows with the feeder's
	// status and the instant up to which its rows are complete, on a clock that keeps
	// running while the VM is suspended. ConfirmRows returns false if this node lacks
	// rows that the feeder has.
	ApplyRows   func(Rows)
	ConfirmRows func(FeedStatus, snipeford.Instant) bool
	// RowValue returns the value of a row that this node has, or nil. Without it, no deltas
	// are accepted. BaseMissing is called when a delta is for another value; it may be nil.
	RowValue    func(c snipeford.Collection, key string) []byte
	BaseMissing func(c snipeford.Collection)
	// HasDiverged reports whether ConfirmRows has found rows since the last call that
	// differ from the feeder's, and that KnownRevisions no longer states. It may be nil.
	HasDiverged func() bool
	// KnownRevisions returns the revisions of the collections that this node has.
	KnownRevisions func() map[snipeford.Collection]snipeford.Revision
	// MarkLeaving records upstreams that have said in a response that they leave, as
	// another node tells. It returns those that are new to this one. It may be nil.
	MarkLeaving func(node snipeford.NodeID, list []snipeford.LeavingUpstream) (added []snipeford.LeavingUpstream)

	mu  sync.Mutex
	ctx context.Context
	// pendingView is a view that was set before Run, and view the latest one since.
	pendingView *directory.View
	view        *directory.View
	links       map[snipeford.NodeID]*link
	// nodeOrders holds the ranked nodes of each service, the preferred home first,
	// and homes the nodes that this node currently uses as homes.
	nodeOrders map[snipeford.ServiceName][]snipeford.NodeID
	homes      map[snipeford.ServiceName]snipeford.NodeID
	// feeders holds the ranked feeders, and feederLink is the link to the one in use. fedAt
	// is when its rows were last seen to be fresh.
	feeders    feeders
	feederLink *link
	fedAt      snipeford.Instant
	watches    watches
}

// Run keeps the links connected until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	pendingView := c.pendingView
	c.mu.Unlock()
	if pendingView != nil {
		c.SetView(pendingView)
	}
	ticks := c.Timer.Every(ctx, cmp.Or(c.PingInterval, defaultPingInterval))
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			for _, l := range c.allLinks() {
				if n%standbyPingDivisor == 0 || c.inUse(l, now) {
					l.ping(now)
				}
			}
			if n%standbyPingDivisor == 0 {
				c.refreshFeeders()
			}
			c.selectFeeder(now)
		}
	}
}

// inUse reports whether the link leads to a home or to this node's feeder, present or next,
// awaits a pong, or leads to a node that had no current rows at its last pong: one that is
// starting.
func (c *Client) inUse(l *link, now snipeford.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == c.feederLink || l.awaitsPong() || c.needsFeeder(l, now) || !l.isConfirmed() {
		return true
	}
	for _, id := range c.homes {
		if id == l.node {
			return true
		}
	}
	return false
}

func (c *Client) allLinks() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		out = append(out, l)
	}
	return out
}

// SetView updates the links to match the directory's view of the nodes and of the
// services.
func (c *Client) SetView(v *directory.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.pendingView = v
		return
	}
	if v.Plan == nil {
		return
	}
	c.setView(v)
}

// setView updates the links to match a view with a plan. The caller holds mu.
func (c *Client) setView(v *directory.View) {
	c.view = v
	members := c.membersOf(v)
	c.feeders = c.rankFeeders(v)
	c.nodeOrders = map[snipeford.ServiceName][]snipeford.NodeID{}
	wanted := map[snipeford.NodeID]bool{}
	for _, id := range c.feeders.all {
		wanted[id] = id != c.Self.Node
	}
	rank := c.homeRanking(v)
	for service := range v.Usable {
		order := rank(homeKey(v, service), members)
		c.nodeOrders[service] = order
		for _, id := range order[:min(len(order), linksPerService)] {
			wanted[id] = id != c.Self.Node
		}
	}
	c.updateLinks(v, wanted)
}

// homeRanking returns the ranking of homes on which all nodes of a view agree. With two
// rankings a service would have two homes, each of which knows a part of its requests.
func (c *Client) homeRanking(v *directory.View) func(snipeford.ServiceName, []home.Candidate) []snipeford.NodeID {
	for id, p := range v.Peers {
		if id != c.Self.Node && !p.KeepsHomesLarge {
			return home.Spread
		}
	}
	return home.Rank
}

// homeKey returns the service whose homes a service has: those of the first service with
// engines serve all services without engines, so that few links are needed.
func homeKey(v *directory.View, service snipeford.ServiceName) snipeford.ServiceName {
	if v.Plan.Service(service).Engine != nil {
		return service
	}
	key := service
	for name := range v.Usable {
		hasEngine := v.Plan.Service(name).Engine != nil
		if hasEngine && (key == service || name < key) {
			key = name
		}
	}
	return key
}

func (c *Client) updateLinks(v *directory.View, wanted map[snipeford.NodeID]bool) {
	if c.links == nil {
		c.links = map[snipeford.NodeID]*link{}
	}
	for id, l := range c.links {
		if !wanted[id] || v.Peers[id].Address != l.address {
			l.cancel()
			delete(c.links, id)
			c.watches.forget(id)
		}
	}
	for id, want := range wanted {
		if !want {
			continue
		}
		if l := c.links[id]; l != nil {
			l.setPeer(v.Peers[id])
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		l := &link{client: c, node: id, createdAt: c.Timer.Now(), address: v.Peers[id].Address, cancel: cancel}
		l.setPeer(v.Peers[id])
		c.links[id] = l
		go l.run(ctx)
	}
}

// selectHome selects a service's home, and records and logs a change of it. It returns
// the link to the home, or nil if this node is the home or no node qualifies. It sends
// a new home the running requests of this node.
func (c *Client) selectHome(service snipeford.ServiceName) *link {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, node := c.chooseHome(now, c.nodeOrders[service])
	if c.homes == nil {
		c.homes = map[snipeford.ServiceName]snipeford.NodeID{}
	}
	if c.homes[service] != node {
		c.Log.Info("home changed", "Service", service, "From", c.homes[service], "To", node)
		c.homes[service] = node
		if chosen != nil {
			go func() { chosen.notify(Frame{Sync: c.knownToHome()}) }()
		} else {
			go c.Loop.Send(placer.HomeTaken{Service: service})
		}
	}
	return chosen
}

// chooseHome returns the first node of the order that is healthy and whose rows
// are at most stalenessMargin staler than the freshest ones. A home that is cut
// off from the store would place requests on upstreams that have left.
func (c *Client) chooseHome(now snipeford.Instant, order []snipeford.NodeID) (*link, snipeford.NodeID) {
	type candidate struct {
		link      *link
		node      snipeford.NodeID
		staleness time.Duration
	}
	var candidates []candidate
	freshest := time.Duration(math.MaxInt64)
	for _, id := range order {
		var staleness time.Duration
		var ok bool
		l := c.links[id]
		switch {
		case id == c.Self.Node:
			staleness, ok = c.Staleness()
		case l != nil:
			staleness, ok = l.currentStaleness(now)
		}
		if ok {
			candidates = append(candidates, candidate{l, id, staleness})
			freshest = min(freshest, staleness)
		}
	}
	for _, cand := range candidates {
		if cand.staleness <= freshest+stalenessMargin {
			return cand.link, cand.node
		}
	}
	return nil, c.Self.Node
}

// Place requests a placement from the service's home, and places the request on
// this node if the home does not reply in time. It also returns the node that
// decided.
func (c *Client) Place(ctx context.Context, req snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID) {
	req.EntryNode = c.Self.Node
	homeLink := c.selectHome(req.Service)
	if homeLink == nil {
		return c.Loop.Place(ctx, req), c.Self.Node
	}
	sentAt := c.Timer.Now()
	p, result := c.requestFromHome(ctx, homeLink, req)
	if result == homeDisconnected && c.awaitReconnect(ctx, homeLink) {
		p, result = c.requestFromHome(ctx, homeLink, after(req, c.Timer.Now().Sub(sentAt)))
	}
	if result == homeReplied {
		c.Loop.Send(placer.PlacedByOtherNode{Call: snipeford.PlacedCall{Request: req, Placement: p}})
		return p, homeLink.node
	}
	homeLink.cancelRequest(req.RequestID)
	waited := c.Timer.Now().Sub(sentAt)
	if ctx.Err() != nil {
		homeLink.notify(Frame{RequestEnded: &Progress{Service: req.Service, RequestID: req.RequestID}})
		return snipeford.Placement{RequestID: req.RequestID, Refused: true}, homeLink.node
	}
	c.Log.Decided("home did not answer", req.RequestID, "Home", homeLink.node, "WaitedMs", waited.Milliseconds())
	req = after(req, waited)
	req.Substitute = true
	p = c.Loop.Place(ctx, req)
	if !p.Refused {
		homeLink.notify(Frame{PlacedLocally: &snipeford.PlacedCall{Request: req, Placement: p}})
	}
	return p, c.Self.Node
}

// after returns the request with its times reduced by the time that it has waited.
func after(req snipeford.PlacementRequest, waited time.Duration) snipeford.PlacementRequest {
	req.FirstEventTarget = max(0, req.FirstEventTarget-waited)
	req.TimeLeft -= waited
	req.FirstEventTimeout -= waited
	return req
}

// awaitReconnect waits up to replyTimeout until a home whose connection was lost
// responds again. The home knows the requests of all nodes, this node only its own.
func (c *Client) awaitReconnect(ctx context.Context, homeLink *link) bool {
	for waited := time.Duration(0); waited < replyTimeout; waited += reconnectCheckInterval {
		if homeLink.healthy(c.Timer.Now()) {
			return true
		}
		if !c.Timer.Sleep(ctx, reconnectCheckInterval) {
			return false
		}
	}
	return false
}

// homeResult tells how a request to a home ended.
type homeResult int

const (
	homeReplied homeResult = iota
	// homeSilent means that the home did not reply in time or is not healthy.
	homeSilent
	homeDisconnected
)

// requestFromHome sends the request to the home and waits for its placement: up
// to replyTimeout, or, once the home has queued the request, until its first-event
// timeout and for as long as the home stays healthy.
func (c *Client) requestFromHome(ctx context.Context, homeLink *link, req snipeford.PlacementRequest) (snipeford.Placement, homeResult) {
	sentAt := c.Timer.Now()
	replies, err := homeLink.requestPlacement(req)
	if err != nil {
		return snipeford.Placement{}, homeDisconnected
	}
	for queued := false; ; {
		waitCtx, cancel := context.WithTimeout(ctx, replyTimeout)
		select {
		case p, ok := <-replies:
			cancel()
			switch {
			case !ok:
				return p, homeDisconnected
			case !p.Queued:
				return p, homeReplied
			}
			queued = true
		case <-waitCtx.Done():
			cancel()
			if ctx.Err() != nil {
				return snipeford.Placement{}, homeSilent
			}
			if !queued {
				homeLink.markSuspect(c.Timer.Now())
				return snipeford.Placement{}, homeSilent
			}
			if !homeLink.healthy(c.Timer.Now()) || c.Timer.Now().Sub(sentAt) > req.FirstEventTimeout {
				return snipeford.Placement{}, homeSilent
			}
		}
	}
}

// ReportFirstEvent reports a request's first event to the local placer and to the
// home.
func (c *Client) ReportFirstEvent(service snipeford.ServiceName, id snipeford.RequestID, load snipeford.EngineLoad) {
	c.Loop.Send(placer.FirstEventReceived{Service: service, RequestID: id, Load: load})
	if homeLink := c.selectHome(service); homeLink != nil {
		homeLink.notify(Frame{FirstEventReceived: &Progress{Service: service, RequestID: id, Load: load}})
	}
}

// ReportEnd reports the end of a request to the local placer and to the home.
func (c *Client) ReportEnd(service snipeford.ServiceName, id snipeford.RequestID, end snipeford.RequestEnd) {
	c.Loop.Send(placer.RequestEnded{Service: service, RequestID: id, End: end})
	if homeLink := c.selectHome(service); homeLink != nil {
		homeLink.notify(Frame{RequestEnded: &Progress{Service: service, RequestID: id, Failed: end.Failed, FaultUpstream: end.FaultUpstream, Completed: end.Completed, Keys: end.Keys, Age: end.Age}})
	}
}

// ReportCrash reports a request whose engine ended while it ran to the local placer
// and to the home.
func (c *Client) ReportCrash(crash snipeford.UpstreamCrash) {
	homeLink := c.selectHome(crash.Service)
	c.watches.watchOwn(c.Timer.Now(), crash)
	c.Loop.Send(placer.UpstreamCrashed{Crash: crash, Own: true, AtHome: homeLink == nil})
	if homeLink != nil {
		homeLink.notify(Frame{UpstreamCrashed: &crash})
	}
}

// ReportDirectives reports what an upstream asks in a response to the local placer and
// to the home.
func (c *Client) ReportDirectives(report snipeford.DirectivesReport) {
	c.Loop.Send(placer.DirectivesReceived{Report: report})
	if homeLink := c.selectHome(report.Service); homeLink != nil {
		homeLink.notify(Frame{Directives: &report})
	}
}

// knownToHome returns what a new home has to know.
func (c *Client) knownToHome() *placer.Known {
	known := c.Loop.Known()
	return &known
}
