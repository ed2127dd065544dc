package grant

import (
	"cmp"
	"context"
	"math"
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
	// askTimeout is how long a home may take. Nodes of one region are a few
	// milliseconds apart; without an answer the entry node decides itself.
	askTimeout = 40 * time.Millisecond
	// standbyPings is how much seldomer nodes are asked that are neither home nor
	// feeder.
	standbyPings = 10
	// staleMargin is how much older than the freshest one's the knowledge of a
	// home may be. It is above the time between two answers of the store.
	staleMargin = 2500 * time.Millisecond
	// standbys is how many nodes of a service's order are kept connected.
	standbys = 3
)

// Client keeps the connections to the homes and asks them.
type Client struct {
	Self  directory.Peer
	Loop  *placer.Loop
	Timer *timer.Clock
	Log   *decision.Log
	// Staleness returns how old this node's knowledge of upstreams and routing
	// is, and false where it has none.
	Staleness func() (time.Duration, bool)

	// PingInterval is the time between two pings; zero means pingEvery.
	PingInterval time.Duration

	// ApplyRows takes in rows that a feeder brings, and Confirmed the instant, time in
	// suspension included, up to which they are complete.
	ApplyRows   func(Rows)
	ConfirmRows func(snipeford.Instant)

	mu  sync.Mutex
	ctx context.Context
	// early is a view that came before Run.
	early *directory.View
	links map[snipeford.NodeID]*link
	// orders holds the nodes of each service, the home first.
	orders map[snipeford.ServiceName][]snipeford.NodeID
	homes  map[snipeford.ServiceName]snipeford.NodeID
	// feedOrder holds the feeders, and feed is the link to the current one.
	feedOrder []snipeford.NodeID
	feed      *link
}

// Run keeps the links alive until ctx ends.
func (l *Client) Run(ctx context.Context) error {
	l.mu.Lock()
	l.ctx = ctx
	early := l.early
	l.mu.Unlock()
	if early != nil {
		l.SetView(early)
	}
	ticks := l.Timer.Every(ctx, cmp.Or(l.PingInterval, pingEvery))
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			for _, one := range l.all() {
				if n%standbyPings == 0 || l.inUse(one) {
					one.ping(now)
				}
			}
			l.selectFeed(now)
		}
	}
}

// inUse reports whether the link leads to a home or to this node's feeder, or
// has not answered yet.
func (l *Client) inUse(one *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if one == l.feed || one.unanswered() {
		return true
	}
	for _, id := range l.homes {
		if id == one.node {
			return true
		}
	}
	return false
}

func (l *Client) all() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*link, 0, len(l.links))
	for _, one := range l.links {
		out = append(out, one)
	}
	return out
}

// SetView takes in the directory's view: who the nodes are and which services
// have model engines.
func (l *Client) SetView(v *directory.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		l.early = v
		return
	}
	if v.Plan == nil {
		return
	}
	members := l.membersOf(v)
	l.feedOrder = l.feeders(v)
	l.orders = map[snipeford.ServiceName][]snipeford.NodeID{}
	wanted := map[snipeford.NodeID]bool{}
	for _, id := range l.feedOrder {
		wanted[id] = id != l.Self.Node
	}
	for name := range v.Usable {
		if v.Plan.Service(name).Engine == nil {
			continue
		}
		order := home.Rank(name, members)
		l.orders[name] = order
		for _, id := range order[:min(len(order), standbys)] {
			wanted[id] = id != l.Self.Node
		}
	}
	l.connect(v, wanted)
}

func (l *Client) connect(v *directory.View, wanted map[snipeford.NodeID]bool) {
	if l.links == nil {
		l.links = map[snipeford.NodeID]*link{}
	}
	for id, one := range l.links {
		if !wanted[id] || v.Peers[id].Address != one.address {
			one.cancel()
			delete(l.links, id)
		}
	}
	for id, want := range wanted {
		if !want || l.links[id] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		one := &link{links: l, node: id, address: v.Peers[id].Address, cancel: cancel}
		l.links[id] = one
		go one.run(ctx)
	}
}

// homeOf returns the link to a service's home, or nil where this node is it.
func (l *Client) homeOf(name snipeford.ServiceName) *link {
	now := l.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen, node := l.choose(now, l.orders[name])
	if l.homes == nil {
		l.homes = map[snipeford.ServiceName]snipeford.NodeID{}
	}
	if l.homes[name] != node {
		l.Log.Believed("home changed", "Service", name, "From", l.homes[name], "To", node)
		l.homes[name] = node
		if chosen != nil {
			go func() { chosen.tell(Frame{Sync: &Sync{l.Loop.PlacedCalls()}}) }()
		}
	}
	return chosen
}

// choose returns the first node of the order that answers and whose knowledge
// is not much older than the freshest one's: a home that is cut off from the
// store would place requests on upstreams that have left.
func (l *Client) choose(now snipeford.Instant, order []snipeford.NodeID) (*link, snipeford.NodeID) {
	type candidate struct {
		link *link
		node snipeford.NodeID
		age  time.Duration
	}
	var list []candidate
	freshest := time.Duration(math.MaxInt64)
	for _, id := range order {
		var age time.Duration
		var ok bool
		one := l.links[id]
		switch {
		case id == l.Self.Node:
			age, ok = l.Staleness()
		case one != nil:
			age, ok = one.knowledge(now)
		}
		if ok {
			list = append(list, candidate{one, id, age})
			freshest = min(freshest, age)
		}
	}
	for _, c := range list {
		if c.age <= freshest+staleMargin {
			return c.link, c.node
		}
	}
	return nil, l.Self.Node
}

// Place asks the service's home for a place, and decides here where it does
// not answer in time. It returns which node decided.
func (l *Client) Place(ctx context.Context, ask snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID) {
	ask.EntryNode = l.Self.Node
	at := l.homeOf(ask.Service)
	if at == nil {
		return l.Loop.Place(ctx, ask), l.Self.Node
	}
	asked := l.Timer.Now()
	if p, ok := l.askHome(ctx, at, ask); ok {
		l.Loop.Send(placer.PlacedRemotely{Call: snipeford.PlacedCall{Request: ask, Placement: p}})
		return p, at.node
	}
	at.cancelAsk(ask.RequestID)
	waited := l.Timer.Now().Sub(asked)
	if ctx.Err() != nil {
		at.tell(Frame{RequestEnded: &Progress{Service: ask.Service, RequestID: ask.RequestID}})
		return snipeford.Placement{RequestID: ask.RequestID, Refused: true}, at.node
	}
	l.Log.Decided("home did not answer", ask.RequestID, "Home", at.node, "WaitedMs", waited.Milliseconds())
	ask.FirstEventTarget, ask.TimeLeft, ask.FirstEventTimeout = max(0, ask.FirstEventTarget-waited), ask.TimeLeft-waited, ask.FirstEventTimeout-waited
	p := l.Loop.Place(ctx, ask)
	if !p.Refused {
		at.tell(Frame{PlacedLocally: &snipeford.PlacedCall{Request: ask, Placement: p}})
	}
	return p, l.Self.Node
}

// askHome waits for the home's answer: for a short time, or, once the home has
// said that the request waits, as long as the home stays healthy.
func (l *Client) askHome(ctx context.Context, at *link, ask snipeford.PlacementRequest) (snipeford.Placement, bool) {
	asked := l.Timer.Now()
	answers, err := at.ask(ask)
	if err != nil {
		return snipeford.Placement{}, false
	}
	for queued := false; ; {
		timeout, cancel := context.WithTimeout(ctx, askTimeout)
		select {
		case p, ok := <-answers:
			cancel()
			if !ok || !p.Queued {
				return p, ok
			}
			queued = true
		case <-timeout.Done():
			cancel()
			if ctx.Err() != nil {
				return snipeford.Placement{}, false
			}
			if !queued {
				at.suspect(l.Timer.Now())
				return snipeford.Placement{}, false
			}
			if !at.healthy(l.Timer.Now()) || l.Timer.Now().Sub(asked) > ask.FirstEventTimeout {
				return snipeford.Placement{}, false
			}
		}
	}
}

// Began tells the home and the own books of a request's first event.
func (l *Client) Began(name snipeford.ServiceName, call snipeford.RequestID, load snipeford.EngineLoad) {
	l.Loop.Send(placer.FirstEventReceived{Service: name, RequestID: call, Load: load})
	if at := l.homeOf(name); at != nil {
		at.tell(Frame{FirstEventReceived: &Progress{Service: name, RequestID: call, Load: load}})
	}
}

// Ended tells the home and the own books of a request's end.
func (l *Client) Ended(name snipeford.ServiceName, call snipeford.RequestID, failed bool, fault snipeford.UpstreamID) {
	l.Loop.Send(placer.RequestEnded{Service: name, RequestID: call, Failed: failed, FaultUpstream: fault})
	if at := l.homeOf(name); at != nil {
		at.tell(Frame{RequestEnded: &Progress{Service: name, RequestID: call, Failed: failed, FaultUpstream: fault}})
	}
}
