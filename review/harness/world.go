// Package main plays small deployments on loopback addresses: the platform's store,
// replicas and clients in this process, and nodes as separate processes.
package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes the events of a run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) since() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), text)
}

// storeRow is a row of the store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store: rows, a feed of their changes, and transactions.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]storeRow
	start   time.Time
	address string
	server  *http.Server
	// era is the value of the header Store-Era, or 0 for none. While away is set, calls get 503.
	era  uint64
	away bool
}

func newStore() (*store, error) {
	s := &store{changed: make(chan struct{}), rows: map[string]storeRow{}, start: time.Now()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if era > 0 {
			w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		}
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// door is another address of the store, for one node. While it is shut, calls get 503.
type door struct {
	address string
	shut    atomic.Bool
}

// addDoor opens another address of the store.
func (s *store) addDoor() (*door, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for store: %w", err)
	}
	d := &door{address: listener.Addr().String()}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.server.Handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

func (s *store) nowMs() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.write(table, key, base64.StdEncoding.EncodeToString(raw), false)
}

func (s *store) remove(table, key string) { s.write(table, key, "", true) }

func (s *store) write(table, key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"\x00"+key] = storeRow{Table: table, Key: key, Value: value, Version: s.version, Deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyRows returns a copy of the store's rows.
func (s *store) copyRows() (map[string]storeRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows), s.version
}

// goAway makes the store refuse all calls and end those that wait.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store serve again, from a copy, in a new era.
func (s *store) comeBack(rows map[string]storeRow, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.away = rows, version, false
	s.era++
}

// isAway reports whether writers have to try again.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) reply(w http.ResponseWriter, rows []storeRow, more bool, version uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "schemaVersion": version, "nowMs": s.nowMs()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var out []storeRow
	for _, row := range s.rows {
		if row.Table == r.FormValue("table") && !row.Deleted && row.Key >= r.FormValue("from") {
			out = append(out, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	s.reply(w, out[:min(len(out), 500)], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("afterRev"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		var out []storeRow
		for _, row := range s.rows {
			if row.Table == r.FormValue("table") && row.Version > after {
				out = append(out, row)
			}
		}
		version, changed, gone, lost := s.version, s.changed, after > s.version, s.away || s.era != era
		s.mu.Unlock()
		if lost {
			// The store ends its connections when it goes away.
			panic(http.ErrAbortHandler)
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
		if len(out) > 0 || waitMs == 0 {
			s.reply(w, out, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct{ Writes, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range body.Writes {
		s.write(row.Table, row.Key, row.Value, false)
	}
	for _, row := range body.Remove {
		s.write(row.Table, row.Key, "", true)
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.reply(w, nil, false, version)
}

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

// world is one deployment.
type world struct {
	*record
	dir      string
	program  string
	store    *store
	nodes    []*node
	mu       sync.Mutex
	replicas []*replica
	ctx      context.Context
	cancel   context.CancelFunc
	trouble  bool
	arrived  map[string]int
	// share is the share of one core that a node has, or 0 for no limit.
	share float64
	kept  sync.WaitGroup
}

func newWorld(caseDir, program string) (*world, error) {
	r, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, program: program, store: s, trouble: os.Getenv("TROUBLE") != "0"}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w, nil
}

// close ends all that the world has started.
func (w *world) close() {
	w.cancel()
	for _, n := range w.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	for _, p := range w.list() {
		p.stop()
	}
	_ = w.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

var usedPorts = map[string]bool{}

// freeAddress returns a loopback address that nobody listens at. Its port is below those
// that the kernel gives to outgoing connections.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.Intn(22000))
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
	if w.share > 0 {
		n.command.Env = append(n.command.Env, "GOMAXPROCS=1")
	}
	n.command.Stdout, n.command.Stderr = out, out
	n.exited = make(chan struct{})
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	w.line("node %s starts, pid %d, callers at %s", n.name, n.command.Process.Pid, n.front)
	if w.share > 0 {
		go w.limitProcessor(n, w.share)
	}
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
	if err := w.startNode(n); err != nil {
		w.line("node %s does not start: %v", n.name, err)
	}
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

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (w *world) list() []*replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*replica(nil), w.replicas...)
}

// replica is one incarnation of a replica.
type replica struct {
	world             *world
	id, service, zone string
	address           string
	slots             int
	born              int64
	coldUntil         time.Time
	serve             func(p *replica, w http.ResponseWriter, r *http.Request)
	server            *http.Server
	listener          net.Listener
	mu                sync.Mutex
	conns             map[net.Conn]bool
	stopped           bool
	state             string
	sequence          int
	silent            bool
	silentSince       time.Time
	running           int
	runs              map[string]int
}

var (
	nextReplica int
	replicaMu   sync.Mutex
)

// addReplica starts a replica at an address, or at a free one if that is empty.
func (w *world) addReplica(service, zone, address string, slots int, cold time.Duration, serve func(*replica, http.ResponseWriter, *http.Request)) (*replica, error) {
	replicaMu.Lock()
	nextReplica++
	id := fmt.Sprintf("i-%06x", 0x1a2b3+nextReplica*7919)
	replicaMu.Unlock()
	if address == "" {
		address = freeAddress()
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for replica: %w", err)
	}
	p := &replica{world: w, id: id, service: service, zone: zone, address: address, slots: slots, born: time.Now().UnixMilli(), coldUntil: time.Now().Add(cold), serve: serve, listener: listener, conns: map[net.Conn]bool{}, state: "ready", runs: map[string]int{}}
	p.server = &http.Server{Handler: p, IdleTimeout: 5 * time.Second, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(p.conns, c)
			return
		}
		p.conns[c] = true
	}}
	go func() { _ = p.server.Serve(listener) }()
	w.mu.Lock()
	w.replicas = append(w.replicas, p)
	w.mu.Unlock()
	go p.beat()
	return p, nil
}

const beatInterval = 1200 * time.Millisecond

func (p *replica) row() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	cold := max(0, time.Until(p.coldUntil).Milliseconds())
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state,
		"coldLeftMs": cold, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": p.sequence, "born": p.born,
	}
}

// beat writes the replica's row, and removes it three intervals after the replica's end.
func (p *replica) beat() {
	for p.world.ctx.Err() == nil {
		p.mu.Lock()
		silent, since := p.silent, p.silentSince
		p.mu.Unlock()
		if silent {
			if time.Since(since) >= 3*beatInterval {
				p.world.store.remove("servers", p.id)
				return
			}
		} else if !p.world.store.isAway() {
			p.world.store.put("servers", p.id, p.row())
		}
		p.world.sleep(beatInterval)
	}
}

// crash resets all connections and closes the listener; the row expires.
func (p *replica) crash() {
	p.mu.Lock()
	p.stopped, p.silent, p.silentSince = true, true, time.Now()
	conns := make([]net.Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *replica) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	_ = p.server.Close()
}

func (p *replica) begin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.runs[id]++
}

func (p *replica) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// ServeHTTP serves one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", min(running, p.slots), max(0, running-p.slots), p.slots))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Replica-Id", p.id)
		return
	}
	p.serve(p, w, r)
}

func seal(id string) string { return "seal." + id }

// answer is what a client saw of one request.
type answer struct {
	id, route    string
	node         *node
	sent, ended  time.Time
	status       int
	header       http.Header
	body         string
	complete     bool
	headAt       time.Time
	firstEventAt time.Time
	err          error
}

// request is a request of a client.
type request struct {
	id, method, host, path, key, prefix, tokens, body string
	deadline                                          time.Duration
	// patience is how long the client waits for the first byte of the body and between two.
	patience time.Duration
	header   http.Header
}

// do sends a request to a node over a client's connections and reads the answer.
func do(ctx context.Context, client *http.Client, n *node, q request) answer {
	a := answer{id: q.id, route: q.path, node: n, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	for name, values := range q.header {
		r.Header[name] = values
	}
	r.Host = q.host
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Api-Key", q.key)
	}
	if q.tokens != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Usage", q.tokens)
		r.Header.Set("X-Prompt-Prefix", q.prefix)
	}
	var impatient *time.Timer
	if q.patience > 0 {
		impatient = time.AfterFunc(q.patience, cancel)
		defer impatient.Stop()
	}
	resp, err := client.Do(r)
	if err != nil {
		a.err, a.ended = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.status, a.header, a.headAt = resp.StatusCode, resp.Header, time.Now()
	var body bytes.Buffer
	chunk := make([]byte, 4096)
	for {
		got, err := resp.Body.Read(chunk)
		if got > 0 {
			if body.Len() == 0 {
				a.firstEventAt = time.Now()
			}
			body.Write(chunk[:got])
			if impatient != nil {
				impatient.Reset(q.patience)
			}
		}
		if err == io.EOF {
			a.complete = true
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.body, a.ended = body.String(), time.Now()
	return a
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 12 * time.Second}}
}
