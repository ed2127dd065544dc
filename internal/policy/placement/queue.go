package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

const (
	// shortPrefillMs is the prefill time, in milliseconds, up to which a prompt
	// is short; above it, a prompt is long. A short prompt can go to any engine with a free slot, whatever the
	// prefill backlog there.
	shortPrefillMs = 60
	// maxBacklogMs is the prefill backlog, in milliseconds, up to which an engine
	// takes a part of a long prompt. Otherwise the request stays in the queue of
	// State, where it can still be reordered.
	maxBacklogMs = 150
	// minFreeEngineShare is the share of the engines for long prompts that have to
	// be free to place a late prompt. Waiting for more of them costs more time
	// than it saves.
	minFreeEngineShare = 0.6
	// minLongEnginesDivisor sets the minimum number of engines for long prompts:
	// the number of usable engines divided by it.
	minLongEnginesDivisor = 3
	// spareSlots is the number of slots that an engine must have free to take a
	// short prompt that will be late.
	spareSlots = 2
	// maxLateProbability is the probability of being late up to which a placement
	// is accepted at once.
	maxLateProbability = 0.4
	// maxQueuedLateProbability is the probability of being late up to which a queued
	// request is served before the late ones. It is lower than maxLateProbability:
	// under overload, requests that are barely in time would get all slots, and half
	// of them would be late.
	maxQueuedLateProbability = 0.2
	// maxAbandonProbability is the probability that the caller disconnects before
	// the first event, above which a request stays queued: an engine may become
	// free.
	maxAbandonProbability = 0.5
	// queueScanInterval is how long Next does nothing after a call that placed and
	// refused no queued request.
	queueScanInterval = 8 * time.Millisecond
	// maxUnplacedPerScan is the number of queued requests without a placement after
	// which Next evaluates no further ones in the same call.
	maxUnplacedPerScan = 4
	// passesToFirstEvent is the number of passes until a first event: on average
	// half of the current pass, and the request's own one.
	passesToFirstEvent = 1.5
	// typicalResponseSeconds is how long a response takes to decode, to estimate when
	// the queue is empty.
	typicalResponseSeconds = 2.5
	// minRequestCapacity is the least capacity that is assumed, in requests per second.
	minRequestCapacity = 0.2
	// retryAfterDivisor sets the latest time to retry after a refusal, as the time
	// that the caller has left divided by it. Callers accept no later time.
	retryAfterDivisor = 3
	// minFirstEventTimeLeft is the minimum time left until the caller disconnects
	// without a first event. A request with less time left is refused.
	minFirstEventTimeLeft = 300 * time.Millisecond
)

// queued is a request that has no placement yet.
type queued struct {
	req     snipeford.PlacementRequest
	arrival snipeford.Instant
	// prefillTime is the time to prefill the prompt on one engine.
	prefillTime float64
	// late is set if the request will probably miss its target, as of the last sort.
	late bool
	// urgency is that of the request, as of the last sort.
	urgency urgency
}

func (q *queued) short() bool { return q.prefillTime <= shortPrefillMs }

// asOf returns the request with its times reduced by the time spent in the queue.
func (q *queued) asOf(now snipeford.Instant) snipeford.PlacementRequest {
	req := q.req
	req.FirstEventTarget = max(0, req.FirstEventTarget-now.Sub(q.arrival))
	req.TimeLeft -= now.Sub(q.arrival)
	req.FirstEventTimeout -= now.Sub(q.arrival)
	return req
}

// Ask places or refuses a request and returns the placement. It returns none if
// the request is queued.
func (s *State) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	q := &queued{req: req, arrival: now, prefillTime: s.profile.prefillTime(req.Prompt), urgency: s.urgencyOf(req)}
	if s.unservable(now, req) {
		p := s.refusal(now, req)
		p.Contention = s.contention(req, 0)
		return []snipeford.Placement{p}
	}
	s.replace(now, req.RequestID)
	s.decayLongLoad(now)
	s.demand.arrived(now, req)
	s.updateDedicatedEngines(now)
	if q.short() {
		s.shortDemand.record(now, q.urgency)
	}
	if !s.yields(q) {
		if p, ok := s.place(now, q, req); ok {
			if q.short() {
				s.shortForecast.record(now, false)
			}
			s.countTurn(q)
			return []snipeford.Placement{p}
		}
	}
	s.joinCompetition(q)
	if len(s.queued) == 0 {
		s.shortForecast.queueEmpty(now, s.requestCapacity(now))
	}
	s.queued = append(s.queued, q)
	return nil
}

// Next places queued requests and refuses those that can no longer be served in
// time. After a call that placed and refused none, it does nothing for
// queueScanInterval: an evaluation takes processor time, and an engine seldom
// becomes free in the next millisecond.
func (s *State) Next(now snipeford.Instant) []snipeford.Placement {
	if len(s.queued) == 0 || now < s.nextQueueScan {
		return nil
	}
	s.ForgetPauses(now)
	s.decayLongLoad(now)
	s.updateDedicatedEngines(now)
	s.sortQueue(now)
	var out []snipeford.Placement
	unplaced, unplacedLong, waiting := 0, 0, 0
	var shed shedding
	decide := func(q *queued, p snipeford.Placement) bool {
		p.Contention = s.contention(q.req, now.Sub(q.arrival))
		out = append(out, p)
		return true
	}
	s.queued = slices.DeleteFunc(s.queued, func(q *queued) bool {
		req := q.asOf(now)
		if s.unservable(now, req) {
			return decide(q, s.refusal(now, req))
		}
		if s.waitsInVain(now, q, req, waiting) || s.turnComesTooLate(now, q, req, &shed) {
			shed.refused++
			return decide(q, s.refusalByTurn(now, req, shed.kept+shed.refused))
		}
		if unplaced < maxUnplacedPerScan && (q.short() || unplacedLong < maxUnplacedPerScan) {
			if p, ok := s.place(now, q, req); ok {
				if q.short() {
					s.shortForecast.record(now, q.late)
				}
				s.countTurn(q)
				return decide(q, p)
			}
			if s.competition.active && !q.short() {
				// Long prompts that wait for memory do not hold back short ones.
				unplacedLong++
			} else {
				unplaced++
			}
		}
		if q.short() {
			shed.kept++
		}
		if q.late && q.short() {
			waiting++
		}
		return false
	})
	s.updateCompetition(now)
	if len(out) == 0 {
		s.nextQueueScan = now.Add(queueScanInterval)
	}
	return out
}

func (s *State) refusal(now snipeford.Instant, req snipeford.PlacementRequest) snipeford.Placement {
	return snipeford.Placement{RequestID: req.RequestID, EntryNode: req.EntryNode, Refused: true, RetryAfter: s.retryAfter(now, req)}
}

// refusalUnderOverload asks the caller to retry as late as it accepts: callers that
// retry sooner return into the same overload, where they take the place of others.
func refusalUnderOverload(req snipeford.PlacementRequest) snipeford.Placement {
	return snipeford.Placement{RequestID: req.RequestID, EntryNode: req.EntryNode, Refused: true, RetryAfter: req.TimeLeft / retryAfterDivisor}
}

// unservable reports whether a request has to be refused: no engines can serve it
// in time, or its caller is about to disconnect.
func (s *State) unservable(now snipeford.Instant, req snipeford.PlacementRequest) bool {
	left := firstEventTimeLeft(req)
	if left < minFirstEventTimeLeft || len(s.candidates) == 0 || s.profile.PrefillRate <= 0 || s.failsOnAll(now, req) {
		return true
	}
	if s.lacksMemory(now, req) {
		return true
	}
	return s.profile.prefillTime(req.Prompt)/float64(s.maxEngines(now, req)) > ms(left)
}

// waitsInVain reports whether a late short prompt will not get its turn before its
// caller disconnects: more of them wait before it than are placed in that time, and no
// engine returns from a pause.
func (s *State) waitsInVain(now snipeford.Instant, q *queued, req snipeford.PlacementRequest, waitingBefore int) bool {
	if !q.late || !q.short() || s.returnsInTime(now, req) {
		return false
	}
	left := firstEventTimeLeft(req) - minFirstEventTimeLeft
	return float64(waitingBefore) > s.shortForecast.perSecond(now, s.requestCapacity(now))*left.Seconds()
}

// firstEventTimeLeft returns how long the caller still waits for the first event.
func firstEventTimeLeft(req snipeford.PlacementRequest) time.Duration {
	return min(req.TimeLeft, req.FirstEventTimeout)
}

// maxEngines returns the largest number of engines that can prefill a prompt
// together.
func (s *State) maxEngines(now snipeford.Instant, req snipeford.PlacementRequest) int {
	count := min(int(req.Prompt/minPartTokens), 1+helperCounts[len(helperCounts)-1], s.sharingCount(now, req))
	if !s.profile.SharedPrefill || req.AvoidHelpers && s.fitsOneEngine(req) {
		count = 1
	}
	return max(count, 1)
}

// retryAfter returns when a refused caller may retry: when the engines should have
// served the queue, but early enough for the caller's own timeout.
func (s *State) retryAfter(now snipeford.Instant, req snipeford.PlacementRequest) time.Duration {
	backlog := duration(1000 * float64(len(s.queued)) / s.requestCapacity(now))
	return min(max(minRetryAfter, 2*backlog), req.TimeLeft/retryAfterDivisor)
}

// requestCapacity returns how many requests the engines' slots, limits, pauses and paces
// bear in a second.
func (s *State) requestCapacity(now snipeford.Instant) float64 {
	perEngine := float64(max(s.profile.Slots, 1)) / typicalResponseSeconds
	sum := 0.0
	for _, r := range s.serving(now) {
		limit, limited := s.limits.Limit(r.id)
		if !limited {
			limit = perEngine
		}
		sum += min(limit, perEngine) * s.pacedShare(r.id)
	}
	return max(sum, minRequestCapacity)
}

// sortQueue sorts the queue by priority and, within one, by the usage level of the
// organisations. Among requests of the same urgency, short prompts that can
// still meet their target come first, the newest before the others: when there are
// too many, the older ones are almost late. Long ones that can meet their target
// follow, by the time left for it, and then the late ones, by their prefill time.
func (s *State) sortQueue(now snipeford.Instant) {
	passTime, serving := s.meanPassTime(), len(s.serving(now))
	for _, q := range s.queued {
		engines := 1.0
		if !q.short() {
			engines = float64(max(1, serving-s.dedicatedEngines))
		}
		firstEvent := callerRoundTripMs + q.prefillTime/engines + passesToFirstEvent*passTime
		q.late = lateProbability(firstEvent, q.slack(now)) > maxQueuedLateProbability
		q.urgency = s.urgencyOf(q.req)
	}
	s.updateCompetition(now)
	key := func(q *queued) (int, float64) {
		switch {
		case q.late:
			return 2, q.prefillTime
		case q.short():
			return 0, -q.slack(now)
		}
		return 1, q.slack(now)
	}
	slices.SortStableFunc(s.queued, func(a, b *queued) int {
		aRank, aKey := key(a)
		bRank, bKey := key(b)
		return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), cmp.Compare(a.urgency.level, b.urgency.level), cmp.Compare(aRank, bRank), cmp.Compare(aKey, bKey))
	})
	s.admitAged()
}

// slack returns the time left, in milliseconds, until the target of the first event.
func (q *queued) slack(now snipeford.Instant) float64 {
	return ms(q.arrival.Add(q.req.FirstEventTarget).Sub(now))
}

// meanPassTime returns the mean time of a pass that prefills nothing, over all
// engines.
func (s *State) meanPassTime() float64 {
	sum := 0.0
	for _, r := range s.candidates {
		n, context := r.decodeLoad()
		sum += s.profile.decodePassTime(n+1, context)
	}
	return sum / float64(max(len(s.candidates), 1))
}

// place places a request, or reports that it has to stay queued.
func (s *State) place(now snipeford.Instant, q *queued, req snipeford.PlacementRequest) (snipeford.Placement, bool) {
	usable := s.usable(now, req)
	short := q.prefillTime <= shortPrefillMs
	veryLong := q.prefillTime > veryLongPrefillMs
	engines := slices.DeleteFunc(slices.Clone(usable), func(r *replica) bool {
		return !s.hasRoom(now, r, short) || veryLong && r.rank < s.dedicatedEngines
	})
	if s.keepsSpareSlots(now, q, engines) || !short && req.HasPriority && s.takesShortMemory(now, req) {
		return snipeford.Placement{}, false
	}
	s.placing = s.delaying(now, q)
	p, cost, firstEvent := s.bestPlacement(now, req, engines)
	if math.IsInf(cost, 1) {
		return snipeford.Placement{}, false
	}
	if lateProbability(firstEvent, ms(req.FirstEventTarget)) > maxLateProbability && !s.hasTurn(q) && !s.leads(q) && !s.acceptLate(now, usable, engines, short) {
		return snipeford.Placement{}, false
	}
	if lateProbability(firstEvent, ms(firstEventTimeLeft(req))) > maxAbandonProbability {
		return snipeford.Placement{}, false
	}
	if othersCost, gain := s.costAndGain(now, req, p, cost, firstEvent); othersCost > gain {
		return snipeford.Placement{}, false
	}
	p.ExpectedFirstEvent, p.Limited = duration(firstEvent), s.isLimited(p.Upstream)
	setPriority(&p, req)
	s.limits.Sent(now, p.Upstream)
	p.Pace = s.paceSent(now, p.Upstream)
	sample := s.sampleOf(now, p, firstEvent)
	if s.longTurn(now, q) {
		s.longTurnAt = now
	}
	j := s.commit(now, req, p, 0)
	j.sample = sample
	s.spoilSamples(j)
	j.expectedFirstEventAt = now.Add(p.ExpectedFirstEvent)
	return p, true
}

// costAndGain returns the cost of a placement to other requests and the gain to
// its own caller. The risk that the attempt fails lowers the gain, but is no cost to
// others: a request that waits for engines without failures may wait in vain.
func (s *State) costAndGain(now snipeford.Instant, req snipeford.PlacementRequest, p snipeford.Placement, cost, firstEvent float64) (othersCost, gain float64) {
	w := weight(req.Prompt)
	late := lateProbability(firstEvent, ms(req.FirstEventTarget))
	failures := s.expectedFailures(now, p)
	othersCost = cost - s.ownCost(req, firstEvent) - failedAttemptCost*w*failures
	return othersCost, w * (lateResponseValue + (1-lateResponseValue)*(1-late)) * max(0, 1-failures)
}

// expectedFailures returns the sum of the expected shares of failures of the engines of a
// placement.
func (s *State) expectedFailures(now snipeford.Instant, p snipeford.Placement) float64 {
	sum := s.replica(p.Upstream).reliability.failureShare(now)
	for _, id := range p.Helpers {
		sum += s.replica(id).reliability.failureShare(now)
	}
	return sum
}

// hasRoom reports whether an engine can take another short or long prompt now.
// Requests in the queue of State can still be reordered, those queued in an engine
// can't.
func (s *State) hasRoom(now snipeford.Instant, r *replica, short bool) bool {
	if short {
		return len(r.jobs)+r.untrackedRequests(now) < s.profile.Slots
	}
	all, _ := r.prefillBacklog(now)
	return all <= maxBacklogMs
}

// acceptLate reports whether a request that will be late may be placed now. It
// gets only capacity that timely requests do not need.
func (s *State) acceptLate(now snipeford.Instant, usable, enginesWithRoom []*replica, short bool) bool {
	if !short {
		longPromptEngines := max(len(usable)-s.dedicatedEngines, len(usable)/minLongEnginesDivisor)
		return float64(len(enginesWithRoom)) >= minFreeEngineShare*float64(longPromptEngines)
	}
	for _, r := range enginesWithRoom {
		if all, _ := r.prefillBacklog(now); len(r.jobs)+r.untrackedRequests(now) <= s.profile.Slots-spareSlots && all <= maxBacklogMs {
			return true
		}
	}
	return false
}

// dequeue removes a request from the queue.
func (s *State) dequeue(id snipeford.RequestID) {
	s.queued = slices.DeleteFunc(s.queued, func(q *queued) bool { return q.req.RequestID == id })
}
