package rig

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/loopback"
	"snipeford/internal/emulate/relay"
	"snipeford/internal/experiment/load"
	"snipeford/platform"
	"snipeford/platform/standin"
)

// EdgePlan describes a rig of nodes on the users' platform.
type EdgePlan struct {
	// Snipeford is the path of the node's executable.
	Snipeford string
	// Directory holds the settings files and logs.
	Directory string
	Nodes     int
	// Replicas is the number of replicas of each service.
	Replicas int
	// Revocation is the time after which a revoked key is no longer accepted.
	Revocation time.Duration
	// MemoryMegabytes is the nodes' setting of this name; 0 means 284.
	MemoryMegabytes int
}

// Edge is a running fleet on the users' platform. The nodes are processes of the Rig; the
// store and the replicas are servers of this process. TableRelays are the nodes' paths to
// the store.
type Edge struct {
	*Rig
	Plan     EdgePlan
	Store    *standin.Store
	Log      *standin.RequestLog
	Replicas []*EdgeReplica
	// NodesStarted is when the rows of the first configuration and of the replicas had been
	// written, and no node's.
	NodesStarted snipeford.Instant
	servers      []*http.Server
	settings     []EdgeSettings
}

// EdgeReplica is a replica with its row in the store.
type EdgeReplica struct {
	*standin.Replica
	Row         []byte
	pausedUntil atomic.Int64
}

// Pause makes the replica refuse requests until a time.
func (r *EdgeReplica) Pause(until snipeford.Instant) { r.pausedUntil.Store(int64(until)) }

// EdgeHost is the host of all routes, and EdgeKey an API key of each configuration that
// Configure writes.
const (
	EdgeHost = "rig.example"
	EdgeKey  = "good"
)

// StartEdge starts a fleet with the first configuration, which also has the given keys, and
// waits until each node accepts connections.
func StartEdge(ctx context.Context, p EdgePlan, keys ...string) (*Edge, error) {
	if err := os.MkdirAll(p.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	clock := &timer.Clock{}
	e := &Edge{
		Rig:  &Rig{Plan: Plan{Directory: p.Directory, Nodes: p.Nodes}, Timer: clock, processes: map[string]*Process{}},
		Plan: p, Store: &standin.Store{Clock: clock}, Log: &standin.RequestLog{},
	}
	if err := e.start(ctx, keys); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Edge) start(ctx context.Context, keys []string) error {
	var err error
	if e.host, err = loopback.Reserve(); err != nil {
		return err
	}
	e.Store.StateEra(1)
	if err := e.Configure(1, standin.FirstRoutes(), keys...); err != nil {
		return err
	}
	for _, service := range []string{standin.PlainService, standin.ModelService} {
		for range e.Plan.Replicas {
			if err := e.startReplica(service); err != nil {
				return err
			}
		}
	}
	e.NodesStarted = e.Timer.Now()
	for i := range e.Plan.Nodes {
		if err := e.startNode(i); err != nil {
			return err
		}
	}
	for _, t := range e.Targets {
		if err := e.waitForListener(ctx, t.CallerAddress); err != nil {
			return fmt.Errorf("wait for node at %s: %w", t.CallerAddress, err)
		}
	}
	return nil
}

// Configure writes a version of the configuration with the given routes and keys.
func (e *Edge) Configure(version int, routes []standin.Route, keys ...string) error {
	body, err := standin.EncodeConfiguration(version, EdgeHost, routes, append([]string{EdgeKey}, keys...))
	if err != nil {
		return err
	}
	e.Store.Put("op", "config", body)
	return nil
}

// edgeDomain returns the failure domain of a node or a replica by its index. There are two,
// so that four nodes have a feeder and a node behind it in each.
func edgeDomain(i int) string { return [...]string{"a", "b"}[i%2] }

func (e *Edge) startReplica(service string) error {
	i := len(e.Replicas)
	r := &EdgeReplica{Replica: &standin.Replica{
		ID: fmt.Sprintf("i-%d", i), Service: service, Domain: edgeDomain(i), Log: e.Log, Clock: e.Timer,
		NextFault: func() standin.Fault { return standin.NoFault },
	}}
	r.PauseLeft = func() time.Duration { return snipeford.Instant(r.pausedUntil.Load()).Sub(e.Timer.Now()) }
	address, err := e.serve(r)
	if err != nil {
		return err
	}
	if r.Row, err = r.Replica.Row(address); err != nil {
		return fmt.Errorf("encode row of replica: %w", err)
	}
	e.Replicas = append(e.Replicas, r)
	e.Store.Put("servers", r.ID, r.Row)
	return nil
}

// edgeStopGrace is the time that a node has to stop.
const edgeStopGrace = 6 * time.Second

func (e *Edge) startNode(i int) error {
	var addresses [4]string
	for k := range addresses {
		var err error
		if addresses[k], err = e.host.Address(); err != nil {
			return fmt.Errorf("choose address of node: %w", err)
		}
	}
	name := NodeName(i)
	store, err := e.serve(e.Store.HandlerFor(name, nil))
	if err != nil {
		return err
	}
	path, err := relay.Start(store)
	if err != nil {
		return err
	}
	e.TableRelays = append(e.TableRelays, path)
	settings := EdgeSettings{
		Node: name, FailureDomain: edgeDomain(i), Addresses: addresses[:], Store: path.Address(), Revocation: e.Plan.Revocation, StopGrace: edgeStopGrace,
		MemoryMegabytes: e.Plan.MemoryMegabytes,
	}
	if err := os.WriteFile(e.settingsPath(name), settings.Encode(), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	e.settings = append(e.settings, settings)
	e.Targets = append(e.Targets, load.Target{CallerAddress: addresses[0], OperatorAddress: addresses[3]})
	return e.startProcess(name, addresses[0], e.Plan.Snipeford, "edge", "-settings", e.settingsPath(name))
}

func (e *Edge) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	e.servers = append(e.servers, server)
	// Serve returns when Close closes the server.
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Feeders returns the indexes of the nodes whose rows others have said, in their logs, to
// follow.
func (e *Edge) Feeders() ([]int, error) {
	found := map[int]bool{}
	for _, fed := range e.NodeIndexes() {
		text, err := os.ReadFile(filepath.Join(e.Plan.Directory, NodeName(fed)+".log"))
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		for line := range strings.Lines(string(text)) {
			for _, i := range e.NodeIndexes() {
				if strings.Contains(line, `"rows of feeder"`) && strings.Contains(line, fmt.Sprintf(`"Peer":%q`, NodeName(i))) {
					found[i] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(found)), nil
}

// NodeRows returns the keys of the nodes' rows in the store.
func (e *Edge) NodeRows(ctx context.Context) (map[string]bool, error) {
	address, err := e.serve(e.Store.Handler())
	if err != nil {
		return nil, err
	}
	batch, err := (&platform.Store{Address: address, HTTP: &e.client}).Snapshot(ctx, snipeford.MemberRows)
	if err != nil {
		return nil, fmt.Errorf("read rows of nodes: %w", err)
	}
	out := map[string]bool{}
	for _, change := range batch.Changes {
		out[change.Key] = true
	}
	return out, nil
}

// Close kills the nodes and closes the relays and servers.
func (e *Edge) Close() {
	e.Rig.Close()
	for _, s := range e.servers {
		// Closing fails only if a listener is closed already.
		_ = s.Close()
	}
}

// Settings returns the settings of a node.
func (e *Edge) Settings(node int) EdgeSettings { return e.settings[node] }
