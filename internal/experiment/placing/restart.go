package placing

import (
	"slices"
	"strconv"
	"time"

	"snipeford"
	"snipeford/internal/policy/placement"
)

// Restart ends engines at an instant. Their requests fail and are placed anew.
type Restart struct {
	At time.Duration
	// First and Engines select the engines: that many from the first one on.
	First, Engines int
	// Down is the time until they run again.
	Down time.Duration
	// Listed is set if the engines stay candidates while they are down, as if they only
	// refused all requests, and are not cold later.
	Listed bool
	// Leaving is set if the engines leave by notice: they finish the requests that they have.
	Leaving bool
	// For WarmUp, passes take Slowdown times as long at first, and then less and less.
	WarmUp   time.Duration
	Slowdown float64
}

// YoungAge is the age up to which an engine is young.
const YoungAge = 5 * time.Second

// Young is a request that was placed on an engine which had started or recovered less than
// YoungAge before.
type Young struct {
	FirstEvent time.Duration
	Timely     bool
}

// restarts is the part of a simulation that restarts engines.
type restarts struct {
	down        map[snipeford.UpstreamID]bool
	startedAt   map[snipeford.UpstreamID]snipeford.Instant
	incarnation map[snipeford.UpstreamID]int
	coldUntil   map[snipeford.UpstreamID]snipeford.Instant
	unlisted    map[snipeford.UpstreamID]bool
	young       []*request
}

// engineFollower is a Placer that follows restarts.
type engineFollower interface {
	SetEngines(now snipeford.Instant, list []placement.PacedUpstream)
}

// prediction is placement.State with its paces, unless withoutPaces is set.
type prediction struct {
	*placement.State
	withoutPaces bool
}

// SetEngines implements engineFollower.
func (p prediction) SetEngines(now snipeford.Instant, list []placement.PacedUpstream) {
	if !p.withoutPaces {
		p.UpdatePaces(now, list)
	}
	var candidates []placement.Candidate
	for _, u := range list {
		candidates = append(candidates, placement.Candidate{ID: u.ID, ColdUntil: u.ColdUntil})
	}
	p.SetCandidates(candidates)
}

// NewPrediction returns the policy that nodes use, with the bound for cold engines.
func NewPrediction(scenario Scenario, coldPerSecond float64, withoutPaces bool) Placer {
	s := placement.New()
	s.Configure(scenario.Profile, coldPerSecond)
	s.SetCandidates(Candidates(scenario.Engines))
	return prediction{s, withoutPaces}
}

// RunRestarts simulates the scenario with a seed and returns the results by class, and the
// requests at young engines.
func RunRestarts(scenario Scenario, seed uint64, placer Placer) ([]Result, []Young) {
	s := newSimulation(scenario, placer)
	s.restarts = restarts{
		down: map[snipeford.UpstreamID]bool{}, startedAt: map[snipeford.UpstreamID]snipeford.Instant{}, unlisted: map[snipeford.UpstreamID]bool{},
		incarnation: map[snipeford.UpstreamID]int{}, coldUntil: map[snipeford.UpstreamID]snipeford.Instant{},
	}
	s.announce()
	for _, r := range scenario.Restarts {
		s.schedule(snipeford.Instant(r.At), func() { s.stopEngines(r) })
		s.schedule(snipeford.Instant(r.At+r.Down), func() { s.startEngines(r) })
	}
	results := s.run(seed)
	var young []Young
	for _, req := range s.restarts.young {
		class := scenario.Classes[req.class]
		first := class.Timeout
		if req.firstEventAt > 0 {
			first = req.firstEventAt.Sub(req.arrival)
		}
		young = append(young, Young{first, req.done && first <= class.FirstEventTarget && req.longestGap <= class.EventGapTarget})
	}
	return results, young
}

// announce tells the placers which engines there are.
func (s *simulation) announce() {
	var list []placement.PacedUpstream
	for _, c := range Candidates(s.scenario.Engines) {
		if !s.restarts.unlisted[c.ID] {
			list = append(list, placement.PacedUpstream{
				ID: c.ID, Incarnation: snipeford.Incarnation(strconv.Itoa(s.restarts.incarnation[c.ID])), ColdUntil: s.restarts.coldUntil[c.ID],
				Capacity: placement.EngineCapacity(s.scenario.Profile.Slots, s.scenario.ColdPerSecond),
			})
		}
	}
	for _, p := range s.placers {
		if f, ok := p.(engineFollower); ok {
			f.SetEngines(s.now, list)
		}
	}
}

func (s *simulation) restarted(r Restart) []snipeford.UpstreamID {
	var out []snipeford.UpstreamID
	for _, c := range Candidates(s.scenario.Engines)[r.First : r.First+r.Engines] {
		out = append(out, c.ID)
	}
	return out
}

func (s *simulation) stopEngines(r Restart) {
	ids := s.restarted(r)
	for _, id := range ids {
		s.restarts.down[id], s.restarts.unlisted[id] = !r.Leaving, !r.Listed
	}
	s.announce()
	if r.Leaving {
		return
	}
	var lost []snipeford.RequestID
	for id, req := range s.requests {
		if req.job != nil && !req.done && !req.disconnected && slices.Contains(ids, req.upstream) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		s.failAttempt(id, s.requests[id])
	}
}

// maxAttempts is the number of engines that a request is sent to at most.
const maxAttempts = 3

// failAttempt ends an attempt at an engine that is down, and places the request anew.
func (s *simulation) failAttempt(id snipeford.RequestID, req *request) {
	if req.job != nil {
		req.job.Cancel()
		req.job = nil
	}
	req.placer.End(s.now, id, true, "")
	req.excluded = append(req.excluded, req.upstream)
	if len(req.excluded) < maxAttempts {
		s.arrive(id, req)
	}
}

func (s *simulation) startEngines(r Restart) {
	for _, id := range s.restarted(r) {
		s.restarts.down[id], s.restarts.unlisted[id] = false, false
		s.restarts.startedAt[id] = s.now
		if !r.Listed {
			s.restarts.incarnation[id]++
			s.restarts.coldUntil[id] = s.now.Add(r.WarmUp)
		}
		s.warmUp(s.engines[id], r, s.now)
	}
	s.announce()
}

// warmUpSteps is the number of steps in which an engine reaches its speed.
const warmUpSteps = 10

func (s *simulation) warmUp(e *engine, r Restart, since snipeford.Instant) {
	if r.WarmUp <= 0 {
		return
	}
	done := s.now.Sub(since).Seconds() / r.WarmUp.Seconds()
	if done >= 1 {
		e.Slowdown = 1
		return
	}
	e.Slowdown = r.Slowdown + (1-r.Slowdown)*done
	s.schedule(s.now.Add(r.WarmUp/warmUpSteps), func() { s.warmUp(e, r, since) })
}

// noteYoung records a request that is sent to a young engine.
func (s *simulation) noteYoung(req *request, id snipeford.UpstreamID) {
	if at := s.restarts.startedAt[id]; at > 0 && s.now.Sub(at) < YoungAge {
		s.restarts.young = append(s.restarts.young, req)
	}
}
