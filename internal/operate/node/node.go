// Package node puts the parts of one snipeford process together and runs them:
// the control loop, the callers', peers' and operators' listeners.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"snipeford"
	"snipeford/internal/backing/table"
	"snipeford/internal/backing/vm"
	"snipeford/internal/control/loop"
	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/member"
	"snipeford/internal/fleet/message"
	"snipeford/internal/fleet/peer"
	"snipeford/internal/operate/administration"
	"snipeford/internal/operate/metric"
	"snipeford/internal/operate/record"
	"snipeford/internal/operate/settings"
	"snipeford/internal/operate/span"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/request/entry"
	"snipeford/internal/request/forward"
	"snipeford/internal/request/order"
	"snipeford/internal/rule/version"
	"snipeford/internal/upstream/engine"
	"snipeford/internal/upstream/service"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 1 * time.Second
	// idlePerHost is how many idle connections are kept to one address.
	idlePerHost = 64
	// stopGrace is how long a stopping node waits for its last requests.
	stopGrace = 10 * time.Minute
	// lastWrites bounds the farewell to the table.
	lastWrites = 2 * time.Second
	readHeader = 10 * time.Second
)

// Node is one running process.
type Node struct {
	settings  settings.Settings
	self      snipeford.Member
	timer     *timer.Clock
	log       *log.Logger
	registry  metrics.Registry
	spans     *span.Provider
	loop      *loop.Loop
	executor  *executor
	entry     *entry.Server
	peers     *peer.Client
	server    *peer.Server
	forwarded *forward.Server
	admin     *administration.Server
	leaving   atomic.Bool
	drain     chan struct{}
}

// New builds a node from its settings.
func New(s settings.Settings, logger *log.Logger) (*Node, error) {
	spans, err := span.Open(s.TraceFile)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s,
		timer:    &timer.Clock{},
		log:      logger,
		registry: metrics.NewRegistry(),
		spans:    spans,
		drain:    make(chan struct{}, 1),
		self: snipeford.Member{
			Node:        s.Node,
			Incarnation: snipeford.Incarnation(dispatch.NewAttempt()),
			Domain:      s.FailureDomain,
			PeerAddress: s.PeerAddress,
		},
	}
	n.build()
	return n, nil
}

// transport returns an HTTP client for one kind of peer. Without keep-alive,
// net/http has no reused connection on which it would repeat a request.
func transport(keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}}
}

func (n *Node) build() {
	state := reducer.New(reducer.Settings{Member: n.self, QueuePolicy: n.settings.Queue, RoutePolicy: n.settings.Route})
	n.loop = loop.New(state, n.timer, n.registry)
	http := transport(true)
	n.peers = &peer.Client{HTTP: http, Key: n.settings.PeerKey, SentBytes: metrics.GetOrRegisterCounter("Peer.HeartbeatBytes", n.registry)}
	tableClient := table.New(n.settings.Table, http, n.registry)
	store := &version.Store{Table: tableClient}
	book := &record.History{Timer: n.timer}
	engines := &engine.Client{HTTP: http, Timer: n.timer}
	n.executor = &executor{
		node:    n,
		keeper:  &member.Repository{Table: tableClient},
		store:   store,
		vms:     &vm.Client{Address: n.settings.VMList, HTTP: http},
		engines: engines,
	}
	orders := &order.Keeper{Table: tableClient, Timer: n.timer, Peers: n, Node: n.self.Node, Incarnation: n.self.Incarnation}
	desk := &dispatch.Desk{
		Loop: n.loop, Boxes: &n.executor.homes, Timer: n.timer, Engine: engines,
		Service: &service.Client{HTTP: transport(false)},
		Tracer:  n.spans.Tracer(), Log: n.log, Book: book,
	}
	n.entry = &entry.Server{
		Node: n.self.Node, Loop: n.loop, Boxes: &n.executor.entries, Timer: n.timer, Desk: desk,
		Forwarder: &forward.Client{HTTP: http, Timer: n.timer, Key: n.settings.PeerKey},
		Member:    n.member, Book: &entry.Directory{}, Orders: orders, Tracer: n.spans.Tracer(),
		Log: n.log, Metrics: metric.New(n.registry), Records: book, Background: &entry.Pending{},
	}
	n.server = &peer.Server{Loop: n.loop, Attempts: orders, Client: n.peers}
	n.forwarded = &forward.Server{Desk: desk, Timer: n.timer, Key: n.settings.PeerKey}
	n.admin = &administration.Server{
		Node: n.self, Loop: n.loop, Store: store, Peers: n.peers, Timer: n.timer, Log: n.log,
		History: book, PeerAPI: n.administrationOf, StartDrain: n.orderDrain,
	}
}

// member finds a member that this node knows.
func (n *Node) member(id snipeford.NodeID) (snipeford.Member, bool) {
	var found snipeford.Member
	var ok bool
	n.loop.ReadState(func(s *reducer.State) { found, ok = s.Member(id) })
	return found, ok
}

// GivenUp asks the node that holds an order's attempt.
func (n *Node) GivenUp(ctx context.Context, id snipeford.NodeID, inc snipeford.Incarnation, a snipeford.AttemptID) bool {
	m, ok := n.member(id)
	return ok && m.Incarnation == inc && n.peers.GivenUp(ctx, m, a)
}

// administrationOf returns the administration API of a peer, which answers on
// its peers' listener as well.
func (n *Node) administrationOf(m snipeford.Member) message.Administration {
	client := administration.AuthenticatedClient{Client: transport(true), Header: forward.KeyHeader, Key: n.settings.PeerKey}
	return message.NewAdministrationProtobufClient("http://"+m.PeerAddress, client)
}

func (n *Node) orderDrain() {
	select {
	case n.drain <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends or the node is drained, then stops gracefully: it
// says that it leaves, hands its homes over, goes on taking requests while the
// balancer learns of it, and waits for its last requests.
func (n *Node) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	group, control := errgroup.WithContext(control)
	group.Go(func() error { return n.loop.Run(control, n.executor) })
	callers, err := n.listen(group, n.settings.CallerAddress, n.entry.Handler())
	if err != nil {
		return err
	}
	peers, err := n.listen(group, n.settings.PeerListenAddress, n.peerHandler())
	if err != nil {
		return err
	}
	operators, err := n.listen(group, n.settings.OperatorAddress, n.operatorHandler())
	if err != nil {
		return err
	}
	n.log.Info("node serves", "Incarnation", n.self.Incarnation, "FailureDomain", n.self.Domain)
	select {
	case <-ctx.Done():
	case <-n.drain:
	case <-control.Done():
	}
	n.stop(callers, peers, operators)
	stopControl()
	return group.Wait()
}

func (n *Node) listen(group *errgroup.Group, address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", trace.ConvertSystemError(err))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeader, MaxHeaderBytes: 1 << 20}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", address, trace.Wrap(err))
		}
		return nil
	})
	return server, nil
}

func (n *Node) stop(callers, peers, operators *http.Server) {
	n.log.Info("node leaves")
	n.leaving.Store(true)
	n.loop.Send(reducer.LeaveRequested{})
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	n.timer.Sleep(ctx, n.settings.LeaveDelay)
	for _, server := range []*http.Server{callers, peers} {
		if err := server.Shutdown(ctx); err != nil {
			n.log.Error("requests were cut", "Error", err)
		}
		n.entry.Background.Wait()
	}
	last, done := context.WithTimeout(ctx, lastWrites)
	defer done()
	if err := n.executor.keeper.DeleteLease(last, n.self.Node); err != nil {
		n.log.Warn("lease not dropped", "Error", err)
	}
	if err := operators.Shutdown(last); err != nil {
		n.log.Warn("operators were cut", "Error", err)
	}
	if err := n.spans.Close(last); err != nil {
		n.log.Warn("spans were lost", "Error", err)
	}
}
