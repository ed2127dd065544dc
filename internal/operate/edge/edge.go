// Package edge puts the parts of a node on the users' platform together and
// runs them. What speaks to the platform comes in as values.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
	"snipeford/internal/fleet/grant"
	"snipeford/internal/operate/decision"
	"snipeford/internal/operate/metric"
	"snipeford/internal/operate/settings"
	"snipeford/internal/operate/span"
	"snipeford/internal/request/relay"
	"snipeford/internal/upstream/connection"
)

const (
	// readHeader bounds the reading of a request's head. The platform's own
	// limits are shorter, and its callers keep to them.
	readHeader = 10 * time.Second
	// callerIdle is how long a caller's connection may stay idle; it is above
	// every limit that the platform's configurations name.
	callerIdle = 75 * time.Second
	// headerBytes bounds a request's head, in bytes, likewise.
	headerBytes = 64 << 10
	// balancerDelay is how long the platform's balancer may go on sending new
	// connections to a node that says it is not ready: two questions a second
	// apart, and what is on its way.
	balancerDelay = 3 * time.Second
	// idleEnd is when a leaving node closes its idle connections: their callers
	// then connect to nodes that stay.
	idleEnd = 2300 * time.Millisecond
	// killMargin is how long before the platform's kill the process ends.
	killMargin = 400 * time.Millisecond
	// activeEvery is how often a leaving node looks for running requests.
	activeEvery = 50 * time.Millisecond
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = 1 * time.Second
	// keyShare is the share of the revocation bound up to which knowledge of
	// keys counts: the rest covers a feed that hears nothing for a second.
	keyShare = 0.66
	// absenceShare is the share of the configuration bound up to which it is
	// believed that something is not there.
	absenceShare = 1.0
)

// Platform are what speaks to the platform.
type Platform struct {
	Feed         snipeford.Feed
	RowDecoder   snipeford.RowDecoder
	HeaderCodec  snipeford.HeaderCodec
	Reservations snipeford.Reservations
}

// Node is one running process.
type Node struct {
	settings settings.Edge
	timer    *timer.Clock
	log      *decision.Log
	registry metrics.Registry
	fresh    freshness.Tracker
	follower *follower
	balancer *balancer
	loop     *placer.Loop
	links    *grant.Client
	peers    *grant.Server
	relay    *relay.Server
	pool     *connection.Pool
	self     directory.Peer
	parts    Platform
	callers  *http.Server
}

// New builds a node that traces to spans.
func New(s settings.Edge, t *timer.Clock, registry metrics.Registry, spans *span.Provider, parts Platform) *Node {
	// The settings were checked, so that the level is known.
	level, _ := log.ParseLevel(s.LogLevel)
	n := &Node{settings: s, timer: t, registry: registry, parts: parts, log: decision.New(s.Node, level, t)}
	n.self = directory.Peer{
		Node: s.Node, Incarnation: snipeford.Incarnation(t.Wall().Format(time.RFC3339Nano)),
		Domain: s.FailureDomain, Address: s.PeerAddress, Weight: s.ProcessorShare,
	}
	counts := metric.NewEdge(registry)
	n.balancer = &balancer{timer: t, domain: s.FailureDomain, settings: s}
	n.pool = &connection.Pool{Timer: t, Opened: func(string) { counts.ConnectionOpened() }}
	n.loop = placer.New(s.Node, t)
	n.links = &grant.Client{Self: n.self, Loop: n.loop, Timer: t, Log: n.log, Staleness: n.age}
	n.peers = &grant.Server{Loop: n.loop, Timer: t, Log: n.log, RoutingStatus: n.knowledge}
	n.loop.Deliver = n.peers.Deliver
	n.follower = &follower{feed: parts.Feed, registry: parts.RowDecoder, timer: t, fresh: &n.fresh, log: n.log, changed: n.viewed}
	n.follower.fed = n.links.HasFreshFeed
	n.follower.standby = n.links.FeederHealthy
	n.links.ApplyRows, n.links.ConfirmRows = n.follower.bring, n.fresh.AdvanceTo
	n.peers.Subscribe = n.follower.subscribe
	n.relay = &relay.Server{
		Node: s.Node, Domain: s.FailureDomain, View: n.follower.current, Freshness: &n.fresh, Timer: t,
		Pool: n.pool, Codec: parts.HeaderCodec, Placer: n.links, Balancer: n.balancer, Reservations: parts.Reservations,
		Metrics: counts, Log: n.log, Tracer: spans.Tracer(),
		MaxKeyAge:      time.Duration(keyShare * float64(s.RevocationBound)),
		MaxNegativeAge: time.Duration(absenceShare * float64(s.ConfigurationBound)),
	}
	return n
}

func (n *Node) viewed(v *directory.View) {
	n.loop.Send(placer.DirectoryChanged{View: v})
	n.balancer.view(v)
	n.links.SetView(v)
}

func (n *Node) knowledge() (snipeford.Version, time.Duration, bool) {
	age, ok := n.age()
	if v := n.follower.current(); v.Plan != nil {
		return v.Plan.Version, age, ok
	}
	return 0, 0, false
}

func (n *Node) age() (time.Duration, bool) { return n.fresh.Age(n.timer.SinceBoot()) }

// Run serves until ctx ends, then stops gracefully: it says that it is not
// ready, goes on taking requests while the balancer learns of it, and waits
// for the last ones as long as the platform allows.
func (n *Node) Run(ctx context.Context, out io.Writer) error {
	working, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return n.log.Run(working, out) })
	n.log.Info("node starts", "FailureDomain", n.settings.FailureDomain, "Incarnation", n.self.Incarnation, "CallerAddress", n.settings.CallerAddress)
	if err := n.listen(working, group); err != nil {
		return err
	}
	n.work(working, group)
	select {
	case <-ctx.Done():
		n.leave(working)
	case <-working.Done():
	}
	stopWork()
	return group.Wait()
}

// work starts what runs beside the traffic.
func (n *Node) work(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return n.loop.Run(ctx) })
	group.Go(func() error { return n.links.Run(ctx) })
	group.Go(func() error { return n.follower.follow(ctx, snipeford.OperatorRows, operatorWait) })
	group.Go(func() error { return n.follower.follow(ctx, snipeford.UpstreamRows, upstreamWait) })
	group.Go(func() error { return n.follower.follow(ctx, snipeford.MemberRows, memberWait) })
	group.Go(func() error { return n.follower.expire(ctx) })
	group.Go(func() error { return n.register(ctx) })
	group.Go(func() error { return n.sweep(ctx) })
}

func (n *Node) listen(ctx context.Context, group *errgroup.Group) error {
	peers, err := net.Listen("tcp4", n.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", trace.ConvertSystemError(err))
	}
	group.Go(func() error { return n.peers.Serve(ctx, peers) })
	if _, err := n.serve(ctx, group, n.settings.ReadyAddress, http.HandlerFunc(n.answerReady)); err != nil {
		return err
	}
	if _, err := n.serve(ctx, group, n.settings.MetricsAddress, http.HandlerFunc(n.answerMetrics)); err != nil {
		return err
	}
	n.callers, err = n.serve(ctx, group, n.settings.CallerAddress, n.relay)
	return err
}

func (n *Node) serve(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", trace.ConvertSystemError(err))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeader, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", address, trace.Wrap(err))
		}
		return nil
	})
	return server, nil
}

// answerReady tells the balancer whether to send callers.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) ready() bool {
	v := n.follower.current()
	age, ok := n.fresh.Age(n.timer.SinceBoot())
	return v.Plan != nil && v.Listed && ok && age < n.relay.MaxKeyAge && !n.relay.Leaving()
}

// answerMetrics writes counters and histograms as JSON.
func (n *Node) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.GetOrRegisterGauge("Log.Dropped", n.registry).Update(n.log.Dropped())
	metrics.GetOrRegisterGauge("Requests.Active", n.registry).Update(n.relay.Active())
	metrics.WriteJSONOnce(n.registry, w)
}

// register writes the node's own row until the store has taken it.
func (n *Node) register(ctx context.Context) error {
	value, err := json.Marshal(n.self)
	if err != nil {
		return fmt.Errorf("encode own row: %w", trace.Wrap(err))
	}
	pause := firstPause
	for ctx.Err() == nil {
		err := n.parts.Feed.Put(ctx, string(n.self.Node), value)
		if err == nil {
			n.log.Info("node registered", "Address", n.self.Address)
			return nil
		}
		n.log.Warn("node not registered", err)
		n.timer.Sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
	return nil
}

func (n *Node) sweep(ctx context.Context) error {
	ticks := n.timer.Every(ctx, sweepEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			n.pool.Sweep()
		}
	}
}

// leave waits until the balancer sends no more callers and the last requests
// have ended, or until the platform is about to kill the process.
func (n *Node) leave(ctx context.Context) {
	start := n.timer.Now()
	n.log.Info("node leaves", "Active", n.relay.Active())
	n.relay.Leave()
	for ctx.Err() == nil {
		waited := n.timer.Now().Sub(start)
		if waited >= idleEnd {
			n.callers.SetKeepAlivesEnabled(false)
		}
		if waited >= balancerDelay && n.relay.Active() == 0 || waited >= n.settings.StopGrace-killMargin {
			break
		}
		n.timer.Sleep(ctx, activeEvery)
	}
	n.log.Info("node stops", "Active", n.relay.Active(), "WaitedMs", n.timer.Now().Sub(start).Milliseconds())
}
