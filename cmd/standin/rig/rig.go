// Package rig starts a small fleet as separate processes on loopback: the
// stand-ins of the platform and of the upstreams, and the nodes. It ends only
// processes that it started, by process id.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/relay"
	"snipeford/internal/experiment/load"
)

// Plan says what a rig consists of.
type Plan struct {
	// Snipeford and Standin are the paths of the two programs.
	Snipeford, Standin string
	// Directory takes settings and logs.
	Directory string
	Domains   []snipeford.FailureDomain
	Nodes     int
	Engines   int
	Services  int
	Model     snipeford.Model
	Service   snipeford.ServiceName
	// Cold lets the engines start cold.
	Cold bool
	// FencesEvery n: each n-th engine ignores fencing numbers; 0 means none does.
	FencesEvery int
	// ListLag is by how much the VM list is late, LoadLag the load reports.
	ListLag, LoadLag time.Duration
	// LeaveDelay is written to the nodes' settings.
	LeaveDelay time.Duration
	TraceFiles bool
	Memory     snipeford.Tokens
	// Relays puts a relay that can be cut before each node's way to the table
	// and before its peers' listener.
	Relays bool
}

// OperatorKey and peerKey are secrets of rigs alone.
const (
	OperatorKey = "rig-operator-key-0001"
	peerKey     = "rig-peer-key-00000001"
)

// Process is one started process.
type Process struct {
	Name    string
	Address string
	command *exec.Cmd
	ended   chan struct{}
}

// Rig is a running fleet.
type Rig struct {
	Plan      Plan
	Timer     *timer.Clock
	TableAt   string
	ListAt    string
	Upstreams []snipeford.Upstream
	Targets   []load.Target

	// TableRelays and PeerRelays hold one relay a node, where the plan has any.
	TableRelays, PeerRelays []*relay.Relay

	mu        sync.Mutex
	processes map[string]*Process
	client    http.Client
}

// Start starts all processes and waits until each answers.
func Start(ctx context.Context, p Plan) (*Rig, error) {
	if err := os.MkdirAll(p.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	r := &Rig{Plan: p, Timer: &timer.Clock{}, processes: map[string]*Process{}}
	r.client.Timeout = 2 * time.Second
	if err := r.startAll(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) startAll(ctx context.Context) error {
	addresses, err := freeAddresses(2 + r.Plan.Engines + r.Plan.Services + 3*r.Plan.Nodes)
	if err != nil {
		return err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	r.TableAt, r.ListAt = next(), next()
	if err := r.standin("table", r.TableAt, "table", "-listen", r.TableAt); err != nil {
		return err
	}
	if err := r.standin("vms", r.ListAt, "vms", "-listen", r.ListAt, "-lag", r.Plan.ListLag.String()); err != nil {
		return err
	}
	if err := r.startUpstreams(next); err != nil {
		return err
	}
	if err := r.waitAll(ctx); err != nil {
		return err
	}
	if err := r.SetList(ctx, r.Upstreams); err != nil {
		return err
	}
	for i := range r.Plan.Nodes {
		if err := r.startNode(i, next(), next(), next()); err != nil {
			return err
		}
	}
	return r.waitNodes(ctx)
}

func (r *Rig) startUpstreams(next func() string) error {
	for i := range r.Plan.Engines {
		u := snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("engine-%02d", i+1)), Kind: snipeford.KindEngine, Model: r.Plan.Model,
			Domain: r.domain(i), Address: next(), Memory: r.memory(),
			ChecksFencingToken: r.Plan.FencesEvery == 0 || (i+1)%r.Plan.FencesEvery != 0,
		}
		r.Upstreams = append(r.Upstreams, u)
		if err := r.StartEngine(u, r.Plan.Cold); err != nil {
			return err
		}
	}
	for i := range r.Plan.Services {
		u := snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("service-%d", i+1)), Kind: snipeford.KindService,
			Service: r.Plan.Service, Domain: r.domain(i), Address: next(),
		}
		r.Upstreams = append(r.Upstreams, u)
		if err := r.standin(string(u.ID), u.Address, "service", "-id", string(u.ID), "-listen", u.Address); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) memory() snipeford.Tokens {
	if r.Plan.Memory > 0 {
		return r.Plan.Memory
	}
	return 400_000
}

// StartEngine starts an engine's process, also after it was killed.
func (r *Rig) StartEngine(u snipeford.Upstream, cold bool) error {
	args := []string{"engine", "-id", string(u.ID), "-listen", u.Address, "-lag", r.Plan.LoadLag.String(), "-memory", fmt.Sprint(u.Memory)}
	if cold {
		args = append(args, "-cold")
	}
	if u.ChecksFencingToken {
		args = append(args, "-fences")
	}
	return r.standin(string(u.ID), u.Address, args...)
}

func (r *Rig) domain(i int) snipeford.FailureDomain { return r.Plan.Domains[i%len(r.Plan.Domains)] }

// NodeName returns the name of the i-th node, from zero.
func NodeName(i int) string { return fmt.Sprintf("node-%d", i+1) }

func (r *Rig) startNode(i int, caller, peer, operator string) error {
	delay := r.Plan.LeaveDelay
	if delay == 0 {
		delay = time.Second
	}
	name := NodeName(i)
	table, listen := r.TableAt, peer
	if r.Plan.Relays {
		var err error
		if table, peer, err = r.relays(peer); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("Node = %q\nFailureDomain = %q\nCallerAddress = %q\nPeerAddress = %q\nPeerListenAddress = %q\nOperatorAddress = %q\nTable = %q\nVMList = %q\nPeerKey = %q\nOperatorKey = %q\nLeaveDelay = %q\n",
		name, r.domain(i), caller, peer, listen, operator, "http://"+table, "http://"+r.ListAt, peerKey, OperatorKey, delay)
	if r.Plan.TraceFiles {
		text += fmt.Sprintf("TraceFile = %q\n", filepath.Join(r.Plan.Directory, name+".trace"))
	}
	if err := os.WriteFile(r.settingsPath(name), []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	r.Targets = append(r.Targets, load.Target{CallerAddress: caller, OperatorAddress: operator})
	return r.StartNode(i)
}

// relays starts a node's relays and returns their addresses.
func (r *Rig) relays(peer string) (table, peers string, err error) {
	toTable, err := relay.Start(r.TableAt)
	if err != nil {
		return "", "", err
	}
	toPeer, err := relay.Start(peer)
	if err != nil {
		return "", "", err
	}
	r.TableRelays = append(r.TableRelays, toTable)
	r.PeerRelays = append(r.PeerRelays, toPeer)
	return toTable.Address(), toPeer.Address(), nil
}

func (r *Rig) settingsPath(name string) string {
	return filepath.Join(r.Plan.Directory, name+".toml")
}

// StartNode starts the i-th node, also after it ended.
func (r *Rig) StartNode(i int) error {
	name := NodeName(i)
	return r.start(name, r.Targets[i].OperatorAddress, r.Plan.Snipeford, "serve", "-settings", r.settingsPath(name))
}

func (r *Rig) standin(name, address string, args ...string) error {
	return r.start(name, address, r.Plan.Standin, args...)
}

func (r *Rig) start(name, address, program string, args ...string) error {
	out, err := os.OpenFile(filepath.Join(r.Plan.Directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, Address: address, command: command, ended: make(chan struct{})}
	go func() {
		// How it ended stands in its log.
		_ = command.Wait()
		close(p.ended)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[name] = p
	return nil
}

// Signal sends a signal to one process that this rig started.
func (r *Rig) Signal(name string, s syscall.Signal) error {
	r.mu.Lock()
	p := r.processes[name]
	r.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no process %s", name)
	}
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	return nil
}

// Kill ends a process at once and waits for its end.
func (r *Rig) Kill(name string) error {
	if err := r.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-r.Ended(name)
	return nil
}

// Ended returns a channel that is closed when the process has ended.
func (r *Rig) Ended(name string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name].ended
}

// ProcessID returns the id of a process of this rig.
func (r *Rig) ProcessID(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name].command.Process.Pid
}

// Close ends all processes that are left, and returns how many there were.
func (r *Rig) Close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := 0
	for _, one := range append(r.TableRelays, r.PeerRelays...) {
		one.Close()
	}
	for _, p := range r.processes {
		select {
		case <-p.ended:
			continue
		default:
		}
		// A process that ends in between needs no signal.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
		ended++
	}
	return ended
}

// startTimeout bounds the start of all processes.
const startTimeout = 20 * time.Second

func (r *Rig) waitAll(ctx context.Context) error {
	for _, p := range r.processes {
		if err := r.wait(ctx, p.Address); err != nil {
			return fmt.Errorf("start of %s: %w", p.Name, err)
		}
	}
	return nil
}

// wait returns when something listens at the address.
func (r *Rig) wait(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if !r.Timer.Sleep(ctx, 20*time.Millisecond) {
			return err
		}
	}
}

func (r *Rig) waitNodes(ctx context.Context) error {
	for _, t := range r.Targets {
		if err := r.wait(ctx, t.OperatorAddress); err != nil {
			return fmt.Errorf("start of node at %s: %w", t.OperatorAddress, err)
		}
	}
	return nil
}

// SetList replaces the VM list.
func (r *Rig) SetList(ctx context.Context, list []snipeford.Upstream) error {
	return r.Control(ctx, http.MethodPut, r.ListAt, "/control/vms", list)
}

// Control sends an order to a stand-in.
func (r *Rig) Control(ctx context.Context, method, address, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode control: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("build control: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("control %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control %s%s: status %d", address, path, resp.StatusCode)
	}
	return nil
}

// Read gets a stand-in's state.
func (r *Rig) Read(ctx context.Context, address, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("build read: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("read %s: %w", address, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("decode state of %s: %w", address, err)
	}
	return nil
}

// Ports of rigs lie below those that systems hand out to connections, so that
// no connection of another rig takes one between its choice and its use.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

var nextPort atomic.Int64

// freeAddresses returns n loopback addresses that nobody listens at.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		span := int64(lastPort - firstPort)
		port := firstPort + (nextPort.Add(1)+int64(os.Getpid())*97)%span
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, address)
	}
	return out, nil
}
