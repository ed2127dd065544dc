// Package balance picks the upstream of a plain service's call: the one with
// the least known load. It is pure: time and draws are arguments.
package balance

import (
	"slices"
	"time"

	"snipeford"
)

const (
	// reportFresh is how long an upstream's own word on its load counts.
	reportFresh = 300 * time.Millisecond
	// otherDomain is what an upstream in another failure domain costs, in
	// requests.
	otherDomain = 0.5
	// coldCost is what a cold upstream costs, in requests.
	coldCost = 4
	// firstSuspicion is how long an upstream gets no request after a failure,
	// and longestSuspicion bounds its doubling.
	firstSuspicion   = 300 * time.Millisecond
	longestSuspicion = 4 * time.Second
)

// Candidate is an upstream that may get the call.
type Candidate struct {
	ID     snipeford.UpstreamID
	Domain snipeford.FailureDomain
	Slots  int
	Cold   bool
}

// Balancer holds what one node knows of the upstreams' load. Its zero value works.
type Balancer struct {
	loads map[snipeford.UpstreamID]*load
}

type load struct {
	sent         int
	reported     int
	reportedAt   snipeford.Instant
	failures     int
	suspectUntil snipeford.Instant
}

// Pick returns the candidate with the least load, the first in draw's rotation
// among equals. Suspects are taken where nothing else is left.
func (s *Balancer) Pick(now snipeford.Instant, list []Candidate, excluded []snipeford.UpstreamID, domain snipeford.FailureDomain, draw uint64) (snipeford.UpstreamID, bool) {
	best, found := snipeford.UpstreamID(""), false
	lowest := 0.0
	for i := range list {
		c := list[(i+int(draw%uint64(len(list))))%len(list)]
		if slices.Contains(excluded, c.ID) {
			continue
		}
		cost := s.cost(now, c, domain)
		if !found || cost < lowest {
			best, lowest, found = c.ID, cost, true
		}
	}
	return best, found
}

// suspectCost puts suspects behind all others.
const suspectCost = 1_000

func (s *Balancer) cost(now snipeford.Instant, c Candidate, domain snipeford.FailureDomain) float64 {
	l := s.of(c.ID)
	busy := l.sent
	if now.Sub(l.reportedAt) < reportFresh {
		busy = max(busy, l.reported)
	}
	cost := float64(busy) / float64(max(c.Slots, 1)) * 10
	if c.Domain != domain {
		cost += otherDomain
	}
	if c.Cold {
		cost += coldCost
	}
	if l.suspectUntil > now {
		cost += suspectCost
	}
	return cost
}

func (s *Balancer) of(id snipeford.UpstreamID) *load {
	if s.loads == nil {
		s.loads = map[snipeford.UpstreamID]*load{}
	}
	l, ok := s.loads[id]
	if !ok {
		l = &load{}
		s.loads[id] = l
	}
	return l
}

// RequestSent notes a request on its way to the upstream.
func (s *Balancer) RequestSent(id snipeford.UpstreamID) { s.of(id).sent++ }

// RequestEnded notes the end of such a request.
func (s *Balancer) RequestEnded(now snipeford.Instant, id snipeford.UpstreamID, failed bool) {
	l := s.of(id)
	l.sent = max(l.sent-1, 0)
	if !failed {
		l.failures, l.suspectUntil = 0, 0
		return
	}
	l.suspectUntil = now.Add(min(firstSuspicion<<min(l.failures, 10), longestSuspicion))
	l.failures++
}

// LoadReported notes the upstream's own word on its load.
func (s *Balancer) LoadReported(now snipeford.Instant, id snipeford.UpstreamID, busy int) {
	l := s.of(id)
	l.reported, l.reportedAt = busy, now
}

// Retain forgets the upstreams that are not in the set and have nothing running.
func (s *Balancer) Retain(known map[snipeford.UpstreamID]bool) {
	for id, l := range s.loads {
		if !known[id] && l.sent == 0 {
			delete(s.loads, id)
		}
	}
}
