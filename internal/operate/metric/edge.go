package metric

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// Edge holds the metrics of a node on the users' platform. It implements
// relay.Metrics.
type Edge struct {
	registry  metrics.Registry
	firstByte map[snipeford.RouteKind]metrics.Histogram
	total     map[snipeford.RouteKind]metrics.Histogram
}

// NewEdge returns metrics that are registered in registry.
func NewEdge(registry metrics.Registry) *Edge {
	e := &Edge{registry: registry, firstByte: map[snipeford.RouteKind]metrics.Histogram{}, total: map[snipeford.RouteKind]metrics.Histogram{}}
	for _, kind := range []snipeford.RouteKind{snipeford.RouteSafe, snipeford.RouteUnsafe, snipeford.RouteStream} {
		e.firstByte[kind] = e.histogram("FirstByte." + string(kind) + ".Milliseconds")
		e.total[kind] = e.histogram("WholeAnswer." + string(kind) + ".Milliseconds")
	}
	return e
}

func (e *Edge) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, e.registry, metrics.NewExpDecaySample(sampleSize, 0.015))
}

func (e *Edge) count(parts ...string) {
	metrics.GetOrRegisterCounter(strings.Join(parts, "."), e.registry).Inc(1)
}

// Completed records a complete response with its time to first byte and its total
// time.
func (e *Edge) Completed(kind snipeford.RouteKind, firstByte, total time.Duration) {
	e.count("Requests", string(kind), "Answered")
	e.firstByte[kind].Update(firstByte.Milliseconds())
	e.total[kind].Update(total.Milliseconds())
}

// Refused counts a refusal by its cause. The kind is empty if the request matched no
// route.
func (e *Edge) Refused(kind snipeford.RouteKind, cause snipeford.Cause) {
	if kind == "" {
		kind = "NoRoute"
	}
	e.count("Requests", string(kind), "Refused", string(cause))
}

// Aborted counts a response that was aborted.
func (e *Edge) Aborted(kind snipeford.RouteKind) { e.count("Requests", string(kind), "Broken") }

// Retried counts a retry at another upstream.
func (e *Edge) Retried(kind snipeford.RouteKind) { e.count("Requests", string(kind), "Repeated") }

// EngineEnded counts a request whose engine ended while it ran.
func (e *Edge) EngineEnded() { e.count("Requests", "EngineEnded") }

// LimitChanged counts a change of the request limit that an upstream states.
func (e *Edge) LimitChanged(stated bool) {
	if stated {
		e.count("Upstreams", "RequestLimit", "Stated")
		return
	}
	e.count("Upstreams", "RequestLimit", "Ended")
}

// LeavingSeen counts an upstream that has said to this node that it leaves.
func (e *Edge) LeavingSeen() { e.count("Upstreams", "Leaving", "Seen") }

// LeavingTold counts an upstream that leaves as another node has told.
func (e *Edge) LeavingTold() { e.count("Upstreams", "Leaving", "Told") }

// PauseBegan counts an upstream that wants no requests from this node for a time.
func (e *Edge) PauseBegan() { e.count("Upstreams", "Pauses", "Begun") }

// Diverted counts a request that was placed on an upstream with a pause, and is placed
// anew.
func (e *Edge) Diverted() { e.count("Upstreams", "Pauses", "Diverted") }

// PauseTried counts a request that is sent to an upstream in spite of its pause.
func (e *Edge) PauseTried() { e.count("Upstreams", "Pauses", "Tried") }

// QuarantineDecided counts a quarantine of a prefix part, or its release.
func (e *Edge) QuarantineDecided(released bool) {
	if released {
		e.count("Quarantine", "Released")
		return
	}
	e.count("Quarantine", "Decided")
}

// CutOffChanged counts that the node has lost its links to upstreams, or has them back.
func (e *Edge) CutOffChanged(cutOff bool) {
	if cutOff {
		e.count("Upstreams", "Links", "Lost")
		return
	}
	e.count("Upstreams", "Links", "Back")
}

// Detoured counts a request that was sent through another node.
func (e *Edge) Detoured() { e.count("Upstreams", "Detours", "Used") }

// DetourCarried counts a connection that the node carries for another node.
func (e *Edge) DetourCarried() { e.count("Upstreams", "Detours", "Carried") }

// StoreCalled counts a call to the users' platform's store.
func (e *Edge) StoreCalled(failed bool) {
	if failed {
		e.count("Store", "Failed")
		return
	}
	e.count("Store", "Answered")
}

// ConnectionOpened counts a new connection to an upstream.
func (e *Edge) ConnectionOpened() { e.count("Upstreams", "Connections", "Opened") }

// PaceChanged counts a change of the pace of an upstream by its cause, and the paces that
// begin and end.
func (e *Edge) PaceChanged(cause string, inFlight float64) {
	e.count("Upstreams", "Pace", cause)
	if inFlight == 0 {
		e.count("Upstreams", "Pace", "Ended")
	}
}

// EnginesSummarized records the number of engines of a service, of those that are dedicated
// to gap-sensitive streams, and of those that are slower than their profile.
func (e *Edge) EnginesSummarized(service snipeford.ServiceName, engines, dedicated, slow int) {
	for name, n := range map[string]int{"Known": engines, "Dedicated": dedicated, "Slow": slow} {
		metrics.GetOrRegisterGauge(strings.Join([]string{"Engines", string(service), name}, "."), e.registry).Update(int64(n))
	}
}
