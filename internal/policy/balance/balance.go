// Package balance picks the least loaded upstream for a request to a service
// without model engines. Its results depend only on its arguments and earlier
// calls: the time and random numbers are arguments.
//
// Costs are in tenths of an upstream's slots: the load of an upstream costs 10 if
// all its slots are busy.
package balance

import (
	"slices"
	"time"

	"snipeford"
)

const (
	// loadReportTTL is how long a load report from an upstream is used.
	loadReportTTL = 300 * time.Millisecond
	// crossDomainCost is added for an upstream in another failure domain.
	crossDomainCost = 0.5
	// coldCost is added for a cold upstream.
	coldCost = 4
	// baseSuspectTime is how long an upstream is suspect after a failure. It
	// doubles with each failure in a row, up to maxSuspectTime.
	baseSuspectTime = 300 * time.Millisecond
	maxSuspectTime  = 4 * time.Second
)

// Candidate is an upstream that may get the request.
type Candidate struct {
	ID     snipeford.UpstreamID
	Domain snipeford.FailureDomain
	Slots  int
	Cold   bool
}

// Balancer tracks the upstreams' load as known to one node. The zero value is
// ready to use.
type Balancer struct {
	loads map[snipeford.UpstreamID]*upstreamLoad
}

type upstreamLoad struct {
	inFlight     int
	reportedBusy int
	reportedAt   snipeford.Instant
	failures     int
	suspectUntil snipeford.Instant
}

// Pick returns the candidate with the lowest cost. Among equals it returns the
// first one, counted from the random position draw. It returns a suspect only if
// all other candidates are excluded.
func (b *Balancer) Pick(now snipeford.Instant, list []Candidate, excluded []snipeford.UpstreamID, domain snipeford.FailureDomain, draw uint64) (snipeford.UpstreamID, bool) {
	best, found := snipeford.UpstreamID(""), false
	lowest := 0.0
	for i := range list {
		c := list[(i+int(draw%uint64(len(list))))%len(list)]
		if slices.Contains(excluded, c.ID) {
			continue
		}
		cost := b.cost(now, c, domain)
		if !found || cost < lowest {
			best, lowest, found = c.ID, cost, true
		}
	}
	return best, found
}

// suspectCost is high enough to rank suspects behind all others.
const suspectCost = 1_000

func (b *Balancer) cost(now snipeford.Instant, c Candidate, domain snipeford.FailureDomain) float64 {
	l := b.loadOf(c.ID)
	busy := l.inFlight
	if now.Sub(l.reportedAt) < loadReportTTL {
		busy = max(busy, l.reportedBusy)
	}
	cost := float64(busy) / float64(max(c.Slots, 1)) * 10
	if c.Domain != domain {
		cost += crossDomainCost
	}
	if c.Cold {
		cost += coldCost
	}
	if l.suspectUntil > now {
		cost += suspectCost
	}
	return cost
}

func (b *Balancer) loadOf(id snipeford.UpstreamID) *upstreamLoad {
	if b.loads == nil {
		b.loads = map[snipeford.UpstreamID]*upstreamLoad{}
	}
	l, ok := b.loads[id]
	if !ok {
		l = &upstreamLoad{}
		b.loads[id] = l
	}
	return l
}

// RequestSent records a request that is being sent to the upstream.
func (b *Balancer) RequestSent(id snipeford.UpstreamID) { b.loadOf(id).inFlight++ }

// RequestEnded records the end of a request recorded by RequestSent.
func (b *Balancer) RequestEnded(now snipeford.Instant, id snipeford.UpstreamID, failed bool) {
	l := b.loadOf(id)
	l.inFlight = max(l.inFlight-1, 0)
	if !failed {
		l.failures, l.suspectUntil = 0, 0
		return
	}
	l.suspectUntil = now.Add(min(baseSuspectTime<<min(l.failures, 10), maxSuspectTime))
	l.failures++
}

// RequestWithdrawn undoes RequestSent for a request that was not sent.
func (b *Balancer) RequestWithdrawn(id snipeford.UpstreamID) {
	l := b.loadOf(id)
	l.inFlight = max(l.inFlight-1, 0)
}

// LoadReported records the number of busy slots that the upstream reports.
func (b *Balancer) LoadReported(now snipeford.Instant, id snipeford.UpstreamID, busy int) {
	l := b.loadOf(id)
	l.reportedBusy, l.reportedAt = busy, now
}

// Retain removes the upstreams that are not in the set and have no request in
// flight.
func (b *Balancer) Retain(known map[snipeford.UpstreamID]bool) {
	for id, l := range b.loads {
		if !known[id] && l.inFlight == 0 {
			delete(b.loads, id)
		}
	}
}
