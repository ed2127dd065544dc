// Package soak runs nodes of the users' platform as separate processes against
// its stand-ins, injects faults from outside by a seed, and checks the promises
// from what callers and replicas see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/relay"
	"snipeford/platform/standin"
)

// Plan says how large a run is and how long it lasts.
type Plan struct {
	// Program is the path of the node's program.
	Program         string
	Directory       string
	Seed            uint64
	Duration        time.Duration
	Nodes           int
	ModelReplicas   int
	ServiceReplicas int
	Clients         int
}

// host is the name under which the routes are reached.
const host = "soak.example"

// fleet is what a run consists of. It ends only processes that it started.
type fleet struct {
	plan     Plan
	clock    *timer.Clock
	store    *standin.Store
	ledger   *standin.RunCounter
	replicas []*standin.Replica
	// ways are the relays in front of the replicas.
	ways     []*relay.Relay
	servers  []*http.Server
	nodes    []*node
	troubles *troubles
	rows     map[string][]byte
}

// node is one process with its way to the store.
type node struct {
	settings string
	log      *os.File
	caller   string
	store    *relay.Relay
	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	stopping bool
}

// troubles draws what replicas do to requests.
type troubles struct {
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
}

func (t *troubles) next() standin.Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rng.Float64() >= t.share {
		return standin.NoFault
	}
	return standin.Fault(1 + t.rng.IntN(4))
}

// troubleShare is the part of the requests that replicas spoil.
const troubleShare = 0.04

func start(p Plan) (*fleet, error) {
	clock := &timer.Clock{}
	f := &fleet{plan: p, clock: clock, store: &standin.Store{Clock: clock}, ledger: &standin.RunCounter{}, rows: map[string][]byte{}}
	f.troubles = &troubles{rng: rand.New(rand.NewPCG(p.Seed, 2)), share: troubleShare}
	configuration, err := standin.Configuration(1, host)
	if err != nil {
		return nil, fmt.Errorf("make configuration: %w", err)
	}
	f.store.Put("op", "config", configuration)
	address, err := f.serve(f.store.Handler())
	if err != nil {
		return nil, err
	}
	for i := range p.ModelReplicas + p.ServiceReplicas {
		if err := f.startReplica(i); err != nil {
			return f, err
		}
	}
	for i := range p.Nodes {
		if err := f.startNode(i, address); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (f *fleet) startReplica(i int) error {
	r := &standin.Replica{ID: fmt.Sprintf("i-%d", i), Service: "model", Domain: zone(i), Runs: f.ledger, Clock: f.clock, NextFault: f.troubles.next}
	if i >= f.plan.ModelReplicas {
		r.Service = "plain"
	}
	address, err := f.serve(r)
	if err != nil {
		return err
	}
	way, err := relay.Start(address)
	if err != nil {
		return err
	}
	f.ways = append(f.ways, way)
	row, err := r.Row(way.Address())
	if err != nil {
		return fmt.Errorf("make replica's row: %w", err)
	}
	f.replicas = append(f.replicas, r)
	f.rows[r.ID] = row
	f.store.Put("servers", r.ID, row)
	return nil
}

func zone(i int) string { return [...]string{"a", "b", "c"}[i%3] }

const settingsText = `Node = "n%d"
FailureDomain = %q
CallerAddress = %q
ReadyAddress = %q
PeerAddress = %q
MetricsAddress = %q
Store = %q
ProcessorShare = 0.4
MemoryMegabytes = 284
RevocationMilliseconds = 5000
ConfigurationMilliseconds = 2000
StopGraceSeconds = 4
RepeatRatio = 0.2
RepeatWindowSeconds = 10
RepeatSlack = 100
`

func (f *fleet) startNode(i int, store string) error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	way, err := relay.Start(store)
	if err != nil {
		return err
	}
	n := &node{settings: filepath.Join(f.plan.Directory, fmt.Sprintf("n%d.toml", i)), caller: addresses[0], store: way}
	text := fmt.Sprintf(settingsText, i, zone(i), addresses[0], addresses[1], addresses[2], addresses[3], way.Address())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	n.log, err = os.Create(filepath.Join(f.plan.Directory, fmt.Sprintf("n%d.log", i)))
	if err != nil {
		return fmt.Errorf("make log: %w", err)
	}
	f.nodes = append(f.nodes, n)
	return n.start(f.plan.Program)
}

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (n *node) start(program string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping || n.process != nil {
		return nil
	}
	command := exec.Command(program, "edge", "-settings", n.settings)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	ended := make(chan struct{})
	n.process, n.ended = command, ended
	go func() {
		// The exit code is of no interest: the node may have been killed.
		_ = command.Wait()
		n.mu.Lock()
		n.process = nil
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process, if it runs.
func (n *node) signal(s syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		// A process that has just ended needs no signal.
		_ = n.process.Process.Signal(s)
	}
	return n.ended
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopping = true
		n.mu.Unlock()
		ended := n.signal(syscall.SIGKILL)
		<-ended
		n.store.Close()
		_ = n.log.Close()
	}
	for _, w := range f.ways {
		w.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
