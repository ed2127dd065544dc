// Package rig runs a small fleet as separate processes on loopback: the
// emulators of the platform and the upstreams, and the nodes. It signals only
// processes that it started, by process id.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/loopback"
	"snipeford/internal/emulate/relay"
	"snipeford/internal/experiment/load"
)

// Plan describes the processes of a rig.
type Plan struct {
	// Snipeford and Standin are the paths of the two executables.
	Snipeford, Standin string
	// Directory holds the settings files, logs and traces.
	Directory string
	Domains   []snipeford.FailureDomain
	Nodes     int
	Engines   int
	Services  int
	Model     snipeford.Model
	Service   snipeford.ServiceName
	// Cold starts the engines cold: their concurrency limit starts low and grows
	// with the tokens that they process.
	Cold bool
	// IgnoreFencingEvery makes every n-th engine ignore fencing tokens. If it is 0,
	// all engines check them.
	IgnoreFencingEvery int
	// ListLag is the delay of the VM list, LoadLag that of the load reports.
	ListLag, LoadLag time.Duration
	// LeaveDelay is the nodes' LeaveDelay setting; 0 means one second.
	LeaveDelay time.Duration
	// TraceFiles makes each node write its spans to a trace file in Directory.
	TraceFiles bool
	// EngineMemory is the memory of each engine in tokens; 0 means 400,000.
	EngineMemory snipeford.Tokens
	// Relays puts a relay between each node and the table, and another one in
	// front of its peer listener, so that scenarios can cut the connections.
	Relays bool
}

// OperatorKey and peerKey are keys that only rigs use.
const (
	OperatorKey = "rig-operator-key-0001"
	peerKey     = "rig-peer-key-00000001"
)

// Process is a process that a rig started.
type Process struct {
	Name    string
	Address string
	command *exec.Cmd
	exited  chan struct{}
}

// Rig is a running fleet. TableAddress and VMListAddress are the addresses of the
// table and of the VM list.
type Rig struct {
	Plan          Plan
	Timer         *timer.Clock
	TableAddress  string
	VMListAddress string
	Upstreams     []snipeford.Upstream
	Targets       []load.Target

	// TableRelays and PeerRelays hold one relay per node if Plan.Relays is set.
	TableRelays, PeerRelays []*relay.Relay

	// host provides the addresses of the processes.
	host      *loopback.Host
	mu        sync.Mutex
	processes map[string]*Process
	client    http.Client
}

// Start starts all processes and waits until each accepts connections.
func Start(ctx context.Context, p Plan) (*Rig, error) {
	if err := os.MkdirAll(p.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	r := &Rig{Plan: p, Timer: &timer.Clock{}, processes: map[string]*Process{}}
	r.client.Timeout = 2 * time.Second
	if err := r.startProcesses(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Rig) startProcesses(ctx context.Context) error {
	var err error
	if r.host, err = loopback.Reserve(); err != nil {
		return err
	}
	addresses := make([]string, 2+r.Plan.Engines+r.Plan.Services+3*r.Plan.Nodes)
	for i := range addresses {
		if addresses[i], err = r.host.Address(); err != nil {
			return fmt.Errorf("choose address of process: %w", err)
		}
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	r.TableAddress, r.VMListAddress = next(), next()
	if err := r.startStandin("table", r.TableAddress, "table", "-listen", r.TableAddress); err != nil {
		return err
	}
	if err := r.startStandin("vms", r.VMListAddress, "vms", "-listen", r.VMListAddress, "-lag", r.Plan.ListLag.String()); err != nil {
		return err
	}
	if err := r.startUpstreams(next); err != nil {
		return err
	}
	if err := r.waitForProcesses(ctx); err != nil {
		return err
	}
	if err := r.SetVMList(ctx, r.Upstreams); err != nil {
		return err
	}
	for i := range r.Plan.Nodes {
		if err := r.startNode(i, next(), next(), next()); err != nil {
			return err
		}
	}
	return r.waitForNodes(ctx)
}

func (r *Rig) startUpstreams(next func() string) error {
	for i := range r.Plan.Engines {
		u := snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("engine-%02d", i+1)), Kind: snipeford.KindEngine, Model: r.Plan.Model,
			Domain: r.domainAt(i), Address: next(), Memory: r.engineMemory(),
			ChecksFencingToken: r.Plan.IgnoreFencingEvery == 0 || (i+1)%r.Plan.IgnoreFencingEvery != 0,
		}
		r.Upstreams = append(r.Upstreams, u)
		if err := r.StartEngine(u, r.Plan.Cold); err != nil {
			return err
		}
	}
	for i := range r.Plan.Services {
		u := snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("service-%d", i+1)), Kind: snipeford.KindService,
			Service: r.Plan.Service, Domain: r.domainAt(i), Address: next(),
		}
		r.Upstreams = append(r.Upstreams, u)
		if err := r.startStandin(string(u.ID), u.Address, "service", "-id", string(u.ID), "-listen", u.Address); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) engineMemory() snipeford.Tokens {
	if r.Plan.EngineMemory > 0 {
		return r.Plan.EngineMemory
	}
	return 400_000
}

// StartEngine starts or restarts an engine.
func (r *Rig) StartEngine(u snipeford.Upstream, cold bool) error {
	args := []string{"engine", "-id", string(u.ID), "-listen", u.Address, "-lag", r.Plan.LoadLag.String(), "-memory", fmt.Sprint(u.Memory)}
	if cold {
		args = append(args, "-cold")
	}
	if u.ChecksFencingToken {
		args = append(args, "-fences")
	}
	return r.startStandin(string(u.ID), u.Address, args...)
}

func (r *Rig) domainAt(i int) snipeford.FailureDomain { return r.Plan.Domains[i%len(r.Plan.Domains)] }

// NodeName returns the name of the node with index i, starting at zero.
func NodeName(i int) string { return fmt.Sprintf("node-%d", i+1) }

func (r *Rig) startNode(i int, caller, peer, operator string) error {
	delay := r.Plan.LeaveDelay
	if delay == 0 {
		delay = time.Second
	}
	name := NodeName(i)
	table, listen := r.TableAddress, peer
	if r.Plan.Relays {
		var err error
		if table, peer, err = r.startRelays(peer); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("Node = %q\nFailureDomain = %q\nCallerAddress = %q\nPeerAddress = %q\nPeerListenAddress = %q\nOperatorAddress = %q\nTable = %q\nVMList = %q\nPeerKey = %q\nOperatorKey = %q\nLeaveDelay = %q\n",
		name, r.domainAt(i), caller, peer, listen, operator, "http://"+table, "http://"+r.VMListAddress, peerKey, OperatorKey, delay)
	if r.Plan.TraceFiles {
		text += fmt.Sprintf("TraceFile = %q\n", filepath.Join(r.Plan.Directory, name+".trace"))
	}
	if err := os.WriteFile(r.settingsPath(name), []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	r.Targets = append(r.Targets, load.Target{CallerAddress: caller, OperatorAddress: operator})
	return r.StartNode(i)
}

// startRelays starts the relays of the node whose peer listener has the given
// address, and returns the relays' addresses.
func (r *Rig) startRelays(peer string) (table, peers string, err error) {
	toTable, err := relay.Start(r.TableAddress)
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

// StartNode starts or restarts the node with index i.
func (r *Rig) StartNode(i int) error {
	name := NodeName(i)
	return r.startProcess(name, r.Targets[i].OperatorAddress, r.Plan.Snipeford, "serve", "-settings", r.settingsPath(name))
}

func (r *Rig) startStandin(name, address string, args ...string) error {
	return r.startProcess(name, address, r.Plan.Standin, args...)
}

func (r *Rig) startProcess(name, address, program string, args ...string) error {
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
	p := &Process{Name: name, Address: address, command: command, exited: make(chan struct{})}
	go func() {
		// The process's log holds the cause of its exit.
		_ = command.Wait()
		close(p.exited)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes[name] = p
	return nil
}

// Signal sends a signal to a process of this rig.
func (r *Rig) Signal(name string, s syscall.Signal) error {
	r.mu.Lock()
	p := r.processes[name]
	r.mu.Unlock()
	if p == nil {
		return fmt.Errorf("rig has no process %s", name)
	}
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	return nil
}

// Kill sends SIGKILL to a process and waits until it has exited.
func (r *Rig) Kill(name string) error {
	if err := r.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-r.Exited(name)
	return nil
}

// Exited returns a channel that is closed when the process has exited.
func (r *Rig) Exited(name string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name].exited
}

// ProcessID returns the id of a process of this rig.
func (r *Rig) ProcessID(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[name].command.Process.Pid
}

// Close closes the relays, kills all running processes and returns how many it
// killed.
func (r *Rig) Close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	killed := 0
	for _, rl := range append(r.TableRelays, r.PeerRelays...) {
		rl.Close()
	}
	for _, p := range r.processes {
		select {
		case <-p.exited:
			continue
		default:
		}
		// The signals fail if the process has exited meanwhile.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
		killed++
	}
	if r.host != nil {
		// Closing a listener fails only if it is closed already.
		_ = r.host.Close()
	}
	return killed
}

// startTimeout limits how long a process may take to accept connections, and
// how long Apply retries.
const startTimeout = 20 * time.Second

func (r *Rig) waitForProcesses(ctx context.Context) error {
	for _, p := range r.processes {
		if err := r.waitForListener(ctx, p.Address); err != nil {
			return fmt.Errorf("wait for %s: %w", p.Name, err)
		}
	}
	return nil
}

// waitForListener waits until the address accepts connections.
func (r *Rig) waitForListener(ctx context.Context, address string) error {
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

func (r *Rig) waitForNodes(ctx context.Context) error {
	for _, t := range r.Targets {
		if err := r.waitForListener(ctx, t.OperatorAddress); err != nil {
			return fmt.Errorf("wait for node at %s: %w", t.OperatorAddress, err)
		}
	}
	return nil
}

// SetVMList replaces the upstreams in the VM list.
func (r *Rig) SetVMList(ctx context.Context, upstreams []snipeford.Upstream) error {
	return r.SendControl(ctx, http.MethodPut, r.VMListAddress, "/control/vms", upstreams)
}

// SendControl sends a control request to an emulator.
func (r *Rig) SendControl(ctx context.Context, method, address, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode control request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("build control request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("send control request to %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control request to %s%s: status %d", address, path, resp.StatusCode)
	}
	return nil
}

// ReadState reads the state or the counts of an emulator into a value.
func (r *Rig) ReadState(ctx context.Context, address, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("build state request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("read state of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("decode state of %s: %w", address, err)
	}
	return nil
}
