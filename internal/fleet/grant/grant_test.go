package grant_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/placer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/grant"
	"snipeford/internal/fleet/home"
	"snipeford/internal/operate/decision"
	"snipeford/internal/rule/plan"
)

// node is one node of a small fleet.
type node struct {
	links *grant.Links
	loop  *placer.Loop
	stop  context.CancelFunc
	age   atomic.Int64
	// rows and confirmed count what feeders brought.
	rows, confirmed atomic.Int64
}

// knowledge is how old the node says its knowledge is.
func (n *node) knowledge() time.Duration { return time.Duration(n.age.Load()) }

func profile() *snipeford.EngineProfile {
	return &snipeford.EngineProfile{Slots: 16, Memory: 300_000, StepTime: time.Millisecond, PrefillRate: 100_000, PrefillChunk: 2_000, DecodeStepsPerPass: 50}
}

func view(peers map[snipeford.NodeID]directory.Peer) *directory.View {
	r := snipeford.Routing{Version: 1, Services: []snipeford.ServiceProfile{{Name: "s", Engine: profile()}}}
	var usable []directory.Upstream
	for _, id := range []snipeford.UpstreamID{"e0", "e1", "e2", "e3"} {
		usable = append(usable, directory.Upstream{Upstream: snipeford.Upstream{ID: id}})
	}
	return &directory.View{Plan: plan.New(r), Usable: map[snipeford.ServiceName][]directory.Upstream{"s": usable}, Peers: peers}
}

// start runs nodes. The silent one accepts connections and says nothing.
func start(t testing.TB, names []snipeford.NodeID, silent snipeford.NodeID) map[snipeford.NodeID]*node {
	t.Helper()
	return startPinging(t, names, silent, 0)
}

// startPinging runs nodes with a time between pings; zero is the usual one.
func startPinging(t testing.TB, names []snipeford.NodeID, silent snipeford.NodeID, pings time.Duration) map[snipeford.NodeID]*node {
	t.Helper()
	peers := map[snipeford.NodeID]directory.Peer{}
	listeners := map[snipeford.NodeID]net.Listener{}
	for _, name := range names {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = l
		peers[name] = directory.Peer{Node: name, Address: l.Addr().String(), Weight: 1}
	}
	nodes := map[snipeford.NodeID]*node{}
	for _, name := range names {
		if name == silent {
			go swallow(listeners[name])
			t.Cleanup(func() { _ = listeners[name].Close() })
			continue
		}
		nodes[name] = startNode(t, peers[name], peers, listeners[name], pings)
	}
	time.Sleep(400 * time.Millisecond)
	return nodes
}

// swallow accepts connections and never answers, as a frozen process does.
func swallow(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}

func startNode(t testing.TB, self directory.Peer, peers map[snipeford.NodeID]directory.Peer, l net.Listener, pings time.Duration) *node {
	t.Helper()
	clock := &timer.Clock{}
	n := &node{}
	journal := decision.New(self.Node, log.InfoLevel, clock)
	loop := placer.New(self.Node, clock)
	server := &grant.Server{Loop: loop, Timer: clock, Log: journal, Knowledge: func() (snipeford.Version, time.Duration, bool) { return 1, n.knowledge(), true }}
	loop.Deliver = server.Deliver
	server.Subscribe = func(push func(grant.Rows)) func() {
		for _, c := range []snipeford.Collection{snipeford.OperatorRows, snipeford.UpstreamRows, snipeford.MemberRows} {
			push(grant.Rows{Collection: c, Batch: snipeford.Batch{Snapshot: true, Version: 7}})
		}
		return func() {}
	}
	links := &grant.Links{PingEvery: pings, Self: self, Loop: loop, Timer: clock, Log: journal, Knowledge: func() (time.Duration, bool) { return n.knowledge(), true }}
	links.Rows = func(grant.Rows) { n.rows.Add(1) }
	links.Confirmed = func(snipeford.Instant) {
		if n.rows.Load() < 3 {
			t.Error("got a confirmation before the rows that it confirms, want it behind them")
		}
		n.confirmed.Add(1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = loop.Run(ctx) }()
	go func() { _ = links.Run(ctx) }()
	go func() { _ = server.Serve(ctx, l) }()
	go func() { _ = journal.Run(ctx, io.Discard) }()
	loop.Send(placer.DirectoryChanged{View: view(peers)})
	links.View(view(peers))
	n.links, n.loop, n.stop = links, loop, cancel
	return n
}

func ask(call string) snipeford.PlacementRequest {
	return snipeford.PlacementRequest{RequestID: snipeford.RequestID(call), Service: "s", Prompt: 1_000, ExpectedOutput: 100, FirstEventTarget: time.Second, EventGapTarget: time.Second, TimeLeft: 5 * time.Second, StreamIdleTimeout: 4 * time.Second, FirstEventTimeout: 4 * time.Second}
}

var names = []snipeford.NodeID{"n1", "n2", "n3"}

func order() []snipeford.NodeID {
	var members []home.Candidate
	for _, n := range names {
		members = append(members, home.Candidate{Node: n, Weight: 1})
	}
	return home.Rank("s", members)
}

func TestOneHomeDecidesForAll(t *testing.T) {
	nodes := start(t, names, "")
	want := order()[0]
	for name, n := range nodes {
		p, by := n.links.Place(context.Background(), ask("from-"+string(name)))
		if p.Refused || by != want {
			t.Errorf("%s: got %+v by %s, want a place by %s", name, p, by, want)
		}
	}
	t.Run("and knows what runs", func(t *testing.T) {
		last := order()[2]
		nodes[last].links.Ended("s", "from-"+snipeford.RequestID(last), false, "")
		if got := len(nodes[last].loop.PlacedCalls()); got != 0 {
			t.Errorf("got %d requests after their end, want none", got)
		}
	})
}

// TestNodesAgreeOnceConnected answers a start of all nodes at once: until they
// agree on a home, each places by its own books.
func TestNodesAgreeOnceConnected(t *testing.T) {
	nodes := startPinging(t, names, "", time.Hour)
	for name, n := range nodes {
		if p, by := n.links.Place(context.Background(), ask("from-"+string(name))); p.Refused || by != order()[0] {
			t.Errorf("%s: got %+v by %s, want a place by %s before any turn of pings", name, p, by, order()[0])
		}
	}
}

func TestSilentHomeCostsLittle(t *testing.T) {
	frozen := order()[0]
	nodes := start(t, names, frozen)
	for name, n := range nodes {
		begin := time.Now()
		p, by := n.links.Place(context.Background(), ask("a-"+string(name)))
		if p.Refused || by == frozen {
			t.Errorf("%s: got %+v by %s, want a place by another node", name, p, by)
		}
		if took := time.Since(begin); took > 300*time.Millisecond {
			t.Errorf("%s: got a place after %v, want it within 300 ms", name, took)
		}
	}
}

func TestHomeThatDies(t *testing.T) {
	nodes := start(t, names, "")
	first, second := order()[0], order()[1]
	nodes[first].stop()
	time.Sleep(700 * time.Millisecond)
	p, by := nodes[order()[2]].links.Place(context.Background(), ask("after"))
	if p.Refused || by != second {
		t.Errorf("got %+v by %s, want a place by the next node %s", p, by, second)
	}
}

// TestHomeThatKnowsTooLittle answers a home that is cut off from the store: it
// places requests on upstreams that have left.
func TestHomeThatKnowsTooLittle(t *testing.T) {
	nodes := start(t, names, "")
	first, second, third := order()[0], order()[1], order()[2]
	nodes[first].age.Store(int64(8 * time.Second))
	time.Sleep(1300 * time.Millisecond)
	for _, name := range []snipeford.NodeID{first, third} {
		if p, by := nodes[name].links.Place(context.Background(), ask("late-"+string(name))); p.Refused || by != second {
			t.Errorf("%s: got %+v by %s, want a place by %s", name, p, by, second)
		}
	}
	t.Run("unless all know as little", func(t *testing.T) {
		for _, n := range nodes {
			n.age.Store(int64(9 * time.Second))
		}
		time.Sleep(1300 * time.Millisecond)
		if p, by := nodes[third].links.Place(context.Background(), ask("outage")); p.Refused || by != first {
			t.Errorf("got %+v by %s, want a place by %s", p, by, first)
		}
	})
}

func TestQueuedRequestWaitsForItsPlace(t *testing.T) {
	nodes := start(t, names, "")
	first, last := nodes[order()[0]], nodes[order()[2]]
	for i := range 4 * profile().Slots {
		call := "busy" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		if p, _ := first.links.Place(context.Background(), ask(call)); p.Refused {
			t.Fatalf("got %+v, want a place", p)
		}
		first.links.Began("s", snipeford.RequestID(call), snipeford.EngineLoad{})
	}
	time.AfterFunc(200*time.Millisecond, func() { first.links.Ended("s", "busy00", false, "") })
	begin := time.Now()
	p, by := last.links.Place(context.Background(), ask("waits"))
	if took := time.Since(begin); p.Refused || by != order()[0] || took < 150*time.Millisecond {
		t.Errorf("got %+v by %s after %v, want the home's place once one is free", p, by, took)
	}
}

// TestRowsOfTheStoreAreShared answers a fleet in which each node reads the
// store: calls grow with the nodes.
func TestRowsOfTheStoreAreShared(t *testing.T) {
	many := []snipeford.NodeID{"n1", "n2", "n3", "n4", "n5", "n6"}
	nodes := start(t, many, "")
	fed := 0
	for _, n := range nodes {
		if n.links.Fed() {
			fed++
			if n.rows.Load() < 3 || n.confirmed.Load() == 0 {
				t.Errorf("got %d collections and %d confirmations, want 3 and some", n.rows.Load(), n.confirmed.Load())
			}
		}
	}
	if fed != 5 {
		t.Errorf("got %d nodes that are fed, want 5 of 6 in one failure domain", fed)
	}
	t.Run("but not by one that knows too little", func(t *testing.T) {
		for _, n := range nodes {
			n.age.Store(int64(4 * time.Second))
		}
		time.Sleep(1300 * time.Millisecond)
		for name, n := range nodes {
			if n.links.Fed() {
				t.Errorf("%s: got fed by old rows, want none", name)
			}
		}
	})
}

// lines counts the lines written to it that name a message.
type lines struct {
	message string
	count   atomic.Int64
}

func (l *lines) Write(p []byte) (int, error) {
	l.count.Add(int64(strings.Count(string(p), l.message)))
	return len(p), nil
}

// TestLostPeerIsLoggedOnce answers rows of nodes that are gone: each try to
// connect wrote a line.
func TestLostPeerIsLoggedOnce(t *testing.T) {
	clock := &timer.Clock{}
	journal := decision.New("n1", log.InfoLevel, clock)
	peers := map[snipeford.NodeID]directory.Peer{"n1": {Node: "n1"}, "n2": {Node: "n2", Address: "127.0.0.1:1"}}
	l := &grant.Links{Self: peers["n1"], Loop: placer.New("n1", clock), Timer: clock, Log: journal, Knowledge: func() (time.Duration, bool) { return 0, true }}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	l.View(view(peers))
	told := &lines{message: "peer not connected"}
	go func() { _ = journal.Run(ctx, told) }()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := told.count.Load(); got != 1 {
		t.Errorf("got %d lines, want 1", got)
	}
}

// BenchmarkPlace measures what asking the home adds to a decision, over
// loopback.
func BenchmarkPlace(b *testing.B) {
	nodes := startPinging(b, names, "", 0)
	for role, name := range map[string]snipeford.NodeID{"at the home": order()[0], "at another node": order()[2]} {
		b.Run(role, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				call := snipeford.RequestID("bench-" + string(name) + "-" + strconv.Itoa(i))
				if p, by := nodes[name].links.Place(context.Background(), ask(string(call))); p.Refused || by != order()[0] {
					b.Fatalf("got %+v by %s, want a place by the home", p, by)
				}
				nodes[name].links.Ended("s", call, false, "")
			}
		})
	}
}
