// Package soak runs nodes as separate processes against an emulated platform,
// injects seeded faults from outside these processes, and checks the delivery
// guarantees against what clients and replicas observe.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/loopback"
	"snipeford/internal/emulate/relay"
	"snipeford/platform/standin"
)

// Plan configures the size and the duration of a run.
type Plan struct {
	// Program is the path of the snipeford executable.
	Program string
	// OldProgram is the path of the executable of an earlier build, or empty. Half of the
	// nodes start with it. The checks of variants Config and Limit do not judge them,
	// and that of Share judges nothing then.
	OldProgram      string
	Directory       string
	Seed            uint64
	Duration        time.Duration
	Nodes           int
	ModelReplicas   int
	ServiceReplicas int
	// WithoutCuts leaves out the cuts of variant CutOff.
	WithoutCuts bool
	Clients     int
	Variant     Variant
}

// host is the Host header of all requests and the host of all routes.
const host = "soak.example"

// fleet holds the nodes and the emulated platform of a run. It signals only
// processes that it started.
type fleet struct {
	plan       Plan
	clock      *timer.Clock
	store      *standin.Store
	requestLog *standin.RequestLog
	upstreams  []*upstreamHost
	// closers close the relays, links and servers.
	closers []func()
	nodes   []*node
	// host provides addresses that are fixed across restarts.
	host                 *loopback.Host
	nextReplicaFault     func() standin.Fault
	configurationVersion atomic.Int64
	// poison is the prompt part on which replicas crash.
	poison    *poison
	limited   log[*limitedReplica]
	relayCuts log[relayCut]
	cuts      cutLog
	// domainsOut holds the keys and values of the rows of failure domains that are out.
	domainsOut sync.Map
	// operator writes the configurations of variants Config and Limit.
	operator          *operator
	storeDisturbances log[span]
	storeReturns      log[span]
	// context ends at close, and with it the pending restarts of replicas.
	context  context.Context
	cancel   context.CancelFunc
	restarts sync.WaitGroup
}

// node is one node's process with the relay for its connections to the store.
type node struct {
	settingsFile  string
	log           *os.File
	callerAddress string
	storeRelay    *relay.Relay
	mu            sync.Mutex
	process       *exec.Cmd
	exited        chan struct{}
	stopping      bool
	// program is the path of the executable of the next start.
	program   string
	disturbed log[disturbance]
	// exits are the ends of processes.
	exits log[snipeford.Instant]
	clock *timer.Clock
}

// disturbance is a start of a node with a program, or a signal other than SIGHUP.
type disturbance struct {
	at      snipeford.Instant
	signal  syscall.Signal
	program string
}

func startFleet(p Plan) (*fleet, error) {
	clock := &timer.Clock{}
	f := &fleet{plan: p, clock: clock, store: &standin.Store{Clock: clock}, requestLog: &standin.RequestLog{}}
	f.poison = newPoison(p)
	f.context, f.cancel = context.WithCancel(context.Background())
	f.nextReplicaFault = replicaFaults(f.random(2), plays[p.Variant].replicaFaultRate)
	var err error
	if f.host, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	if err := f.writeFirstConfiguration(); err != nil {
		return f, err
	}
	for i := range p.ModelReplicas + p.ServiceReplicas + plays[p.Variant].spareReplicas {
		if err := f.startUpstream(i); err != nil {
			return f, err
		}
	}
	for i := range p.Nodes {
		if err := f.startNode(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) addresses(count int) ([]string, error) {
	out := make([]string, count)
	for i := range out {
		var err error
		if out[i], err = f.host.Address(); err != nil {
			return nil, fmt.Errorf("choose address: %w", err)
		}
	}
	return out, nil
}

// random returns a generator of a PCG stream: 2 and from 10 for faults, from 100 for clients.
func (f *fleet) random(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(f.plan.Seed, uint64(stream)))
}

func (f *fleet) randomOf(r *standin.Replica) *rand.Rand {
	return f.random(int(standin.NamedPart(r.ID, 0).ID))
}

func (f *fleet) writeFirstConfiguration() error {
	if f.plan.Variant == Config || f.plan.Variant == Limit {
		f.store.StateEra(firstEra)
		f.operator = &operator{store: f.store, clock: f.clock, nodes: f.plan.Nodes}
		return f.operator.begin()
	}
	if f.plan.Variant == Share {
		return f.writeShareConfiguration()
	}
	configuration, err := standin.Configuration(int(f.configurationVersion.Add(1)), host)
	if err != nil {
		return err
	}
	f.store.Put("op", "config", configuration)
	return nil
}

func failureDomain(i int) string { return [...]string{"a", "b", "c"}[i%3] }

func (f *fleet) startNode(i int) error {
	addresses, err := f.addresses(4)
	if err != nil {
		return err
	}
	storeAddress, err := f.serve(f.storeHandler(i))
	if err != nil {
		return err
	}
	storeRelay, err := relay.Start(storeAddress)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, storeRelay.Close)
	n := &node{settingsFile: filepath.Join(f.plan.Directory, fmt.Sprintf("n%d.toml", i)), callerAddress: addresses[0], storeRelay: storeRelay, clock: f.clock, program: f.plan.Program}
	if f.plan.OldProgram != "" && i%2 == 1 {
		n.program = f.plan.OldProgram
	}
	settings := rig.EdgeSettings{
		Node: callerName(i), FailureDomain: f.nodeDomain(i), Addresses: addresses, Store: storeRelay.Address(), Revocation: 5 * time.Second, StopGrace: stopGrace,
	}
	if err := os.WriteFile(n.settingsFile, settings.Encode(), 0o600); err != nil {
		return fmt.Errorf("write node settings: %w", err)
	}
	n.log, err = os.Create(filepath.Join(f.plan.Directory, fmt.Sprintf("n%d.log", i)))
	if err != nil {
		return fmt.Errorf("create node log: %w", err)
	}
	f.nodes = append(f.nodes, n)
	return n.start()
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping || n.process != nil {
		return nil
	}
	command := exec.Command(n.program, "edge", "-settings", n.settingsFile)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start node process: %w", err)
	}
	exited := make(chan struct{})
	n.process, n.exited = command, exited
	n.disturbed.add(disturbance{at: n.clock.Now(), program: n.program})
	go func() {
		// Wait returns an error if a fault killed the node.
		_ = command.Wait()
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		n.exits.add(n.clock.Now())
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process if it is running. The returned
// channel is closed when the process has exited. It is nil if none was ever started.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		if s != syscall.SIGHUP {
			n.disturbed.add(disturbance{at: n.clock.Now(), signal: s})
		}
		// Signal fails if the process has just exited.
		_ = n.process.Process.Signal(s)
	}
	return n.exited
}

func (f *fleet) close() {
	f.cancel()
	f.restarts.Wait()
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopping = true
		n.mu.Unlock()
		if exited := n.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
		_ = n.log.Close()
	}
	for _, closeOne := range f.closers {
		closeOne()
	}
	_ = f.host.Close()
}
