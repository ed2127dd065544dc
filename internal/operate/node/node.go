// Package node assembles and runs a snipeford process: the control loop and the
// listeners for callers, peers and operators.
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
	"snipeford/internal/operate/drain"
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
	// dialTimeout limits how long it takes to open a connection.
	dialTimeout = 1 * time.Second
	// maxIdlePerHost is the maximum number of idle connections to one address.
	maxIdlePerHost = 64
	// drainTimeout limits how long a draining node waits for its active requests.
	drainTimeout = 10 * time.Minute
	// cleanupTimeout limits the deletion of the node's lease and the other final
	// steps of a drain.
	cleanupTimeout    = 2 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// Node is a running snipeford process.
type Node struct {
	settings       settings.Settings
	self           snipeford.Member
	timer          *timer.Clock
	log            *log.Logger
	registry       metrics.Registry
	spans          *span.Provider
	loop           *loop.Loop
	executor       *executor
	entry          *entry.Server
	peerClient     *peer.Client
	peerServer     *peer.Server
	forwardServer  *forward.Server
	admin          *administration.Server
	draining       atomic.Bool
	drainRequested chan struct{}
}

// New builds a node from its settings.
func New(s settings.Settings, logger *log.Logger) (*Node, error) {
	spans, err := span.Open(s.TraceFile)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:       s,
		timer:          &timer.Clock{},
		log:            logger,
		registry:       metrics.NewRegistry(),
		spans:          spans,
		drainRequested: make(chan struct{}, 1),
		self: snipeford.Member{
			Node:        s.Node,
			Incarnation: snipeford.Incarnation(dispatch.NewAttemptID()),
			Domain:      s.FailureDomain,
			PeerAddress: s.PeerAddress,
		},
	}
	n.build()
	return n, nil
}

// newHTTPClient returns an HTTP client. Without keep-alive, net/http never retries a
// request by itself, as it does that only on reused connections.
func newHTTPClient(keepAlive bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}}
}

func (n *Node) build() {
	state := reducer.New(reducer.Settings{Member: n.self, QueuePolicy: n.settings.Queue, RoutePolicy: n.settings.Route})
	n.loop = loop.New(state, n.timer, n.registry)
	client := newHTTPClient(true)
	n.peerClient = &peer.Client{HTTP: client, Key: n.settings.PeerKey, SentBytes: metrics.GetOrRegisterCounter("Peer.HeartbeatBytes", n.registry)}
	tableClient := table.New(n.settings.Table, client, n.registry)
	versions := &version.Store{Table: tableClient}
	records := &record.History{Timer: n.timer}
	engines := &engine.Client{HTTP: client, Timer: n.timer}
	n.executor = &executor{
		node:     n,
		members:  &member.Repository{Table: tableClient},
		versions: versions,
		vms:      &vm.Client{Address: n.settings.VMList, HTTP: client},
		engines:  engines,
	}
	orders := &order.Coordinator{Table: tableClient, Timer: n.timer, Peers: n, Node: n.self.Node, Incarnation: n.self.Incarnation}
	dispatcher := &dispatch.Executor{
		Loop: n.loop, Mailboxes: &n.executor.homeMailboxes, Timer: n.timer, Engine: engines,
		Service: &service.Client{HTTP: newHTTPClient(false)},
		Tracer:  n.spans.Tracer(), Log: n.log, Records: records,
	}
	n.entry = &entry.Server{
		Node: n.self.Node, Loop: n.loop, Mailboxes: &n.executor.entryMailboxes, Timer: n.timer, Executor: dispatcher,
		Forwarder: &forward.Client{HTTP: client, Timer: n.timer, Key: n.settings.PeerKey},
		Member:    n.memberByID, Configuration: &entry.ConfigurationIndex{}, Orders: orders, Tracer: n.spans.Tracer(),
		Log: n.log, Metrics: metric.New(n.registry), Records: records, Background: &entry.TaskGroup{},
	}
	n.peerServer = &peer.Server{Loop: n.loop, Attempts: orders, Client: n.peerClient}
	n.forwardServer = &forward.Server{Executor: dispatcher, Timer: n.timer, Key: n.settings.PeerKey}
	n.admin = &administration.Server{
		Node: n.self, Loop: n.loop, Store: versions, Peers: n.peerClient, Timer: n.timer, Log: n.log,
		Records: records, PeerAdministration: n.peerAdministration, StartDrain: n.requestDrain,
	}
}

// memberByID returns a member that this node knows, and false if there is none.
func (n *Node) memberByID(id snipeford.NodeID) (snipeford.Member, bool) {
	var found snipeford.Member
	var ok bool
	n.loop.ReadState(func(s *reducer.State) { found, ok = s.Member(id) })
	return found, ok
}

// GivenUp asks the node that holds an attempt of an order whether it gave up the
// attempt. It implements order.Peers.
func (n *Node) GivenUp(ctx context.Context, id snipeford.NodeID, inc snipeford.Incarnation, a snipeford.AttemptID) bool {
	m, ok := n.memberByID(id)
	return ok && m.Incarnation == inc && n.peerClient.GivenUp(ctx, m, a)
}

// peerAdministration returns a client for the administration API of a peer, which
// the peer also serves on its listener for peers.
func (n *Node) peerAdministration(m snipeford.Member) message.Administration {
	client := administration.AuthenticatedClient{Client: newHTTPClient(true), Header: forward.PeerKeyHeader, Key: n.settings.PeerKey}
	return message.NewAdministrationProtobufClient("http://"+m.PeerAddress, client)
}

func (n *Node) requestDrain() {
	select {
	case n.drainRequested <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends or an operator requests a drain, then drains the node: it
// announces that it is leaving, transfers its homes, keeps accepting requests until
// the load balancer has noticed, and waits for the active requests.
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
	case <-n.drainRequested:
	case <-control.Done():
	}
	n.drain(callers, peers, operators)
	stopControl()
	return group.Wait()
}

// server is an HTTP server with its listener and connections.
type server struct {
	*http.Server
	listener net.Listener
	conns    drain.Conns
}

func (n *Node) listen(group *errgroup.Group, address string, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", trace.ConvertSystemError(err))
	}
	s := &server{}
	s.listener = s.conns.Wrap(listener)
	s.Server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: 1 << 20, ConnState: s.conns.StateChanged}
	group.Go(func() error {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("serve %s: %w", address, trace.Wrap(err))
		}
		return nil
	})
	return s, nil
}

func (n *Node) drain(callers, peers, operators *server) {
	n.log.Info("node leaves")
	n.draining.Store(true)
	n.loop.Send(reducer.LeaveRequested{})
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.timer.Sleep(ctx, n.settings.LeaveDelay)
	for _, s := range []*server{callers, peers} {
		if err := s.conns.Shutdown(ctx, n.timer, s.listener, s.Server); err != nil {
			n.log.Error("server shutdown interrupted active requests", "Error", err)
		}
		n.entry.Background.Wait()
	}
	cleanup, cancelCleanup := context.WithTimeout(ctx, cleanupTimeout)
	defer cancelCleanup()
	if err := n.executor.members.DeleteLease(cleanup, n.self.Node); err != nil {
		n.log.Warn("cannot delete lease", "Error", err)
	}
	if err := operators.conns.Shutdown(cleanup, n.timer, operators.listener, operators.Server); err != nil {
		n.log.Warn("cannot shut down operator listener", "Error", err)
	}
	if err := n.spans.Close(cleanup); err != nil {
		n.log.Warn("cannot write remaining spans", "Error", err)
	}
}
