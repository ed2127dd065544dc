package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"snipeford/internal/control/timer"
	"snipeford/platform/standin"
)

// fleet is a small deployment: a store, replicas, and nodes as separate processes.
type fleet struct {
	program string
	dir     string
	// network is the second byte of the addresses of the machines, 127.N.z.m.
	network int
	clock   *timer.Clock
	store   *standin.Store
	record  *record
	// oneCore is set if each process has one core, and no more.
	oneCore bool

	mu       sync.Mutex
	machines []*machine
	servers  []*http.Server
	replicas []*replica
}

// machine is an entry VM with one process of snipeford.
type machine struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	store string
	// memoryMegabytes is the memory of the VM.
	memoryMegabytes int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// expected is set before the script ends the process.
	expected bool
	// home is the node that the process named last as the home of each service.
	home  map[string]string
	lines []string
}

func newFleet(program string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "snipeford-review-")
	if err != nil {
		return nil, err
	}
	clock := &timer.Clock{}
	f := &fleet{program: program, dir: dir, clock: clock, store: &standin.Store{Clock: clock}, record: r}
	f.store.StateEra(1)
	for n := 100; n < 200; n++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:19999", n))
		if err == nil {
			f.network = n
			f.servers = append(f.servers, &http.Server{})
			go func() { _ = f.servers[0].Serve(l) }()
			return f, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// serveStore starts a listener of the store for one caller.
func (f *fleet) serveStore(caller string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: f.store.HandlerFor(caller, nil)}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

const settingsText = `Node = %q
FailureDomain = %q
CallerAddress = "%s:8227"
ReadyAddress = "%s:8220"
PeerAddress = "%s:7340"
MetricsAddress = "%s:7341"
Store = %q
ProcessorShare = 0.4
MemoryMegabytes = %d
RevocationMilliseconds = 5000
ConfigurationMilliseconds = 2000
LeaveMilliseconds = 2000
FirstStart = "%t"
StopGraceSeconds = 8
RepeatRatio = 0.2
RepeatWindowSeconds = 10
RepeatSlack = 100
`

// addMachine adds a machine and starts its process. Zone is the number of its zone, and
// number that of the machine in the zone.
func (f *fleet) addMachine(zone, number int, first bool) (*machine, error) {
	m := &machine{fleet: f, zone: string(rune('a' + zone)), memoryMegabytes: 284, home: map[string]string{}}
	m.name = fmt.Sprintf("front-%s-%d", m.zone, number)
	m.ip = fmt.Sprintf("127.%d.%d.%d", f.network, zone+1, number)
	var err error
	if m.store, err = f.serveStore(m.name); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return m, m.start(first)
}

// startMachines starts all machines of the deployment and waits until they are ready.
func (f *fleet) startMachines() error {
	for n := range machinesPerZone {
		for z := range zones {
			if _, err := f.addMachine(z, n+1, true); err != nil {
				return err
			}
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) start(first bool) error {
	path := filepath.Join(m.fleet.dir, m.name+".toml")
	text := fmt.Sprintf(settingsText, m.name, m.zone, m.ip, m.ip, m.ip, m.ip, m.store, m.memoryMegabytes, first)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	// The sheets give a machine 4,100 descriptors.
	c := exec.Command("sh", "-c", `ulimit -n 4100 && exec "$0" edge`, m.fleet.program)
	c.Env = append(os.Environ(), "SNIPEFORD_CONFIG="+path)
	if m.fleet.oneCore {
		// The sheets give a machine one core, which its processor list reports.
		c.Env = append(c.Env, "GOMAXPROCS=1")
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	c.Stderr = c.Stdout
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.expected = c, exited, false
	m.mu.Unlock()
	m.fleet.record.add("process", map[string]any{"machine": m.name, "started": c.Process.Pid})
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			m.readLine(lines.Text())
		}
		err := c.Wait()
		m.mu.Lock()
		expected := m.expected
		m.mu.Unlock()
		m.fleet.record.add("process", map[string]any{"machine": m.name, "ended": fmt.Sprint(err), "byScript": expected})
		close(exited)
	}()
	return nil
}

func (m *machine) readLine(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.lines) < 20000 {
		m.lines = append(m.lines, text)
	}
	if !strings.Contains(text, `"home changed"`) {
		return
	}
	var line struct{ Service, To string }
	if json.Unmarshal([]byte(text), &line) == nil {
		m.home[line.Service] = line.To
	}
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	c := m.command
	m.expected = m.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	m.mu.Unlock()
	m.fleet.record.add("signal", map[string]any{"machine": m.name, "signal": s.String()})
	_ = c.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) homeOf(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.home[service]
}

func (m *machine) callers() string { return m.ip + ":8227" }

// awaitReady waits until the machine reports that it is ready.
func (m *machine) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ip + ":8220/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, limit)
}

// close ends all processes and servers that the fleet has started.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.command != nil {
			m.mu.Lock()
			m.expected = true
			m.mu.Unlock()
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	for _, r := range f.replicas {
		r.crash()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	for _, m := range f.machines {
		_ = os.WriteFile(filepath.Join(f.dir, m.name+".log"), []byte(strings.Join(m.lines, "\n")), 0o600)
	}
	fmt.Println("logs in", f.dir)
}
