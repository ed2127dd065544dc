package relay_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
)

// limitedBalancer is a Balancer and Placer of upstreams that all have a limit. It gives
// permits for some of them.
type limitedBalancer struct {
	stubPlacer
	permitted []snipeford.UpstreamID
	held      []snipeford.UpstreamID
	mu        sync.Mutex
	reports   []snipeford.DirectivesReport
}

func (*limitedBalancer) Limited(snipeford.UpstreamID) bool { return true }

func (b *limitedBalancer) Pick(_ *directory.View, _ snipeford.ServiceName, excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool) {
	return b.next(slices.Concat(excluded, b.held))
}

func (b *limitedBalancer) Place(_ context.Context, r snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID) {
	return snipeford.Placement{RequestID: r.RequestID, Refused: !slices.Contains(b.permitted, r.Permit), RetryAfter: time.Second}, "home"
}

func (b *limitedBalancer) HoldBack(id snipeford.UpstreamID, _ time.Duration) {
	b.held = append(b.held, id)
}

func (b *limitedBalancer) HeldBack(*directory.View, snipeford.ServiceName) time.Duration {
	return 2 * time.Second
}

func (b *limitedBalancer) ReportDirectives(snipeford.UpstreamID, snipeford.Directives, snipeford.Instant) bool {
	return true
}

// homePlacer records the reports to the home.
type homePlacer struct{ *limitedBalancer }

func (p homePlacer) ReportDirectives(r snipeford.DirectivesReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, r)
}

func newLimitedHarness(t *testing.T, permitted ...snipeford.UpstreamID) (*harness, *limitedBalancer) {
	t.Helper()
	h := newHarness(t, respondOK("a"), respondOK("b"))
	b := &limitedBalancer{stubPlacer: stubPlacer{h.balancer}, permitted: permitted}
	h.relay.Balancer, h.relay.Placer = b, homePlacer{b}
	return h, b
}

// TestPlainRequestNeedsPermit guards against requests of plain services to upstreams
// that have stated a limit, which each node would keep only by itself.
func TestPlainRequestNeedsPermit(t *testing.T) {
	t.Run("the next upstream without one", func(t *testing.T) {
		h, b := newLimitedHarness(t, "b")
		assertResponse(t, h.call(t, http.MethodGet, "/safe/x"), 200, "b")
		assertRequestCount(t, h, 1)
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.reports) != 1 || b.reports[0].Upstream != "b" {
			t.Errorf("got reports %+v, want one of b", b.reports)
		}
	})
	t.Run("refused without any", func(t *testing.T) {
		h, _ := newLimitedHarness(t)
		got := h.call(t, http.MethodPost, "/unsafe/x")
		assertResponse(t, got, 503, "")
		assertRequestCount(t, h, 0)
		if got, want := got.header.Get("Retry-After"), "2.00"; got != want {
			t.Errorf("got Retry-After %q, want %q: no permit is given before", got, want)
		}
		if got := got.header.Get(snipeford.OutcomeHeader); got != string(snipeford.NotRun) {
			t.Errorf("got outcome %q, want not run", got)
		}
	})
}
