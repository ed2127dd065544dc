package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

const (
	concurrentCutFaults = 3
	// cutNoticeTime is the time from the start of a cut from which on the requests at
	// its nodes are counted, too, for a stricter figure that is only printed.
	cutNoticeTime = time.Second
	// allowedCutFailures and allowedCutFailureShare are the failed requests at nodes
	// without links that are no violation, the latter as a share of all requests.
	allowedCutFailures     = 10
	allowedCutFailureShare = 0.02
	// minCutShare is the share of requests that nodes without links have to serve,
	// relative to the others.
	minCutShare = 2.0 / 3
	// minUncutShare is the share that the other nodes have to serve, relative to the same
	// seed without cuts.
	minUncutShare = 0.95
	// maxArrivalsAfterLeaving is the number of requests that may reach replicas later
	// than leaveNoticeTime after their client has left.
	maxArrivalsAfterLeaving = 3
	leaveNoticeTime         = 500 * time.Millisecond
	// maxRefusalTime is how long a request may be held before it is refused although no
	// node reaches a replica.
	maxRefusalTime = 1700 * time.Millisecond
	leavePercent   = 5
)

// cutFaults are the kinds of faults beside which links are cut. A seed selects them by
// index.
var cutFaults = []fault{
	{"cut", func(ctx context.Context, f *fleet, rng *rand.Rand) { f.cutSome(ctx, rng, 4000, 9000) }},
	{"short cut", func(ctx context.Context, f *fleet, rng *rand.Rand) { f.cutSome(ctx, rng, 200, 1500) }},
	{"cut", func(ctx context.Context, f *fleet, rng *rand.Rand) { f.cutSome(ctx, rng, 4000, 9000) }},
	{"stop", stopOne},
	{"crash", crashOne},
	{"cut series", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		for range 2 + rng.IntN(2) {
			f.cutSome(ctx, rng, 500, 4000)
			sleepRandom(ctx, rng, 20, 600)
		}
	}},
	{"kill", killOne},
	{"freeze", freezeOne(1500)},
	{"store cut", relayFault(randomStoreRelay, disconnect, 300, 2000)},
	{"hang up", hangUp},
	{"configuration", configure},
}

func crashOne(ctx context.Context, f *fleet, rng *rand.Rand) {
	h := f.randomUpstream(rng)
	if r := h.current(); !r.Down.Load() {
		f.crash(h, r.Replica)
	}
	sleepRandom(ctx, rng, 500, 2000)
}

// takeDown makes the VM of the replica reset and refuse all connections.
func (h *upstreamHost) takeDown() {
	h.relay.Refuse()
	for _, l := range h.links {
		// A failure leaves a link up, so that its node gets responses of no replica.
		_ = l.SetDown(true)
	}
}

func (h *upstreamHost) bringUp() error {
	for _, l := range h.links {
		if err := l.SetDown(false); err != nil {
			return err
		}
	}
	return h.relay.Listen()
}

// nodeDomain returns the failure domain of a node. In a run with links, each node has its
// own: nodes of one domain pass the store's rows on to each other, and their links to
// the replicas have different addresses.
func (f *fleet) nodeDomain(i int) string {
	if f.hasLinks() {
		return fmt.Sprint("d", i)
	}
	return failureDomain(i)
}

func (f *fleet) startLinks(h *upstreamHost) error {
	addresses, err := f.addresses(f.plan.Nodes)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		target, err := f.serve(standin.ReachedFrom(callerName(i), h))
		if err != nil {
			return err
		}
		l, err := standin.StartLink(address, target)
		if err != nil {
			return err
		}
		h.links = append(h.links, l)
		f.closers = append(f.closers, l.Close)
	}
	return nil
}

// storeHandler returns the store as a node sees it. In a run with links, it shows each node
// the addresses of its own.
func (f *fleet) storeHandler(i int) http.Handler {
	if f.hasLinks() {
		return f.store.HandlerFor(callerName(i), standin.SeenThrough(func(r standin.Row) *standin.Link { return f.linkOf(i, r) }))
	}
	return f.store.HandlerFor(callerName(i), nil)
}

func (f *fleet) linkOf(i int, r standin.Row) *standin.Link {
	for _, h := range f.upstreams {
		if slices.ContainsFunc(h.replicas.all(), func(s startedReplica) bool { return s.ID == r.Key }) {
			return h.links[i]
		}
	}
	return nil
}

// cut is a period in which a node has no links to replicas, or, if it is partial, to half
// of them.
type cut struct {
	node        *node
	kind        standin.Cut
	partial     bool
	from, until snipeford.Instant
}

// cutLog records cuts. Cuts of the same links can overlap; a link is whole when the last
// of them is over.
type cutLog struct {
	mu    sync.Mutex
	list  []cut
	depth map[*standin.Link]int
}

// cutSome cuts the links of one node, of half of the nodes, or now and then of all, to
// all replicas, or now and then to half of them, for a while.
func (f *fleet) cutSome(ctx context.Context, rng *rand.Rand, minMilliseconds, maxMilliseconds int) {
	count := 1
	switch n := rng.IntN(10); {
	case n == 0:
		count = len(f.nodes)
	case n < 6:
		count = max(1, len(f.nodes)/2)
	}
	partial := rng.IntN(6) == 0
	kind := standin.Cut(1 + rng.IntN(standin.CutKinds))
	nodes := rng.Perm(len(f.nodes))[:count]
	if f.plan.WithoutCuts {
		kind = standin.NoCut
	}
	from := f.clock.Now()
	links := f.linksOf(nodes, partial)
	f.cuts.begin(links, kind)
	sleepRandom(ctx, rng, minMilliseconds, maxMilliseconds)
	f.cuts.end(links)
	if kind == standin.NoCut {
		return
	}
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	for _, i := range nodes {
		f.cuts.list = append(f.cuts.list, cut{f.nodes[i], kind, partial, from, f.clock.Now()})
	}
}

func (f *fleet) linksOf(nodes []int, partial bool) []*standin.Link {
	var out []*standin.Link
	for k, h := range f.upstreams {
		for _, i := range nodes {
			if !partial || k%2 == 0 {
				out = append(out, h.links[i])
			}
		}
	}
	return out
}

func (c *cutLog) begin(links []*standin.Link, kind standin.Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.depth == nil {
		c.depth = map[*standin.Link]int{}
	}
	for _, l := range links {
		c.depth[l]++
		// A failure leaves the link whole, which makes the run easier for its node.
		_ = l.SetCut(kind)
	}
}

func (c *cutLog) end(links []*standin.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range links {
		if c.depth[l]--; c.depth[l] == 0 {
			_ = l.SetCut(standin.NoCut)
		}
	}
}

// cutAt reports whether a node has been cut off at an instant since at least a time.
func (c *cutLog) cutAt(n *node, at snipeford.Instant, since time.Duration) bool {
	return c.contains(n, at, since, false)
}

// disturbedAt reports whether a node has lost links at an instant.
func (c *cutLog) disturbedAt(n *node, at snipeford.Instant) bool {
	return c.contains(n, at, 0, false) || c.contains(n, at, 0, true)
}

func (c *cutLog) contains(n *node, at snipeford.Instant, since time.Duration, partial bool) bool {
	return slices.ContainsFunc(c.list, func(k cut) bool {
		return k.node == n && k.partial == partial && k.from.Add(since) <= at && at < k.until
	})
}

func (f *fleet) describeCuts() string {
	var out []string
	for _, k := range f.cuts.list {
		out = append(out, fmt.Sprintf("n%d %v%s %.1f-%.1f s", slices.Index(f.nodes, k.node), k.kind, map[bool]string{true: " (half)"}[k.partial], k.from.Seconds(), k.until.Seconds()))
	}
	return strings.Join(out, ", ")
}

// nextCutRequest returns the requests of a run with cuts. Some are left early.
func (f *fleet) nextCutRequest(ctx context.Context, number int) nextRequest {
	return func(rng *rand.Rand, id string) request {
		q := newRequest(rng, id, number%4, "safe", "unsafe", "once", "stream", "stream")
		q.work.Delay = time.Duration(10+rng.IntN(60)) * time.Millisecond
		if rng.IntN(100) < leavePercent {
			q.leaveAfter = time.Duration(20+rng.IntN(200)) * time.Millisecond
		}
		sleepRandom(ctx, rng, 10, 120)
		return q
	}
}

// cutCount counts the requests at nodes without links, and at the others.
type cutCount struct{ cut, others served }

// countCut counts the requests that were sent at calm nodes later than a time after the
// start of a cut, or while no cut of their node was going on. Nothing helps while all
// nodes are cut off.
func (f *fleet) countCut(r *Report, since time.Duration) cutCount {
	var c cutCount
	for _, e := range r.exchanges {
		if e.left > 0 || !e.node.isSound(e.sent) || f.noneReaches(e.sent, e.ended) {
			continue
		}
		group := &c.others
		switch {
		case f.cuts.cutAt(e.node, e.sent, since):
			group = &c.cut
		case f.cuts.disturbedAt(e.node, e.sent) || f.cuts.disturbedAt(e.node, e.ended):
			continue
		}
		group.add(e.isServed())
	}
	return c
}

// countReaching counts the requests beside which some node reached the replicas, and those
// of them that were served.
func (f *fleet) countReaching(r *Report) served {
	var reaching, none served
	for _, e := range r.exchanges {
		switch {
		case e.left > 0:
		case f.noneReaches(e.sent, e.ended):
			none.add(e.isServed())
		default:
			reaching.add(e.isServed())
		}
	}
	r.addRemark("served while a node reached the replicas: %v, while none did: %v", reaching, none)
	return reaching
}

// noneReaches reports whether at the beginning or the end of a period, or shortly before,
// no node that had all its links was running.
func (f *fleet) noneReaches(from, until snipeford.Instant) bool {
	noneAt := func(at snipeford.Instant) bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !f.cuts.disturbedAt(n, at) && n.isSound(at) })
	}
	return noneAt(from.Add(-cutNoticeTime)) || noneAt(from) || noneAt(until)
}

// checkCutOff checks what nodes without links served, and what they did to others.
func (f *fleet) checkCutOff(r *Report) {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	r.cutCount = f.countCut(r, calmTime)
	soon := f.countCut(r, cutNoticeTime)
	r.addRemark("served at nodes without links: %v, at the others: %v; from %v after a cut: %v", r.cutCount.cut, r.cutCount.others, cutNoticeTime, soon.cut)
	failed := r.cutCount.cut.sent - r.cutCount.cut.begun
	all := r.cutCount.cut.sent + r.cutCount.others.sent
	if float64(failed) > allowedCutFailures+allowedCutFailureShare*float64(all) && r.cutCount.cut.share() < minCutShare*r.cutCount.others.share() {
		r.addViolation("%v requests served at nodes without links, %v at the others", r.cutCount.cut, r.cutCount.others)
	}
	f.checkRefusals(r)
	f.checkLeft(r)
	if len(r.Violations) > 0 {
		r.addRemark("cuts: %s", f.describeCuts())
	}
}

// crashesToRefuse is the number of replicas that have to crash, for whatever reason, before
// nodes may suspect a request of it.
var crashesToRefuse = map[snipeford.Cause]int{snipeford.CauseSuspectPrompt: 2, snipeford.CauseQuarantined: 3}

func (f *fleet) crashesBefore(at snipeford.Instant) int {
	return len(slices.DeleteFunc(f.poison.crashes.all(), func(crash snipeford.Instant) bool { return crash >= at }))
}

// checkRefusals checks that cuts are not taken for crashes of replicas, and that requests
// are refused soon while nothing helps.
func (f *fleet) checkRefusals(r *Report) {
	for _, e := range r.exchanges {
		switch e.cause {
		case snipeford.CauseQuarantined, snipeford.CauseSuspectPrompt:
			if n := f.crashesBefore(e.ended); n < crashesToRefuse[e.cause] {
				r.addViolation("%s: refused as %s after %d crashes of replicas", e.id, e.cause, n)
			}
		case snipeford.CauseNoUpstream, snipeford.CauseOverload:
			if e.cause == snipeford.CauseOverload && !f.cuts.cutAt(e.node, e.sent, 0) {
				// It waited for a place, as on any day with few replicas.
				continue
			}
			if held := e.ended.Sub(e.sent); held > maxRefusalTime && e.node.isCalm(e.ended) && e.node.lastDisturbance(e.sent).signal != syscall.SIGTERM {
				r.addViolation("%s: refused after %v, want at most %v", e.id, held.Round(time.Millisecond), maxRefusalTime)
			}
		}
	}
}

// checkLeft checks that requests of clients that have left do not reach replicas.
func (f *fleet) checkLeft(r *Report) {
	left, late := 0, 0
	for _, e := range r.exchanges {
		if e.left == 0 {
			continue
		}
		left++
		for _, at := range f.requestLog.Get(e.id).Arrivals {
			// A cut holds back what was sent before the client left.
			if at.Sub(e.left) > leaveNoticeTime && !f.cuts.cutAt(e.node, e.left, 0) && e.node.isCalm(at) {
				late++
			}
		}
	}
	r.addRemark("%d clients left early; %d of their requests reached replicas later than %v afterwards", left, late, leaveNoticeTime)
	if late > maxArrivalsAfterLeaving {
		r.addViolation("%d requests reached replicas later than %v after their client had left, want at most %d", late, leaveNoticeTime, maxArrivalsAfterLeaving)
	}
}

// runBesideUncut runs a plan without its cuts and then with them, and compares what the
// nodes served that were not cut off.
func runBesideUncut(ctx context.Context, p Plan) (*Report, error) {
	uncut := p
	uncut.WithoutCuts = true
	uncut.Directory = filepath.Join(p.Directory, "uncut")
	without, err := run(ctx, uncut)
	if err != nil {
		return nil, err
	}
	r, err := run(ctx, p)
	if err != nil {
		return nil, err
	}
	for _, violation := range without.Violations {
		r.addViolation("without cuts: %s", violation)
	}
	before, after := without.cutCount.others, r.cutCount.others
	r.addRemark("served by the others without cuts: %v", before)
	if before.sent >= minSample && after.sent >= minSample && after.share() < minUncutShare*before.share() {
		r.addViolation("%v requests served by nodes with links, %v on the same seed without cuts", after, before)
	}
	return r, nil
}
