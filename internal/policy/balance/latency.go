package balance

import (
	"time"

	"snipeford"
)

const (
	// latencySamples is the number of responses over which the latency of an upstream is
	// averaged. Slow responses must not become normal within a few of them.
	latencySamples = 32
	// minLatencySamples is the number of responses below which none counts as slow.
	minLatencySamples = 8
	// slowLatencyFactor is the multiple of its recent latency, beyond slowLatencyGrace, above
	// which a response of an upstream is slow. The routes of a service differ by less.
	slowLatencyFactor = 3
	// slowLatencyGrace is half the smallest latency target of plain services, 120 ms.
	slowLatencyGrace = 60 * time.Millisecond
)

// Latencies keeps the recent latency of each upstream, as known to one node. The zero value
// is ready to use.
type Latencies struct {
	upstreams map[snipeford.UpstreamID]*latency
}

type latency struct {
	mean    time.Duration
	samples int
}

// Observe records the latency of a good response, and reports whether it is slow compared
// with the ones before. A slow one counts at most as much as the limit that it exceeds.
func (l *Latencies) Observe(id snipeford.UpstreamID, d time.Duration) (slow bool) {
	if l.upstreams == nil {
		l.upstreams = map[snipeford.UpstreamID]*latency{}
	}
	u := l.upstreams[id]
	if u == nil {
		u = &latency{}
		l.upstreams[id] = u
	}
	if limit := slowLatencyFactor*u.mean + slowLatencyGrace; u.samples >= minLatencySamples && d > limit {
		slow, d = true, limit
	}
	u.samples = min(u.samples+1, latencySamples)
	u.mean += (d - u.mean) / time.Duration(u.samples)
	return slow
}

// Retain forgets the upstreams that are not in the set.
func (l *Latencies) Retain(known map[snipeford.UpstreamID]bool) {
	for id := range l.upstreams {
		if !known[id] {
			delete(l.upstreams, id)
		}
	}
}
