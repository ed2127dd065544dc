package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace/noop"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
	"snipeford/internal/request/relay"
	"snipeford/internal/rule/plan"
	"snipeford/internal/upstream/connection"
)

// dialect uses header names of its own.
type dialect struct{}

func (dialect) DecodeCall(h http.Header) snipeford.CallHeader {
	return snipeford.CallHeader{RequestID: snipeford.RequestID(h.Get("Id")), Key: h.Get("Key"), Timeout: 8 * time.Second, LastEventID: h.Get("Last")}
}

func (dialect) EncodeAttempt(h http.Header, a snipeford.AttemptHeader) http.Header {
	out := h.Clone()
	out.Del("Key")
	out.Set("Organisation", string(a.Organisation))
	out.Set("Upstream", string(a.Upstream))
	out.Set("Last", a.LastEventID)
	return out
}

func (dialect) DecodeResponse(_ int, h http.Header) snipeford.ResponseHeader {
	return snipeford.ResponseHeader{RequestID: snipeford.RequestID(h.Get("Id")), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

// fleet hands out upstreams in order and notes what it is told.
type fleet struct {
	mu      sync.Mutex
	order   []snipeford.UpstreamID
	repeats bool
}

func (f *fleet) next(excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.order {
		free := true
		for _, e := range excluded {
			free = free && e != id
		}
		if free {
			return id, true
		}
	}
	return "", false
}

func (f *fleet) Pick(_ *directory.View, _ snipeford.ServiceName, excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool) {
	return f.next(excluded)
}

func (f *fleet) Place(_ context.Context, a snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID) {
	id, ok := f.next(a.Excluded)
	return snipeford.Placement{RequestID: a.RequestID, Upstream: id, Refused: !ok}, "here"
}

func (f *fleet) Began(snipeford.ServiceName, snipeford.RequestID, snipeford.EngineLoad) {}
func (f *fleet) Ended(snipeford.UpstreamID, bool)                                       {}
func (f *fleet) ReportLoad(snipeford.UpstreamID, int)                                   {}
func (f *fleet) CountRequest(snipeford.ServiceName)                                     {}
func (f *fleet) AllowRetry(snipeford.ServiceName) bool                                  { return f.repeats }
func (f *fleet) Answered(snipeford.RouteKind, time.Duration, time.Duration)             {}
func (f *fleet) Refused(snipeford.RouteKind, snipeford.Cause)                           {}
func (f *fleet) Broken(snipeford.RouteKind)                                             {}
func (f *fleet) Repeated(snipeford.RouteKind)                                           {}

// placer is the fleet as the relay's Placer.
type placer struct{ *fleet }

func (placer) Ended(snipeford.ServiceName, snipeford.RequestID, bool, snipeford.UpstreamID) {}

// upstreams answer by script and keep the requests that they got.
type upstreams struct {
	mu        sync.Mutex
	seen      []*http.Request
	listeners []net.Listener
}

// close makes an upstream accept no more connections; those that are open stay.
func (u *upstreams) close(i int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.listeners[i].Close()
}

func (u *upstreams) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

func (u *upstreams) listen(t *testing.T, script func(c net.Conn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u.listeners = append(u.listeners, listener)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(c, script)
		}
	}()
	return listener.Addr().String()
}

func (u *upstreams) serve(c net.Conn, script func(net.Conn, *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.mu.Lock()
		u.seen = append(u.seen, r)
		u.mu.Unlock()
		script(c, r)
	}
}

// rig is a relay before upstreams "a", "b" and so on.
type rig struct {
	relay *relay.Server
	fleet *fleet
	ups   *upstreams
	fresh freshness.Tracker
	url   string
}

func newRig(t *testing.T, scripts ...func(net.Conn, *http.Request)) *rig {
	t.Helper()
	clock := &timer.Clock{}
	g := &rig{fleet: &fleet{repeats: true}, ups: &upstreams{}}
	view := &directory.View{Plan: plan.New(routing()), Usable: map[snipeford.ServiceName][]directory.Upstream{}, Listed: true}
	for i, script := range scripts {
		id := snipeford.UpstreamID(rune('a' + i))
		g.fleet.order = append(g.fleet.order, id)
		u := directory.Upstream{Upstream: snipeford.Upstream{ID: id, Address: g.ups.listen(t, script)}}
		view.Usable["s"] = append(view.Usable["s"], u)
	}
	g.relay = &relay.Server{
		View: func() *directory.View { return view }, Freshness: &g.fresh, Timer: clock, Pool: &connection.Pool{Timer: clock},
		Codec: dialect{}, Placer: placer{g.fleet}, Balancer: g.fleet, Metrics: g.fleet, Log: decision.New("n", log.InfoLevel, clock), Tracer: noop.NewTracerProvider().Tracer("test"),
		MaxKeyAge: time.Minute, MaxNegativeAge: time.Minute,
	}
	g.fresh.AdvanceTo(clock.SinceBoot())
	server := httptest.NewServer(g.relay)
	t.Cleanup(server.Close)
	g.url = server.URL
	return g
}

func routing() snipeford.Routing {
	route := func(name string, kind snipeford.RouteKind) snipeford.Route {
		return snipeford.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Timeout: 2 * time.Second,
			LatencyTarget: time.Second, EventGapTarget: time.Second, WeightedServices: []snipeford.WeightedService{{Service: "s", Weight: 1}}, Anonymous: name != "keyed",
		}
	}
	resumable := route("resumable", snipeford.RouteStream)
	resumable.Resumable = true
	quick := resumable
	quick.Name, quick.Prefix, quick.Timeout = "quick", "/quick/", 7*time.Second
	quick.LatencyTarget, quick.EventGapTarget = 100*time.Millisecond, 400*time.Millisecond
	engine := &snipeford.EngineProfile{Slots: 1, PrefillRate: 1, PrefillChunk: 1, DecodeStepsPerPass: 1, Memory: 1}
	return snipeford.Routing{
		Version: 1,
		Routes: []snipeford.Route{
			route("safe", snipeford.RouteSafe), route("unsafe", snipeford.RouteUnsafe), route("once", snipeford.RouteStream),
			route("keyed", snipeford.RouteSafe), resumable, quick,
		},
		Services: []snipeford.ServiceProfile{{Name: "s", Engine: engine}},
		Access:   []snipeford.Access{{Organisation: "o", Keys: []string{"good"}}},
		Limits:   snipeford.CallerLimits{BodyBytes: 1000},
	}
}

type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (g *rig) call(t *testing.T, method, path string, header ...string) result {
	t.Helper()
	r, err := http.NewRequest(method, g.url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "r1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(body), err}
}

func whole(body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
	}
}

func status(code int, extra string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", code, r.Header.Get("Id"), extra)
	}
}

func reset(c net.Conn, _ *http.Request) { _ = c.Close() }

// events streams the ids, and ends the stream well or breaks it off inside the
// next event.
func events(from, to int, well bool) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		open(c, r)
		for i := from; i <= to; i++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		if well {
			fmt.Fprint(c, "0\r\n\r\n")
			return
		}
		chunk(c, fmt.Sprintf("id: %d\nda", to+1))
		_ = c.Close()
	}
}

// open sends the head of a stream.
func open(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
}

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func stream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

func assertAnswer(t *testing.T, got result, status int, body string) {
	t.Helper()
	if got.err != nil || got.status != status || body != "" && got.body != body {
		t.Errorf("got %d %q %v, want %d %q", got.status, got.body, got.err, status, body)
	}
}

func assertArrivals(t *testing.T, g *rig, want int) {
	t.Helper()
	if got := g.ups.count(); got != want {
		t.Errorf("got %d arrivals, want %d", got, want)
	}
}
