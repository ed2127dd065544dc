package placement

import (
	"math"
	"slices"
	"time"

	"snipeford"
)

// State knows the engines of one service and what was placed there.
type State struct {
	model    model
	coldRate float64
	replicas map[snipeford.UpstreamID]*replica
	order    []*replica
	jobs     map[snipeford.RequestID]*job
	// longLoad is the decaying reading work of long prompts, in milliseconds a
	// second, at longLoadAt.
	longLoad   float64
	longLoadAt snipeford.Instant
	// kept is how many engines of the order are left to streams with short
	// pauses.
	kept    int
	waiting []*waiting
	// nextAt is when waiting requests are tried next.
	nextAt snipeford.Instant
}

// Candidate is an engine that may get requests.
type Candidate struct {
	ID        snipeford.UpstreamID
	Domain    snipeford.FailureDomain
	ColdUntil snipeford.Instant
}

const (
	// loadMemory is the time constant of longLoad. It follows bursts of some
	// seconds.
	loadMemory = 2 * time.Second
	// forgottenAfter is when a job that never ended is dropped: its entry node
	// is gone. No route lets callers wait longer than this after a start.
	forgottenAfter = 30 * time.Second
)

// New returns a state without engines.
func New() *State {
	return &State{
		replicas: map[snipeford.UpstreamID]*replica{},
		jobs:     map[snipeford.RequestID]*job{},
	}
}

// Configure sets the figures of the engines. ColdRate is the requests a second
// that a cold engine bears, or zero.
func (s *State) Configure(p snipeford.EngineProfile, coldRate float64) {
	s.model, s.coldRate = model{p}, coldRate
}

// SetCandidates replaces the engines that may get requests.
func (s *State) SetCandidates(list []Candidate) {
	s.order = s.order[:0]
	for _, c := range list {
		r, ok := s.replicas[c.ID]
		if !ok {
			r = newReplica(c.ID, c.Domain)
			s.replicas[c.ID] = r
		}
		r.coldUntil = c.ColdUntil
		s.order = append(s.order, r)
	}
	for id, r := range s.replicas {
		known := slices.ContainsFunc(list, func(c Candidate) bool { return c.ID == id })
		if !known && len(r.jobs)+len(r.parts) == 0 {
			delete(s.replicas, id)
		}
	}
}

// AddPlaced notes a request that was placed elsewhere. It takes the place of what
// is known of the request.
func (s *State) AddPlaced(now snipeford.Instant, p snipeford.PlacedCall) {
	if p.Placement.Refused {
		return
	}
	if _, ok := s.jobs[p.Request.RequestID]; ok {
		s.End(now, p.Request.RequestID, false, "")
	}
	j := s.commit(now, p.Request, p.Placement)
	j.start = now.Add(-p.Age)
	if p.Streaming {
		s.First(now, p.Request.RequestID, snipeford.EngineLoad{})
	}
}

// commit enters a placement into the engines' books.
func (s *State) commit(now snipeford.Instant, ask snipeford.PlacementRequest, p snipeford.Placement) *job {
	whole := s.model.reading(ask.Prompt)
	j := &job{ask: ask, placed: p, start: now, part: whole / float64(1+len(p.Helpers))}
	s.jobs[ask.RequestID] = j
	first := s.replica(p.Upstream)
	first.jobs[ask.RequestID] = j
	first.sent = append(first.sent, now)
	first.addReading(now, j, false)
	for _, id := range p.Helpers {
		helper := s.replica(id)
		helper.parts[ask.RequestID] = j
		helper.addReading(now, j, true)
	}
	s.countLong(now, ask, whole)
	return j
}

func (s *State) replica(id snipeford.UpstreamID) *replica {
	r, ok := s.replicas[id]
	if !ok {
		r = newReplica(id, "")
		s.replicas[id] = r
	}
	return r
}

func (s *State) countLong(now snipeford.Instant, ask snipeford.PlacementRequest, work float64) {
	s.decay(now)
	if work > ms(ask.EventGapTarget) || work > longReading {
		s.longLoad += work / loadMemory.Seconds()
	}
}

func (s *State) decay(now snipeford.Instant) {
	if s.longLoadAt > 0 {
		s.longLoad *= math.Exp(-float64(now.Sub(s.longLoadAt)) / float64(loadMemory))
	}
	s.longLoadAt = now
}

// First notes a request's first event, with its engine's own word on its load.
func (s *State) First(now snipeford.Instant, call snipeford.RequestID, load snipeford.EngineLoad) {
	j, ok := s.jobs[call]
	if !ok || j.stage == writing {
		return
	}
	s.replica(j.placed.Upstream).reported(now, load)
	j.stage, j.firstAt = writing, now
	took := now.Sub(j.start)
	j.late = took > j.ask.FirstEventTarget
	first := s.replica(j.placed.Upstream)
	first.succeeded()
	first.dropReading(now, j)
	s.freeParts(now, j)
}

// freeParts ends the helpers' reading. Helpers that hold memory for the job
// keep it until its end.
func (s *State) freeParts(now snipeford.Instant, j *job) {
	for _, id := range j.placed.Helpers {
		r, ok := s.replicas[id]
		if !ok {
			continue
		}
		r.dropReading(now, j)
		if j.placed.ReservedMemory == 0 {
			delete(r.parts, j.ask.RequestID)
		}
	}
}

// End forgets a request. Failed says that its engine, or the one that fault
// names, failed it.
func (s *State) End(now snipeford.Instant, call snipeford.RequestID, failed bool, fault snipeford.UpstreamID) {
	s.withdraw(call)
	j, ok := s.jobs[call]
	if !ok {
		return
	}
	delete(s.jobs, call)
	first := s.replica(j.placed.Upstream)
	delete(first.jobs, call)
	first.dropReading(now, j)
	for _, id := range j.placed.Helpers {
		if r, ok := s.replicas[id]; ok {
			delete(r.parts, call)
			r.dropReading(now, j)
		}
	}
	if failed {
		if fault != "" {
			first = s.replica(fault)
		}
		first.failed(now)
		return
	}
	if j.stage == writing {
		first.succeeded()
	}
}

// RemoveStale drops jobs whose entry node was lost.
func (s *State) RemoveStale(now snipeford.Instant) {
	for call, j := range s.jobs {
		if now.Sub(j.start) > forgottenAfter {
			s.End(now, call, false, "")
		}
	}
}

// Placed returns the running requests of a node, for a new home.
func (s *State) Placed(now snipeford.Instant, node snipeford.NodeID) []snipeford.PlacedCall {
	var out []snipeford.PlacedCall
	for _, j := range s.jobs {
		if j.ask.EntryNode != node {
			continue
		}
		out = append(out, snipeford.PlacedCall{Request: j.ask, Placement: j.placed, Age: now.Sub(j.start), Streaming: j.stage == writing})
	}
	return out
}

// RemovePlaced drops the running requests of a node that is gone, or that is about to
// tell them anew.
func (s *State) RemovePlaced(now snipeford.Instant, node snipeford.NodeID) {
	for call, j := range s.jobs {
		if j.ask.EntryNode == node {
			s.End(now, call, false, "")
		}
	}
}

// RemoveQueued drops the waiting requests of a node that is gone.
func (s *State) RemoveQueued(node snipeford.NodeID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiting) bool { return w.ask.EntryNode == node })
}
