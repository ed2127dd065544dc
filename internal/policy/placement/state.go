package placement

import (
	"cmp"
	"slices"
	"time"

	"snipeford"
	"snipeford/internal/policy/pause"
	"snipeford/internal/policy/ratelimit"
)

// State holds the engines of one service and the requests placed on them.
type State struct {
	profile        profile
	maxRequestRate float64
	replicas       map[snipeford.UpstreamID]*replica
	candidates     []*replica
	jobs           map[snipeford.RequestID]*job
	// limits are the request limits that engines state.
	limits ratelimit.Limiter
	// pauses are the times for which engines want no requests from a node.
	pauses pause.Keeper
	pacing pacing
	demand demand
	// longLoad is the prefill time per second, in milliseconds, of the prompts
	// whose prefill time exceeds longLoadPrefillMs or their event gap target, as an
	// exponentially decaying average at longLoadAt.
	longLoad   float64
	longLoadAt snipeford.Instant
	// dedicatedEngines is how many of the first candidates are dedicated to
	// gap-sensitive requests.
	dedicatedEngines int
	// dedicatedDemand is the number of gap-sensitive streams that set dedicatedEngines.
	dedicatedDemand float64
	queued          []*queued
	// shortForecast forecasts the placements of late short prompts in the queue.
	shortForecast queueForecast
	// nextQueueScan is when Next evaluates the queued requests again.
	nextQueueScan snipeford.Instant
	usage         usage
	competition   competition
	shortDemand   shortDemand
	memory        memoryAccount
	// placing is the urgency of the request that place evaluates.
	placing urgency
	// longTurnAt is when an aged long prompt got its turn last.
	longTurnAt snipeford.Instant
}

// Candidate is an engine that may get requests.
type Candidate struct {
	ID        snipeford.UpstreamID
	Domain    snipeford.FailureDomain
	ColdUntil snipeford.Instant
}

const (
	// longLoadTimeConstant is the time constant of longLoad. It follows bursts of
	// a few seconds.
	longLoadTimeConstant = 2 * time.Second
	// staleJobAge is the age at which a job is removed if its end has not been
	// reported: it is assumed to have ended. No route may let callers wait longer
	// than this after a request has started.
	staleJobAge = 30 * time.Second
)

// New returns a State without engines.
func New() *State {
	return &State{
		replicas: map[snipeford.UpstreamID]*replica{},
		jobs:     map[snipeford.RequestID]*job{},
	}
}

// Configure sets the profile of the engines and the maximum number of requests per
// second for each engine, or zero for no limit. The maximum is what a cold engine
// can take.
func (s *State) Configure(p snipeford.EngineProfile, maxRequestRate float64) {
	s.profile, s.maxRequestRate = profile{p}, maxRequestRate
}

// SetCandidates replaces the engines that may get requests.
func (s *State) SetCandidates(list []Candidate) {
	s.candidates = s.candidates[:0]
	for _, c := range list {
		r, ok := s.replicas[c.ID]
		if !ok {
			r = newReplica(c.ID, c.Domain)
			s.replicas[c.ID] = r
		}
		r.coldUntil = c.ColdUntil
		s.candidates = append(s.candidates, r)
	}
	for id, r := range s.replicas {
		known := slices.ContainsFunc(list, func(c Candidate) bool { return c.ID == id })
		if !known && len(r.jobs)+len(r.helperJobs) == 0 {
			delete(s.replicas, id)
		}
	}
}

// AddPlaced adds a request that another node has placed, such as an earlier home of
// the service. It replaces an earlier entry of the same request.
func (s *State) AddPlaced(now snipeford.Instant, p snipeford.PlacedCall) {
	if p.Placement.Refused {
		return
	}
	if j, ok := s.jobs[p.Request.RequestID]; ok {
		s.subtractLongLoad(now, j)
		s.usage.refund(j)
	}
	s.replace(now, p.Request.RequestID)
	age := max(0, p.Age)
	j := s.commit(now, p.Request, p.Placement, age)
	s.reducePrefill(now, j, age)
	if j.short {
		s.shortDemand.recordPlaced(now, urgency{j.req.Priority, j.level}, age)
	}
	if p.Streaming {
		s.beginDecode(now, j)
		// The first event arrived at an unknown time since the start.
		j.decodesSince = j.start
		// A stream that is taken for late is no reason to keep long prompts from its engine.
		j.missedTarget = p.Placement.ExpectedFirstEvent > p.Request.FirstEventTarget
	}
}

// Decoding returns a request whose response has begun, and when its first event
// arrived.
func (s *State) Decoding(id snipeford.RequestID) (snipeford.PlacementRequest, snipeford.Instant, bool) {
	j, ok := s.jobs[id]
	if !ok || j.stage != stageDecode {
		return snipeford.PlacementRequest{}, 0, false
	}
	return j.req, j.decodesSince, true
}

// replace removes an earlier entry of a request, placed or queued. A second one would
// stay on its engine for good.
func (s *State) replace(now snipeford.Instant, id snipeford.RequestID) {
	if j, ok := s.jobs[id]; ok {
		s.remove(now, j)
	}
	s.dequeue(id)
}

// commit records a placement of a certain age on its engines.
func (s *State) commit(now snipeford.Instant, req snipeford.PlacementRequest, p snipeford.Placement, age time.Duration) *job {
	prefillTime := s.profile.prefillTime(req.Prompt)
	// The reason is for the log alone, and need not be told to a new home.
	p.Contention = nil
	j := &job{req: req, placement: p, start: now.Add(-age), short: prefillTime <= shortPrefillMs, partPrefill: prefillTime / float64(1+len(p.Helpers))}
	s.jobs[req.RequestID] = j
	primary := s.replica(p.Upstream)
	primary.jobs = append(primary.jobs, j)
	primary.addSent(now, req.RequestID, age)
	primary.addPrefill(now, j, false)
	for _, id := range p.Helpers {
		helper := s.replica(id)
		helper.helperJobs = append(helper.helperJobs, j)
		helper.addPrefill(now, j, true)
	}
	s.memory.add(now, j)
	s.addLongLoad(now, j, prefillTime)
	j.level = s.urgencyOf(req).level
	s.usage.charge(now, j)
	return j
}

// reducePrefill reduces the prefill parts of a job that was placed some time ago to
// what its engines should still have to do.
func (s *State) reducePrefill(now snipeford.Instant, j *job, age time.Duration) {
	if age <= 0 {
		return
	}
	remaining := max(0, j.partPrefill-ms(age))
	if expected := j.placement.ExpectedFirstEvent; expected > 0 {
		j.expectedFirstEventAt = j.start.Add(expected)
		remaining = min(j.partPrefill, max(0, ms(expected-age)))
	}
	s.replica(j.placement.Upstream).setPrefill(now, j, remaining)
	for _, id := range j.placement.Helpers {
		s.replica(id).setPrefill(now, j, remaining)
	}
}

func (s *State) replica(id snipeford.UpstreamID) *replica {
	r, ok := s.replicas[id]
	if !ok {
		r = newReplica(id, "")
		s.replicas[id] = r
	}
	return r
}

func (s *State) addLongLoad(now snipeford.Instant, j *job, prefillTime float64) {
	s.decayLongLoad(now)
	if prefillTime > ms(j.req.EventGapTarget) || prefillTime > longLoadPrefillMs {
		j.longLoad = prefillTime / longLoadTimeConstant.Seconds()
		s.longLoad += j.longLoad * decayFactor(now.Sub(j.start), longLoadTimeConstant)
	}
}

// subtractLongLoad takes back what is left of addLongLoad.
func (s *State) subtractLongLoad(now snipeford.Instant, j *job) {
	s.decayLongLoad(now)
	s.longLoad = max(0, s.longLoad-j.longLoad*decayFactor(now.Sub(j.start), longLoadTimeConstant))
	j.longLoad = 0
}

func (s *State) decayLongLoad(now snipeford.Instant) {
	if s.longLoadAt > 0 {
		s.longLoad *= decayFactor(now.Sub(s.longLoadAt), longLoadTimeConstant)
	}
	s.longLoadAt = now
}

// First records the first event of a request and the load that its engine
// reported with it.
func (s *State) First(now snipeford.Instant, id snipeford.RequestID, load snipeford.EngineLoad) {
	j, ok := s.jobs[id]
	if !ok || j.stage == stageDecode {
		return
	}
	primary := s.replica(j.placement.Upstream)
	primary.recordLoad(now, load)
	primary.recordSuccess()
	s.paceFirstEvent(now, j)
	s.sampleSpeed(now, j)
	s.beginDecode(now, j)
}

// beginDecode ends the prefill of a job.
func (s *State) beginDecode(now snipeford.Instant, j *job) {
	j.stage, j.decodesSince = stageDecode, now
	j.missedTarget = now.Sub(j.start) > j.req.FirstEventTarget
	primary := s.replica(j.placement.Upstream)
	primary.latestServedStart = max(primary.latestServedStart, j.start)
	primary.removePrefill(now, j)
	s.releaseHelpers(now, j)
}

// releaseHelpers ends the prefill on the helpers. Helpers that reserve memory for
// the job keep it until the job ends.
func (s *State) releaseHelpers(now snipeford.Instant, j *job) {
	for _, id := range j.placement.Helpers {
		r, ok := s.replicas[id]
		if !ok {
			continue
		}
		r.removePrefill(now, j)
		if j.placement.ReservedMemory == 0 {
			r.removeHelperJob(j)
		}
	}
}

// End removes a request. If failed is set, the failure counts against the engine
// named by faulty, or against the request's primary engine if faulty is empty.
func (s *State) End(now snipeford.Instant, requestID snipeford.RequestID, failed bool, faulty snipeford.UpstreamID) {
	s.dequeue(requestID)
	j, ok := s.jobs[requestID]
	if !ok {
		return
	}
	s.demand.ended(now, j.req)
	s.remove(now, j)
	engine := s.replica(j.placement.Upstream)
	if failed {
		if faulty != "" {
			engine = s.replica(faulty)
		}
		engine.recordFailure(now)
		s.paceFailure(now, engine, j)
		return
	}
	if j.stage == stageDecode {
		engine.recordSuccess()
		engine.reliability.record(now, false)
	}
}

// remove removes a job of which it is not known whether it succeeded.
func (s *State) remove(now snipeford.Instant, j *job) {
	id := j.req.RequestID
	delete(s.jobs, id)
	s.memory.remove(j)
	engine := s.replica(j.placement.Upstream)
	engine.jobs = slices.DeleteFunc(engine.jobs, func(o *job) bool { return o == j })
	engine.removePrefill(now, j)
	for _, helper := range j.placement.Helpers {
		if r, ok := s.replicas[helper]; ok {
			r.removeHelperJob(j)
			r.removePrefill(now, j)
		}
	}
}

// TakeLasting calls visit for the requests whose responses have gone on for a period,
// once for each.
func (s *State) TakeLasting(now snipeford.Instant, period time.Duration, visit func(req snipeford.PlacementRequest, decodesSince snipeford.Instant)) {
	lasting := s.jobsWhere(func(j *job) bool {
		return j.stage == stageDecode && !j.lasting && now.Sub(j.decodesSince) >= period
	})
	for _, j := range lasting {
		j.lasting = true
		visit(j.req, j.decodesSince)
	}
}

// RemoveStale removes jobs older than staleJobAge.
func (s *State) RemoveStale(now snipeford.Instant) {
	s.usage.prune(now)
	for _, j := range s.jobsWhere(func(j *job) bool { return now.Sub(j.start) > staleJobAge }) {
		s.remove(now, j)
	}
}

// jobsWhere returns some of the jobs, in the order in which they started.
func (s *State) jobsWhere(matches func(*job) bool) []*job {
	var out []*job
	for _, j := range s.jobs {
		if matches(j) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.req.RequestID, b.req.RequestID))
	})
	return out
}

// Placed returns the placed requests of an entry node, to report them to a new
// home of the service.
func (s *State) Placed(now snipeford.Instant, node snipeford.NodeID) []snipeford.PlacedCall {
	var out []snipeford.PlacedCall
	for _, j := range s.jobsWhere(func(j *job) bool { return j.req.EntryNode == node }) {
		out = append(out, snipeford.PlacedCall{Request: j.req, Placement: j.placement, Age: now.Sub(j.start), Streaming: j.stage == stageDecode})
	}
	return out
}

// RemovePlaced removes the placed requests of an entry node that is gone or that
// is about to report them again.
func (s *State) RemovePlaced(now snipeford.Instant, node snipeford.NodeID) {
	for _, j := range s.jobsWhere(func(j *job) bool { return j.req.EntryNode == node }) {
		s.subtractLongLoad(now, j)
		s.usage.refund(j)
		s.remove(now, j)
	}
}

// RemoveQueued removes the queued requests of an entry node that is gone.
func (s *State) RemoveQueued(node snipeford.NodeID) {
	s.queued = slices.DeleteFunc(s.queued, func(q *queued) bool { return q.req.EntryNode == node })
}

// TakeQueued removes the queued requests whose prompts have a part, and returns them.
func (s *State) TakeQueued(part snipeford.PrefixPart) []snipeford.PlacementRequest {
	var out []snipeford.PlacementRequest
	s.queued = slices.DeleteFunc(s.queued, func(q *queued) bool {
		if !slices.Contains(q.req.PrefixParts, part) {
			return false
		}
		out = append(out, q.req)
		return true
	})
	return out
}
