package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	name, zone                  string
	front, ready, peer, metrics string
	settings                    string
	command                     *exec.Cmd
	exited                      chan struct{}
	log                         string
	mu                          sync.Mutex
	isReady                     bool
}

// bounds are settings that cases may change.
type bounds struct {
	revokeMs, configMs, graceS int
}

var sheetBounds = bounds{revokeMs: 5000, configMs: 2000, graceS: 8}

const settingsText = `Node = %q
FailureDomain = %q
CallerAddress = %q
ReadyAddress = %q
PeerAddress = %q
MetricsAddress = %q
Store = %q
ProcessorShare = 0.4
MemoryMegabytes = 284
RevocationMilliseconds = %d
ConfigurationMilliseconds = %d
StopGraceSeconds = %d
RepeatRatio = 0.2
RepeatWindowSeconds = 10
RepeatSlack = 100
`

var usedPorts = map[string]bool{}

// freeAddress returns a loopback address that nobody listens at. Its port is below those
// that the kernel gives to outgoing connections.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 3000+rand.Intn(12000))
		listener, err := net.Listen("tcp4", address)
		if err != nil || usedPorts[address] {
			continue
		}
		_ = listener.Close()
		usedPorts[address] = true
		return address
	}
}

func (w *world) newNode(name, zone string) *node {
	n := &node{name: name, zone: zone, front: freeAddress(), ready: freeAddress(), peer: freeAddress(), metrics: freeAddress()}
	n.settings = filepath.Join(w.dir, name+".toml")
	n.log = filepath.Join(w.dir, name+".log")
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) addNode(name, zone string, b bounds) (*node, error) {
	n := w.newNode(name, zone)
	w.writeSettings(n, w.store.address, b)
	return n, w.startNode(n)
}

func (w *world) writeSettings(n *node, storeAddress string, b bounds) {
	text := fmt.Sprintf(settingsText, n.name, n.zone, n.front, n.ready, n.peer, n.metrics, storeAddress, b.revokeMs, b.configMs, b.graceS)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

func (w *world) startNode(n *node) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	n.command = exec.Command(w.program, "edge")
	n.command.Env = append(os.Environ(), "SNIPEFORD_CONFIG="+n.settings)
	// The platform's machines have one core.
	n.command.Env = append(n.command.Env, "GOMAXPROCS=1")
	n.command.Stdout, n.command.Stderr = out, out
	n.exited = make(chan struct{})
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	w.line("node %s starts, pid %d, callers at %s", n.name, n.command.Process.Pid, n.front)
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		w.line("node %s ended: %v", n.name, err)
		close(exited)
	}(n.command, n.exited)
	return nil
}

// restart starts a node again that has been killed.
func (w *world) restart(n *node, after time.Duration) {
	<-n.exited
	if !w.sleep(after) {
		return
	}
	for range startTries {
		if err := w.startNode(n); err != nil {
			w.line("node %s does not start: %v", n.name, err)
			return
		}
		if !w.endsSoon(n) {
			return
		}
	}
}

const (
	// startTries is how often a node is started whose process ends at once, as it does if
	// another process has taken one of its ports. startTime is how long that takes.
	startTries = 5
	startTime  = 300 * time.Millisecond
)

// endsSoon reports whether a node's process ends right after its start.
func (w *world) endsSoon(n *node) bool {
	select {
	case <-n.exited:
		return true
	case <-w.ctx.Done():
	case <-time.After(startTime):
	}
	return false
}

func (w *world) signal(n *node, s syscall.Signal) {
	w.line("node %s gets %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

// watchReady asks all nodes each second whether they are ready, as the balancer does.
func (w *world) watchReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for w.ctx.Err() == nil {
		for _, n := range w.nodes {
			go func() {
				resp, err := client.Get("http://" + n.ready + "/api/ready")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				n.mu.Lock()
				changed := n.isReady != ok
				n.isReady = ok
				n.mu.Unlock()
				if changed {
					w.line("node %s ready: %t", n.name, ok)
				}
			}()
		}
		w.sleep(time.Second)
	}
}

func (n *node) readyNow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isReady
}

// startNodes starts nodes in the zones in turn, and waits until they are ready and have
// found each other.
func (w *world) startNodes(count int) error {
	for i := range count {
		if _, err := w.addNode(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zones[i%len(zones)], sheetBounds); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		for try := 0; try < startTries && w.endsSoon(n); try++ {
			n.front, n.ready, n.peer, n.metrics = freeAddress(), freeAddress(), freeAddress(), freeAddress()
			w.writeSettings(n, w.store.address, sheetBounds)
			if err := w.startNode(n); err != nil {
				return err
			}
		}
	}
	go w.watchReady()
	if !w.awaitReady(10 * time.Second) {
		return errors.New("nodes do not become ready")
	}
	w.sleep(2 * time.Second)
	return nil
}

func (w *world) awaitReady(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		all := true
		for _, n := range w.nodes {
			all = all && n.readyNow()
		}
		if all {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
