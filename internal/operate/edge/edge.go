// Package edge assembles and runs a node on the users' platform, which is called
// the platform in this package. The caller passes in the adapters to it.
//
// A feeder is a node that reads the rows of the platform's store and forwards them
// to other nodes of its failure domain.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/placer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/detour"
	"snipeford/internal/fleet/grant"
	"snipeford/internal/operate/decision"
	"snipeford/internal/operate/drain"
	"snipeford/internal/operate/metric"
	"snipeford/internal/operate/settings"
	"snipeford/internal/operate/span"
	"snipeford/internal/request/intake"
	"snipeford/internal/request/relay"
	"snipeford/internal/upstream/connection"
)

const (
	// readHeaderTimeout limits how long a client of any HTTP listener of the node
	// may take to send a request's header. The platform's own limits are shorter,
	// and its callers keep to them.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long a connection to any HTTP listener of the node may stay
	// idle. It is above all limits in the platform's configurations.
	idleTimeout = 75 * time.Second
	// writeTimeout limits the time from a request's header to the end of its response.
	// Requests to upstreams replace it by their own deadline.
	writeTimeout = 60 * time.Second
	// maxHeaderBytes limits the size of a request's header at any HTTP listener of
	// the node, and is also above the platform's own limits.
	maxHeaderBytes = 64 << 10
	// loadBalancerDelay is how long the platform's load balancer may still send new
	// connections to a node that is not ready: two probes one second apart, plus
	// the connections that are being opened. Nodes of the verb serve have the
	// setting LeaveDelay instead.
	loadBalancerDelay = 3 * time.Second
	// closeIdleAfter is the time from the start of the drain until the node closes
	// its idle connections, so that their callers connect to other nodes.
	closeIdleAfter = 2300 * time.Millisecond
	// killMargin is how long before the platform kills the process the drain ends.
	killMargin = 400 * time.Millisecond
	// lastResponseTime is how long before the end of a stop requests without a response
	// are ended and the listener is closed. The responses are written in this time, and
	// requests that have begun to arrive are refused.
	lastResponseTime = 400 * time.Millisecond
	// sweepInterval is how often the pool of idle connections is swept.
	sweepInterval = 1 * time.Second
	// maxKeyAgeFraction is the fraction of the revocation bound up to which the known
	// API keys are used. With a bound of 5 s, keys are used up to an age of 3.3 s. The
	// remaining 1.7 s cover 1 s in which the node receives nothing from the store or
	// its feeder.
	maxKeyAgeFraction = 0.66
	// maxNegativeAgeFraction is the fraction of the configuration bound up to which an
	// unknown service or key is reported as such. Above that age the routing may lack
	// recently added rows, and the request is refused as not ready.
	maxNegativeAgeFraction = 1.0
)

// Platform holds the adapters to the platform's store, row formats, headers and
// memory reservations.
type Platform struct {
	Feed         snipeford.Feed
	RowDecoder   snipeford.RowDecoder
	HeaderCodec  snipeford.HeaderCodec
	Reservations snipeford.Reservations
	// Pool opens the connections to upstreams, those of Reservations as well. Nil means a
	// pool of the node's own.
	Pool *connection.Pool
}

// Node is a running snipeford process.
type Node struct {
	settings   settings.Edge
	timer      *timer.Clock
	log        *decision.Log
	registry   metrics.Registry
	counts     *metric.Edge
	tracker    freshness.Tracker
	follower   *follower
	balancer   *balancer
	paces      *paces
	isPrepared atomic.Bool
	loop       *placer.Loop
	peerClient *grant.Client
	peerServer *grant.Server
	relay      *relay.Server
	pool       *connection.Pool
	gate       detour.Gate
	self       directory.Peer
	platform   Platform
	// quarantines holds the latest decisions on prefix parts that are not stored yet.
	quarantines chan []snipeford.Quarantine
	// callers serves the callers on callerListener, with the connections callerConns.
	callers        *http.Server
	callerListener net.Listener
	callerConns    drain.Conns
	// budget is the memory that all connections may hold together.
	budget intake.Budget
}

// New assembles a node from its settings. It registers the node's metrics in
// registry and writes its traces to spans.
func New(s settings.Edge, t *timer.Clock, registry metrics.Registry, spans *span.Provider, platform Platform) *Node {
	// The level is valid: it was checked when the settings were parsed.
	level, _ := log.ParseLevel(s.LogLevel)
	n := &Node{settings: s, timer: t, registry: registry, platform: platform, log: decision.New(s.Node, level, t), quarantines: make(chan []snipeford.Quarantine, 1)}
	n.self = directory.Peer{
		Node: s.Node, Incarnation: snipeford.Incarnation(t.Wall().Format(time.RFC3339Nano)),
		Domain: s.FailureDomain, Address: s.PeerAddress, ProcessorShare: s.ProcessorShare,
		OffersDetours: true, StatesRevisions: true, KeepsHomesLarge: true, HasStandbyFeeders: true,
	}
	n.budget.Timer = t
	n.budget.Capacity = CallerCapacity(s)
	n.counts = metric.NewEdge(registry)
	n.balancer = &balancer{timer: t, domain: s.FailureDomain, settings: s}
	if n.pool = platform.Pool; n.pool == nil {
		n.pool = &connection.Pool{Timer: t}
	}
	n.loop = placer.New(s.Node, t)
	n.follower = &follower{
		store: platform.Feed, decoder: platform.RowDecoder, timer: t, tracker: &n.tracker, log: n.log,
		counts: metric.Rows{Registry: registry}, onChange: n.applyView, membersRead: make(chan struct{}, 1), unmarkedEras: make(chan snipeford.Era, 1),
		firstStart:     s.FirstStart,
		snapshotSpread: time.Duration(snapshotSpreadFraction * float64(s.ConfigurationBound)),
		processorShare: s.ProcessorShare, configurationBound: s.ConfigurationBound,
		pace: newUpstreamPace(s.LeaveBound, s.ConfigurationBound),
	}
	n.peerClient = &grant.Client{Self: n.self, Loop: n.loop, Timer: t, Log: n.log, Staleness: n.staleness, MaxFeedStaleness: maxFeedStaleness(s.ConfigurationBound), TakeoverStaleness: takeoverStaleness(s.ConfigurationBound)}
	n.peerServer = &grant.Server{Loop: n.loop, Timer: t, Log: n.log, Status: n.follower.feedStatus}
	n.loop.Deliver, n.loop.Decided = n.peerServer.Deliver, n.decided
	n.loop.Watched = func(list placer.Watch) {
		n.peerClient.SetWatch(list)
		n.peerServer.Watch(list)
	}
	n.follower.hasFreshRows = n.peerClient.HasFreshFeed
	n.follower.feederHealthy = n.peerClient.FeederHealthy
	n.follower.handsOver, n.follower.isStandby, n.follower.followedFeeders = n.peerClient.HandsOver, n.peerClient.IsStandbyFeeder, n.peerClient.FollowedFeeders
	n.follower.newestRouting = n.peerClient.NewestRouting
	n.peerClient.ApplyRows, n.peerClient.ConfirmRows = n.follower.receivePeerRows, n.follower.confirmPeerRows
	n.peerServer.RowsSent, n.peerClient.BaseMissing, n.peerClient.RowValue = n.follower.counts.Sent, n.follower.counts.BaseMissing, n.follower.receivedValue
	n.peerClient.HasDiverged = n.follower.hasDiverged
	n.peerServer.Subscribe, n.peerClient.KnownRevisions = n.follower.subscribe, n.follower.revisions
	n.initDetours()
	n.relay = &relay.Server{
		Node: s.Node, Domain: s.FailureDomain, View: n.follower.current, Freshness: &n.tracker, Origin: n.follower.operatorOrigin, Timer: t,
		Pool: n.pool, Codec: platform.HeaderCodec, Placer: n.peerClient, Balancer: n.balancer, Reservations: platform.Reservations,
		Metrics: n.counts, Log: n.log, Tracer: spans.Tracer(), Contended: (&metric.Contention{Registry: registry}).Count,
		DrainTimeout: s.StopGrace - killMargin - lastResponseTime,
	}
	n.setMaxAges(s)
	n.initLeaving()
	n.initPauses()
	n.initPaces()
	return n
}

func (n *Node) applyView(v *directory.View) {
	n.loop.SetView(v)
	n.retainLinks(v)
	n.paces.retain(n.balancer.setView(v))
	n.peerClient.SetView(v)
}

func (n *Node) staleness() (time.Duration, bool) { return n.tracker.Age(n.timer.SinceBoot()) }

// Run serves until ctx ends, then drains the node: it reports that it is not ready,
// keeps accepting requests until the load balancer has noticed, and waits for the
// active requests as long as the platform allows.
func (n *Node) Run(ctx context.Context, out io.Writer) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return n.log.Run(background, out) })
	n.log.Info("node starts", "FailureDomain", n.settings.FailureDomain, "Incarnation", n.self.Incarnation, "CallerAddress", n.settings.CallerAddress)
	if err := n.listen(background, group); err != nil {
		return err
	}
	n.startBackground(background, group)
	select {
	case <-ctx.Done():
		n.drain(background)
	case <-background.Done():
	}
	stopBackground()
	return group.Wait()
}

// startBackground starts the goroutines that do not serve callers or peers.
func (n *Node) startBackground(ctx context.Context, group *errgroup.Group) {
	n.follower.background = ctx
	group.Go(func() error { return n.loop.Run(ctx) })
	group.Go(func() error { return n.peerClient.Run(ctx) })
	group.Go(func() error {
		return n.follower.follow(ctx, snipeford.OperatorRows, operatorWatchTimeout(n.settings.ConfigurationBound))
	})
	group.Go(func() error { return n.follower.follow(ctx, snipeford.UpstreamRows, n.follower.pace.gap) })
	group.Go(func() error { return n.follower.follow(ctx, snipeford.MemberRows, memberWatchTimeout) })
	group.Go(func() error { return n.follower.applyPending(ctx) })
	group.Go(func() error { return n.follower.expire(ctx) })
	group.Go(func() error { return n.writeRows(ctx) })
	group.Go(func() error { return n.sweepPool(ctx) })
	group.Go(func() error { return n.pool.Watch(ctx) })
	group.Go(func() error { return n.reportRefusals(ctx) })
	group.Go(func() error { return n.prepare(ctx) })
}

func (n *Node) listen(ctx context.Context, group *errgroup.Group) error {
	peers, err := net.Listen("tcp4", n.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", trace.ConvertSystemError(err))
	}
	group.Go(func() error { return n.peerServer.Serve(ctx, n.boundPeers(peers)) })
	for _, probe := range []struct {
		address string
		handler http.HandlerFunc
	}{{n.settings.ReadyAddress, n.handleReady}, {n.settings.MetricsAddress, n.handleMetrics}} {
		listener, err := net.Listen("tcp4", probe.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", probe.address, trace.ConvertSystemError(err))
		}
		n.serveProbes(ctx, group, listener, probe.handler)
	}
	listener, err := net.Listen("tcp4", n.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", trace.ConvertSystemError(err))
	}
	n.serveCallers(ctx, group, listener, n.relay)
	return nil
}

func (n *Node) serveCallers(ctx context.Context, group *errgroup.Group, listener net.Listener, handler http.Handler) {
	bounded := n.bound(n.callerConns.Wrap(listener), callerDescriptors)
	n.callers = newServer(handler)
	n.callers.ConnState = n.callerConns.StateChanged
	n.callers, n.callerListener = bounded.Server(n.callers), bounded
	serve(ctx, group, n.callerListener, n.callers)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serve serves a listener until it is closed or ctx ends, which closes all connections
// of the server.
func serve(ctx context.Context, group *errgroup.Group, listener net.Listener, server *http.Server) {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()
			err = http.ErrServerClosed
		}
		stop()
		if !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", listener.Addr(), trace.Wrap(err))
		}
		return nil
	})
}

// handleReady responds to the load balancer's readiness probe.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) ready() bool {
	return n.isPrepared.Load() && n.hasRows(n.follower.current()) && !n.relay.Leaving()
}

// handleMetrics writes the metrics as JSON.
func (n *Node) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.GetOrRegisterGauge("Log.Dropped", n.registry).Update(n.log.Dropped())
	n.follower.measure()
	n.budget.Measure(n.registry)
	metrics.GetOrRegisterGauge("Requests.Active", n.registry).Update(n.relay.Active())
	metrics.WriteJSONOnce(n.registry, w)
}

func (n *Node) sweepPool(ctx context.Context) error {
	ticks := n.timer.Every(ctx, sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			n.pool.CloseExpired()
		}
	}
}

// closeCallers accepts no more connections and waits for the requests that have begun
// to arrive and for the responses that are being written: the relay counts requests only
// from the end of their headers until their handlers return. http.Server's own Shutdown
// closes connections on which a request is arriving without a response.
func (n *Node) closeCallers(ctx context.Context, start snipeford.Instant) {
	if err := n.callerListener.Close(); err != nil {
		n.log.Warn("cannot close the callers' listener", err)
	}
	killedAt := start.Add(n.settings.StopGrace - killMargin)
	arrivalsEnd := min(n.timer.Now().Add(drain.ArrivalTime), killedAt)
	for n.callerConns.Open() > 0 && n.timer.Sleep(ctx, drain.PollInterval) {
		n.callerConns.CloseIdle(n.timer.Deadline(0))
		now := n.timer.Now()
		if now >= killedAt || now >= arrivalsEnd && n.callerConns.Busy() == 0 {
			return
		}
	}
}

// drain waits until the load balancer no longer sends callers and all requests
// have ended, or until the platform is about to kill the process.
func (n *Node) drain(ctx context.Context) {
	start := n.timer.Now()
	n.log.Info("node leaves", "Active", n.relay.Active())
	n.relay.Leave()
	n.gate.Leave()
	for ctx.Err() == nil {
		waited := n.timer.Now().Sub(start)
		if waited >= closeIdleAfter {
			n.callerConns.CloseIdle(n.timer.Deadline(0))
		}
		if waited >= loadBalancerDelay && n.relay.Active() == 0 && n.gate.Active() == 0 || waited >= n.settings.StopGrace-killMargin-lastResponseTime {
			break
		}
		n.timer.Sleep(ctx, drain.PollInterval)
	}
	n.closeCallers(ctx, start)
	n.relay.LogUnfinished()
	n.log.Info("node stops", "Active", n.relay.Active(), "WaitedMs", n.timer.Now().Sub(start).Milliseconds())
}
