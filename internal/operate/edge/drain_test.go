package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/pipe"
	"snipeford/internal/operate/decision"
	"snipeford/internal/operate/settings"
	"snipeford/internal/operate/span"
	"snipeford/internal/request/relay"
	"snipeford/internal/rule/plan"
)

// startCallers returns a node that serves callers with handler, and a connection to it.
func startCallers(t *testing.T, handler http.HandlerFunc, wrap func(net.Listener) net.Listener) (*Node, net.Conn) {
	t.Helper()
	network, clock := &pipe.Network{}, &timer.Clock{}
	n := &Node{settings: settings.Edge{StopGrace: 8 * time.Second}, timer: clock, log: decision.New("n", log.InfoLevel, clock), relay: &relay.Server{Timer: clock}}
	group, ctx := errgroup.WithContext(t.Context())
	n.serveCallers(ctx, group, wrap(network.Listen("callers")), handler)
	c, err := network.Dial(ctx, "callers")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = n.callers.Close()
	})
	return n, c
}

func asIs(l net.Listener) net.Listener { return l }

func sendText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("got %v while a request was sent, want an open connection", err)
	}
}

// readResponse reads a response from a caller's connection.
func readResponse(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestRequestArrivesWhileNodeStops guards against requests that have begun to arrive
// when the drain ends, and that were cut off without a response.
func TestRequestArrivesWhileNodeStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, c := startCallers(t, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		}, asIs)
		stopped := make(chan struct{})
		go func() {
			n.drain(context.Background())
			_ = n.callers.Close()
			close(stopped)
		}()
		time.Sleep(loadBalancerDelay - 10*time.Millisecond)
		sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(100 * time.Millisecond)
		sendText(t, c, "\r\n")
		if got, err := readResponse(c); got != "done" || err != nil {
			t.Errorf("got %q %v, want the whole response", got, err)
		}
		<-stopped
	})
}

// arrivalListener calls arrived when data has been read from a connection, before the
// reader gets it.
type arrivalListener struct {
	net.Listener
	arrived func()
}

func (l *arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &arrivalConn{c, l.arrived}, err
}

type arrivalConn struct {
	net.Conn
	arrived func()
}

func (c *arrivalConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.arrived()
	}
	return n, err
}

// TestIdleConnectionGetsRequest guards against a request that arrives on a kept
// connection in the instant in which a stopping node closes it, and that runs without
// a response.
func TestIdleConnectionGetsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs, requests := 0, 0
		var n *Node
		wrap := func(l net.Listener) net.Listener {
			return &arrivalListener{l, func() {
				requests++
				if requests == 2 {
					n.callerConns.CloseIdle(time.Now())
				}
			}}
		}
		var c net.Conn
		n, c = startCallers(t, func(w http.ResponseWriter, _ *http.Request) {
			runs++
			_, _ = io.WriteString(w, "done")
		}, wrap)
		for i := range 2 {
			sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			got, err := readResponse(c)
			synctest.Wait()
			if i == 0 && (got != "done" || err != nil) {
				t.Fatalf("got %q %v, want the first response", got, err)
			}
			if err != nil && runs > i {
				t.Errorf("got %v after the request has run, want its response or no run", err)
			}
		}
	})
}

// stubCodec is a HeaderCodec that reads the timeout of a request from its header.
type stubCodec struct{}

func (stubCodec) DecodeCall(h http.Header) snipeford.CallHeader {
	// Without the header the timeout is zero, which is the default.
	timeout, _ := time.ParseDuration(h.Get("Timeout"))
	return snipeford.CallHeader{RequestID: "r", Timeout: timeout}
}

func (stubCodec) EncodeAttempt(h http.Header, _ snipeford.AttemptHeader) http.Header { return h }

func (stubCodec) DecodeResponse(int, http.Header) snipeford.ResponseHeader {
	return snipeford.ResponseHeader{Signed: true}
}

// stubBalancer is a Balancer with at most one upstream.
type stubBalancer struct {
	upstream snipeford.UpstreamID
	picks    atomic.Int64
}

func (b *stubBalancer) Pick(*directory.View, snipeford.ServiceName, []snipeford.UpstreamID) (snipeford.UpstreamID, bool) {
	b.picks.Add(1)
	return b.upstream, b.upstream != ""
}
func (*stubBalancer) Ended(snipeford.UpstreamID, bool)      {}
func (*stubBalancer) ReportLoad(snipeford.UpstreamID, int)  {}
func (*stubBalancer) CountRequest(snipeford.ServiceName)    {}
func (*stubBalancer) AllowRetry(snipeford.ServiceName) bool { return false }
func (*stubBalancer) ReportDirectives(snipeford.UpstreamID, snipeford.Directives, snipeford.Instant) bool {
	return false
}

func (*stubBalancer) Limited(snipeford.UpstreamID) bool                             { return false }
func (*stubBalancer) HoldBack(snipeford.UpstreamID, time.Duration)                  {}
func (*stubBalancer) HeldBack(*directory.View, snipeford.ServiceName) time.Duration { return 0 }

// queuePlacer is a Placer that queues each request until its context ends. It holds the
// last request.
type queuePlacer struct {
	last atomic.Pointer[snipeford.PlacementRequest]
}

func (p *queuePlacer) Place(ctx context.Context, r snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID) {
	p.last.Store(&r)
	<-ctx.Done()
	return snipeford.Placement{RequestID: r.RequestID, Refused: true}, "n"
}
func (*queuePlacer) ReportFirstEvent(snipeford.ServiceName, snipeford.RequestID, snipeford.EngineLoad) {
}
func (*queuePlacer) ReportEnd(snipeford.ServiceName, snipeford.RequestID, snipeford.RequestEnd) {}
func (*queuePlacer) ReportCrash(snipeford.UpstreamCrash)                                        {}
func (*queuePlacer) Watched(snipeford.ServiceName, snipeford.PrefixPart) bool                   { return false }
func (*queuePlacer) ReportDirectives(snipeford.DirectivesReport)                                {}

// stoppingNode is a node with the routes /stream/, /plain/ and /events/, which is a
// stream too. The home of the service stream queues all requests. The other services
// have no home, and the upstream "u" if it has an address.
type stoppingNode struct {
	*Node
	balancer *stubBalancer
	placer   *queuePlacer
	network  pipe.Network
}

func startNode(t *testing.T, stopGrace time.Duration, upstreamAddress string) *stoppingNode {
	t.Helper()
	route := func(name string, kind snipeford.RouteKind) snipeford.Route {
		return snipeford.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Timeout: 15 * time.Second, Anonymous: true,
			WeightedServices: []snipeford.WeightedService{{Service: snipeford.ServiceName(name), Weight: 1}},
		}
	}
	view := &directory.View{Listed: true, Usable: map[snipeford.ServiceName][]directory.Upstream{}, Plan: plan.New(snipeford.Routing{
		Version: 1, Routes: []snipeford.Route{route("stream", snipeford.RouteStream), route("plain", snipeford.RouteUnsafe), route("events", snipeford.RouteStream)},
		Services: []snipeford.ServiceProfile{{Name: "stream", Engine: &snipeford.EngineProfile{Slots: 1, PrefillRate: 1, PrefillChunk: 1, DecodeStepsPerPass: 1, Memory: 1}}, {Name: "plain"}, {Name: "events"}},
	})}
	clock := &timer.Clock{}
	s := &stoppingNode{balancer: &stubBalancer{}, placer: &queuePlacer{}}
	if upstreamAddress != "" {
		s.balancer.upstream = "u"
		for _, service := range []snipeford.ServiceName{"plain", "events"} {
			view.Usable[service] = []directory.Upstream{{Upstream: snipeford.Upstream{ID: "u", Address: upstreamAddress}}}
		}
	}
	s.Node = New(settings.Edge{Node: "n", LogLevel: "info", StopGrace: stopGrace, RevocationBound: time.Hour, ConfigurationBound: time.Hour},
		clock, metrics.NewRegistry(), &span.Provider{}, Platform{HeaderCodec: stubCodec{}})
	s.tracker.AdvanceTo(clock.SinceBoot())
	s.relay.View, s.relay.Placer, s.relay.Balancer = func() *directory.View { return view }, s.placer, s.balancer
	group, ctx := errgroup.WithContext(t.Context())
	s.serveCallers(ctx, group, s.network.Listen("callers"), s.relay)
	t.Cleanup(func() {
		s.network.ResetAll()
		_ = s.callers.Close()
	})
	return s
}

func (s *stoppingNode) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := s.network.Dial(t.Context(), "callers")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// stop drains the node and closes its connections, as Run does. The returned channel
// is closed at the end.
func (s *stoppingNode) stop() <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		s.drain(context.Background())
		_ = s.callers.Close()
		close(stopped)
	}()
	return stopped
}

// assertStatus reads a response, and checks its status and that its connection closes.
func assertStatus(t *testing.T, c net.Conn, want int) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("got %v, want a response with status %d", err, want)
		return
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Errorf("got %v in the body, want the whole body", err)
	}
	if resp.StatusCode != want || !resp.Close {
		t.Errorf("got status %d, closing %t, want %d, closing true", resp.StatusCode, resp.Close, want)
	}
	if got := resp.Header.Get("Retry-After"); want == http.StatusServiceUnavailable && got == "" {
		t.Error("got no Retry-After, want one")
	}
}

// assertStoppedWithin checks that a stop ends before the platform kills the process.
func assertStoppedWithin(t *testing.T, stopped <-chan struct{}, begin time.Time, grace time.Duration) {
	t.Helper()
	<-stopped
	if got := time.Since(begin); got > grace {
		t.Errorf("got a stop of %v, want at most %v", got, grace)
	}
}

const testGrace = 8 * time.Second

// TestQueuedRequestCutAtStop guards against requests that wait for an engine until the
// node exits, and whose connections are closed without a response.
func TestQueuedRequestCutAtStop(t *testing.T) {
	for name, arrival := range map[string]time.Duration{"before SIGTERM": 0, "after SIGTERM": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startNode(t, testGrace, "")
				c := s.dial(t)
				request := func() { sendText(t, c, "GET /stream/ HTTP/1.1\r\nHost: h\r\n\r\n") }
				if arrival == 0 {
					request()
					time.Sleep(time.Millisecond)
				}
				begin := time.Now()
				stopped := s.stop()
				if arrival > 0 {
					time.Sleep(arrival)
					request()
				}
				assertStatus(t, c, http.StatusServiceUnavailable)
				assertStoppedWithin(t, stopped, begin, testGrace)
			})
		})
	}
}

// receiveRequest accepts a connection at an upstream and reads a request from it.
func receiveRequest(t *testing.T, upstream net.Listener) net.Conn {
	t.Helper()
	c, err := upstream.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestSentRequestCutAtStop guards against requests whose upstream has not responded
// when the node exits, and whose connections are closed without a response.
func TestSentRequestCutAtStop(t *testing.T) {
	upstream, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = upstream.Close() })
	const grace = 1500 * time.Millisecond
	s := startNode(t, grace, upstream.Addr().String())
	c := s.dial(t)
	sendText(t, c, "POST /plain/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	receiveRequest(t, upstream)
	begin := time.Now()
	stopped := s.stop()
	assertStatus(t, c, http.StatusGatewayTimeout)
	assertStoppedWithin(t, stopped, begin, grace)
}

// TestArrivingBodyCutAtStop guards against requests whose body is still arriving when
// the node exits, and whose connections are closed without a response.
func TestArrivingBodyCutAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, testGrace, "")
		c := s.dial(t)
		begin := time.Now()
		stopped := s.stop()
		time.Sleep(time.Second)
		sendText(t, c, "POST /plain/ HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
		assertStatus(t, c, http.StatusServiceUnavailable)
		assertStoppedWithin(t, stopped, begin, testGrace)
	})
}

// TestStoppingNodeTakesRequests guards against a node that accepts requests up to its
// exit because an older one is still running, and cuts them then.
func TestStoppingNodeTakesRequests(t *testing.T) {
	for _, tt := range []struct {
		name, timeout string
		arrival       time.Duration
		wantPicks     int64
	}{
		{"before the load balancer has noticed", "10s", 2 * time.Second, 1},
		{"after the load balancer has noticed", "10s", 4 * time.Second, 0},
		{"ends before the exit", "1s", 4 * time.Second, 1},
		{"shortly before the exit", "1s", 7 * time.Second, 0},
		{"at the exit", "1ms", 7500 * time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startNode(t, testGrace, "")
				older := s.dial(t)
				sendText(t, older, "GET /stream/ HTTP/1.1\r\nHost: h\r\n\r\n")
				begin := time.Now()
				stopped := s.stop()
				go func() { _, _ = io.Copy(io.Discard, older) }()
				c := s.dial(t)
				time.Sleep(tt.arrival)
				sendText(t, c, "GET /plain/ HTTP/1.1\r\nHost: h\r\nTimeout: "+tt.timeout+"\r\n\r\n")
				assertStatus(t, c, http.StatusServiceUnavailable)
				if took := time.Since(begin) - tt.arrival; took > 0 {
					t.Errorf("got the response after %v, want it at once", took)
				}
				if got := s.balancer.picks.Load(); got != tt.wantPicks {
					t.Errorf("got %d requests passed on, want %d", got, tt.wantPicks)
				}
				assertStoppedWithin(t, stopped, begin, testGrace)
			})
		})
	}
}

// TestReadRequestDroppedAtStop guards against a request that is read from a kept
// connection in the instant in which a stopping node closes it, and that gets no
// response.
func TestReadRequestDroppedAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := 0
		var n *Node
		wrap := func(l net.Listener) net.Listener {
			return &arrivalListener{l, func() {
				requests++
				if requests == 2 {
					n.callerConns.CloseIdle(time.Now())
				}
			}}
		}
		var c net.Conn
		n, c = startCallers(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }, wrap)
		for i := range 2 {
			sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if got, err := readResponse(c); got != "done" || err != nil {
				t.Errorf("got %q %v, want response %d", got, err, i+1)
			}
			synctest.Wait()
		}
	})
}

// TestOldRequestKeepsConnection guards against a caller that sends its next request on
// a connection that a stopping node is about to close, because the response to a request
// from before the stop did not say so.
func TestOldRequestKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, testGrace, "")
		c := s.dial(t)
		sendText(t, c, "GET /stream/ HTTP/1.1\r\nHost: h\r\nTimeout: 2s\r\n\r\n")
		time.Sleep(time.Second)
		stopped := s.stop()
		assertStatus(t, c, http.StatusServiceUnavailable)
		<-stopped
	})
}

// TestRunningStreamCutBeforeExit guards against a running stream that a stopping node
// breaks off earlier than it has to.
func TestRunningStreamCutBeforeExit(t *testing.T) {
	upstream, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = upstream.Close() })
	const grace = 1500 * time.Millisecond
	s := startNode(t, grace, upstream.Addr().String())
	c := s.dial(t)
	sendText(t, c, "GET /events/ HTTP/1.1\r\nHost: h\r\n\r\n")
	received := receiveRequest(t, upstream)
	sendText(t, received, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	event := make([]byte, len("data: 1\n\n"))
	if _, err := io.ReadFull(resp.Body, event); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	stopped := s.stop()
	time.Sleep(grace - killMargin - 100*time.Millisecond)
	sendText(t, received, "9\r\ndata: 2\n\n\r\n0\r\n\r\n")
	if got, err := io.ReadAll(resp.Body); string(got) != "data: 2\n\n" || err != nil {
		t.Errorf("got %q %v, want the rest of the stream", got, err)
	}
	assertStoppedWithin(t, stopped, begin, grace)
}

// TestHomeGetsTimeUntilExit guards against a home that queues a request, or places it,
// for longer than the stopping node that asks for it can wait.
func TestHomeGetsTimeUntilExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startNode(t, testGrace, "")
		c := s.dial(t)
		stopped := s.stop()
		time.Sleep(2 * time.Second)
		sendText(t, c, "GET /stream/ HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		if got, want := s.placer.last.Load().TimeLeft, testGrace-2*time.Second; got > want {
			t.Errorf("got %v left in the placement request, want at most %v", got, want)
		}
		assertStatus(t, c, http.StatusServiceUnavailable)
		<-stopped
	})
}
