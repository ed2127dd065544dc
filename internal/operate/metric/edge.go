package metric

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// Edge counts what a node on the users' platform does.
type Edge struct {
	registry metrics.Registry
	first    map[snipeford.RouteKind]metrics.Histogram
	whole    map[snipeford.RouteKind]metrics.Histogram
}

// NewEdge returns the metrics of a registry.
func NewEdge(registry metrics.Registry) *Edge {
	e := &Edge{registry: registry, first: map[snipeford.RouteKind]metrics.Histogram{}, whole: map[snipeford.RouteKind]metrics.Histogram{}}
	for _, kind := range []snipeford.RouteKind{snipeford.RouteSafe, snipeford.RouteUnsafe, snipeford.RouteStream} {
		e.first[kind] = e.histogram("FirstByte." + string(kind) + ".Milliseconds")
		e.whole[kind] = e.histogram("WholeAnswer." + string(kind) + ".Milliseconds")
	}
	return e
}

func (e *Edge) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, e.registry, metrics.NewExpDecaySample(sampleSize, 0.015))
}

func (e *Edge) count(parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), e.registry).Inc(1)
}

// Answered counts a whole answer.
func (e *Edge) Answered(kind snipeford.RouteKind, firstByte, whole time.Duration) {
	e.count("Requests", string(kind), "Answered")
	e.first[kind].Update(firstByte.Milliseconds())
	e.whole[kind].Update(whole.Milliseconds())
}

// Refused counts a refusal by its cause. The kind is empty without a route.
func (e *Edge) Refused(kind snipeford.RouteKind, cause snipeford.Cause) {
	if kind == "" {
		kind = "NoRoute"
	}
	e.count("Requests", string(kind), "Refused", string(cause))
}

// Broken counts an answer that was broken off.
func (e *Edge) Broken(kind snipeford.RouteKind) { e.count("Requests", string(kind), "Broken") }

// Repeated counts a request that was sent to one more upstream.
func (e *Edge) Repeated(kind snipeford.RouteKind) { e.count("Requests", string(kind), "Repeated") }

// StoreCalled counts a call of the platform's store.
func (e *Edge) StoreCalled(failed bool) {
	if failed {
		e.count("Store", "Failed")
		return
	}
	e.count("Store", "Answered")
}

// ConnectionOpened counts a new connection to an upstream.
func (e *Edge) ConnectionOpened() { e.count("Upstreams", "Connections", "Opened") }
