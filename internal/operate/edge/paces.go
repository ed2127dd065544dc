package edge

import (
	"fmt"
	"sync"

	"snipeford"
	"snipeford/internal/control/placer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/grant"
	"snipeford/internal/operate/decision"
	"snipeford/internal/operate/metric"
	"snipeford/internal/policy/balance"
)

// paces implements relay.Paces: it compares the responses of upstreams without engines with
// their recent latency, and reports to the home what sets their paces.
type paces struct {
	client *grant.Client
	timer  *timer.Clock

	mu        sync.Mutex
	latencies balance.Latencies
}

// initPaces connects the paces of upstreams with the home, the log and the metrics.
func (n *Node) initPaces() {
	n.paces = &paces{client: n.peerClient, timer: n.timer}
	n.relay.Paces = n.paces
	n.loop.Paced = func(c placer.PaceChange) {
		if n.peerClient.IsHome(c.Service) {
			logPace(n.log, n.counts, c)
		}
	}
	n.loop.Summarized = func(s placer.ServiceSummary) {
		if n.peerClient.IsHome(s.Service) {
			logSummary(n.log, n.counts, s)
		}
	}
}

// logSummary logs and measures the split of the engines of a service and their speeds.
func logSummary(l *decision.Log, counts *metric.Edge, s placer.ServiceSummary) {
	counts.EnginesSummarized(s.Service, s.Engines, s.Dedicated, len(s.Slow))
	l.Info("engines of service", "Service", s.Service, "Engines", s.Engines, "Dedicated", s.Dedicated, "ExpectedStreams", s.ExpectedStreams,
		"LongPromptDemand", s.LongPromptDemand, "Queued", s.Queued, "Slow", fmt.Sprint(s.Slow))
}

// logPace logs and counts a change of a pace. Only the home does so: the paces that other
// nodes know follow its own.
func logPace(l *decision.Log, counts *metric.Edge, c placer.PaceChange) {
	counts.PaceChanged(string(c.Cause), c.InFlight)
	fields := []any{"Service", c.Service, "Upstream", c.Upstream, "Cause", c.Cause, "InFlight", c.InFlight}
	if c.InFlight == 0 {
		l.Decided("pace of upstream ended", c.Request, fields...)
		return
	}
	l.Decided("pace of upstream changed", c.Request, fields...)
}

// Paced implements relay.Paces.
func (p *paces) Paced(service snipeford.ServiceName, id snipeford.UpstreamID) bool {
	return p.client.Paced(service, id)
}

// Ended implements relay.Paces. A sound upstream costs no message.
func (p *paces) Ended(service snipeford.ServiceName, id snipeford.UpstreamID, sentAt snipeford.Instant, paced bool, result snipeford.AttemptResult) {
	if result == snipeford.AttemptTimely && p.slow(id, sentAt) {
		result = snipeford.AttemptSlow
	}
	if !paced && result != snipeford.AttemptFailed && result != snipeford.AttemptRefused {
		return
	}
	age := p.timer.Now().Sub(sentAt)
	// The directives of the response are reported apart, if they say anything.
	noDirectives := snipeford.Directives{RequestLimit: snipeford.RequestLimit{Unreadable: true}}
	p.client.ReportAttempt(snipeford.DirectivesReport{Service: service, Upstream: id, Directives: noDirectives, RequestAge: age, Result: result})
}

func (p *paces) slow(id snipeford.UpstreamID, sentAt snipeford.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latencies.Observe(id, p.timer.Now().Sub(sentAt))
}

// retain forgets the latencies of upstreams that are gone.
func (p *paces) retain(known map[snipeford.UpstreamID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latencies.Retain(known)
}
