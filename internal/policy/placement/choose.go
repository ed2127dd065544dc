package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

// Parameters of the cost function. A cost of 1 is that of a late request with an
// empty prompt; weight returns that of a late request with any prompt.
const (
	// longLoadPrefillMs is the prefill time, in milliseconds, above which a prompt
	// counts in State.longLoad. One whose prefill time exceeds its event gap target
	// counts, too.
	longLoadPrefillMs = 150
	// weightDoublingTokens is the prompt length that doubles the cost of a late
	// request: its caller has to send the prompt and wait for it again.
	weightDoublingTokens = 10_000
	// transitionWidth is the width, as a share of the limit, of the range in which
	// the probability of being late rises from low to high. The range is centred on
	// safetyFactor times the limit. Predictions err by about one pass.
	transitionWidth = 0.15
	// sigmoidCutoff is the distance from that centre, in half widths, beyond which a
	// probability is rounded to zero or one. The error is less than a
	// hundred-thousandth.
	sigmoidCutoff = 12
	// safetyFactor is the predicted time, as a share of the limit, at which the
	// probability of being late is one half.
	safetyFactor = 0.85
	// firstEventDelayCost is the cost of a first event exactly at its target,
	// relative to one without delay.
	firstEventDelayCost = 0.08
	// lateResponseValue is the value of a late response relative to a timely one:
	// a quarter by the valuation of the callers, lowered because its prefill delays
	// later requests.
	lateResponseValue = 0.15
	// abandonedStreamCost is the cost of a stream whose caller disconnects, in
	// addition to the cost of being late: the caller has to retry.
	abandonedStreamCost = 1
	// crossDomainCost is the cost of an engine in another failure domain.
	crossDomainCost = 0.004
	// failedAttemptCost is the cost of a failed attempt relative to a late response:
	// the prompt has to be prefilled again, and attempts are limited.
	failedAttemptCost = 1
	// veryLongPrefillMs is the prefill time, in milliseconds, above which a prompt
	// gets as few engines as can serve it in time: with more, it would delay all
	// other requests.
	veryLongPrefillMs = 12_000
	// veryLongTimeShare is the share of the time left until the first event that
	// the prefill of a very long prompt may take.
	veryLongTimeShare = 0.75
	// minPartTokens is the shortest part, in tokens, that a helper prefills. An
	// engine can help only a few requests at once. It helps each until the first
	// event, or until the end if it reserves memory for the request.
	minPartTokens = 6_000
	// usableMemoryShare is the share of an engine's memory that requests may use.
	usableMemoryShare = 0.96
	// coldEngineCost is the cost of a cold engine.
	coldEngineCost = 0.3
	// overdueFactor is the remaining time that an engine is expected to spend on
	// untracked work, as a multiple of the time that it is overdue.
	overdueFactor = 2
	// callerRoundTripMs is the network time from the caller to the engine and
	// back, in milliseconds.
	callerRoundTripMs = 8
)

// helperCounts are the numbers of helpers that are evaluated.
var helperCounts = []int{0, 1, 2, 3, 5, 7, 9, 11, 13, 15}

// estimate is the prediction for one request on one engine. Its cost is that of
// using the engine and of delaying its other jobs; its score adds the cost of the
// request's own delay.
type estimate struct {
	engine *replica
	// helperDone is when the engine would finish its part as a helper, from now,
	// and passTime the time of a pass that prefills nothing.
	helperDone float64
	passTime   float64
	// firstEvent is when the first event would come if this engine were the primary
	// engine of the request, from now.
	firstEvent float64
	cost       float64
	score      float64
	// partPrefill is the prefill that the request adds to the engine.
	partPrefill float64
}

// lateProbability returns the probability that a predicted time misses its limit.
func lateProbability(time, limit float64) float64 {
	if limit <= 0 {
		return 1
	}
	x := 2 * (time - safetyFactor*limit) / (transitionWidth * limit)
	switch {
	case x > sigmoidCutoff:
		return 1
	case x < -sigmoidCutoff:
		return 0
	}
	return 1 / (1 + math.Exp(-x))
}

func weight(prompt snipeford.Tokens) float64 { return 1 + float64(prompt)/weightDoublingTokens }

// bestPlacement returns the placement of least cost among the engines, its cost,
// and the predicted time of its first event, from now.
func (s *State) bestPlacement(now snipeford.Instant, req snipeford.PlacementRequest, engines []*replica) (best snipeford.Placement, cost, firstEvent float64) {
	cost = math.Inf(1)
	all := make([]baseline, len(engines))
	for i, r := range engines {
		all[i] = s.baseline(now, req, r)
	}
	sharing := s.sharing(now, req, all)
	for _, helpers := range helperCounts {
		if !s.helperCountAllowed(req, helpers) {
			continue
		}
		baselines := all
		if helpers > 0 {
			baselines = sharing
		}
		if req.AvoidHelpers && helpers > 0 && s.fitsOneEngine(req) {
			break
		}
		if helpers+1 > len(baselines) || helpers > 0 && !s.profile.SharedPrefill {
			break
		}
		if helpers > 0 && req.Prompt/snipeford.Tokens(helpers+1) < minPartTokens {
			break
		}
		p, c, first, ok := s.evaluate(now, req, baselines, helpers)
		if ok && c < cost {
			best, cost, firstEvent = p, c, first
		}
	}
	return best, cost, firstEvent
}

// fitsOneEngine reports whether the request fits in the memory of one engine.
func (s *State) fitsOneEngine(req snipeford.PlacementRequest) bool {
	return req.Prompt+req.ExpectedOutput <= snipeford.Tokens(usableMemoryShare*float64(s.profile.Memory))
}

// helperCountAllowed reports whether a prompt may have that many helpers. A very
// long prompt gets the fewest that serve it in time.
func (s *State) helperCountAllowed(req snipeford.PlacementRequest, helpers int) bool {
	prefillTime := s.profile.prefillTime(req.Prompt)
	if prefillTime <= veryLongPrefillMs || req.AvoidHelpers && s.fitsOneEngine(req) {
		return true
	}
	limit := veryLongTimeShare * ms(firstEventTimeLeft(req))
	for _, fewest := range helperCounts {
		if prefillTime/float64(fewest+1) <= limit {
			return helpers == fewest
		}
	}
	return helpers == helperCounts[len(helperCounts)-1]
}

// minRetryAfter is the shortest time after which a refused caller may retry, unless
// TimeLeft divided by retryAfterDivisor is shorter.
const minRetryAfter = 500 * time.Millisecond

// usable returns the engines that may get the request. Suspect engines and those that
// are unavailable for some node are left out unless there are no others or these lack the
// memory, and excluded ones unless all engines are excluded or held back and some of them
// are not suspect.
func (s *State) usable(now snipeford.Instant, req snipeford.PlacementRequest) []*replica {
	var healthy, suspect, retried []*replica
	for _, r := range s.candidates {
		excluded := slices.Contains(req.Excluded, r.id)
		switch {
		case s.requestRateReached(now, r) || s.limitReached(now, req, r.id) || s.heldBack(now, req, r.id) > 0 || s.paceReached(now, req, r):
		case excluded && r.suspectUntil <= now:
			retried = append(retried, r)
		case excluded:
		case s.poorChoice(now, r):
			suspect = append(suspect, r)
		default:
			healthy = append(healthy, r)
		}
	}
	switch {
	case len(healthy) > 0 && (s.pauses.Len() == 0 || s.fits(req, len(healthy))):
		return healthy
	case len(healthy)+len(suspect) > 0:
		return append(healthy, suspect...)
	case s.excludesAll(now, req):
		return retried
	}
	return nil
}

// excludesAll reports whether the request has failed on all engines that are not held back
// for too long.
func (s *State) excludesAll(now snipeford.Instant, req snipeford.PlacementRequest) bool {
	return len(req.Excluded) > 0 && !slices.ContainsFunc(s.candidates, func(r *replica) bool {
		return !slices.Contains(req.Excluded, r.id) && !s.heldBackTooLong(now, req, r.id)
	})
}

// failsOnAll reports whether the request has failed on engines or some are held back, and
// none can serve it before its caller disconnects: those on which it has failed stay suspect
// for longer, and the others are held back for longer or their first events are overdue by
// more.
func (s *State) failsOnAll(now snipeford.Instant, req snipeford.PlacementRequest) bool {
	left := firstEventTimeLeft(req) - minFirstEventTimeLeft
	return (len(req.Excluded) > 0 || s.pauses.Len() > 0) && !slices.ContainsFunc(s.candidates, func(r *replica) bool {
		switch {
		case s.heldBackTooLong(now, req, r.id):
			return false
		case slices.Contains(req.Excluded, r.id):
			return r.suspectUntil <= now.Add(left)
		}
		return len(req.Excluded) == 0 || r.overdueTime(now) <= ms(left)
	})
}

// requestRateReached reports whether the engine got as many requests in the last
// second as a cold engine can take. Engines become cold without notice, so the
// limit applies to all of them.
func (s *State) requestRateReached(now snipeford.Instant, r *replica) bool {
	return s.maxRequestRate > 0 && float64(r.sentLastSecond(now)+1) > s.maxRequestRate
}

// evaluate returns the best placement with a given number of helpers, its cost,
// and the predicted time of its first event. It returns false if the engines lack
// the memory.
func (s *State) evaluate(now snipeford.Instant, req snipeford.PlacementRequest, baselines []baseline, helpers int) (snipeford.Placement, float64, float64, bool) {
	partPrefill := s.profile.prefillTime(req.Prompt) / float64(helpers+1)
	estimates := make([]estimate, 0, len(baselines))
	w := weight(req.Prompt)
	for _, base := range baselines {
		e := s.estimate(now, base, partPrefill)
		e.score = e.cost + w*lateProbability(e.firstEvent, ms(req.FirstEventTarget)) + w*firstEventDelayCost*e.firstEvent/math.Max(ms(req.FirstEventTarget), 1)
		estimates = append(estimates, e)
	}
	slices.SortFunc(estimates, func(a, b estimate) int { return cmp.Compare(a.score, b.score) })
	chosen := estimates[:helpers+1]
	primary := s.primary(now, req, chosen)
	if primary < 0 && s.swapInMemory(now, req, estimates, helpers) {
		primary = helpers
	}
	if primary < 0 {
		return s.evaluateSplitMemory(now, req, chosen)
	}
	chosen[0], chosen[primary] = chosen[primary], chosen[0]
	return newPlacement(req, chosen, 0), s.totalCost(now, req, chosen), firstEventTime(chosen), true
}

// baseline is the part of a prediction for an engine that does not depend on how
// much of the prompt the engine prefills.
type baseline struct {
	engine *replica
	// passTime is the time of a pass that prefills nothing, with the new request
	// in it, and residual the remaining time of the current pass.
	passTime, residual float64
	// prefillBacklog is the remaining prefill time, and helperBacklog that of
	// helper jobs.
	prefillBacklog, helperBacklog float64
	// slotWait is the wait for a slot, and engineCost the cost of using an engine
	// that is dedicated to other requests, cold, unreliable, or in another failure
	// domain.
	slotWait, engineCost float64
	// slowdown is the factor by which the engine is slower than its profile.
	slowdown float64
}

// baseline computes the baseline of an engine for a request.
func (s *State) baseline(now snipeford.Instant, req snipeford.PlacementRequest, engine *replica) baseline {
	n, context := engine.decodeLoad()
	untracked := engine.untrackedRequests(now)
	n += untracked
	slowdown := engine.speed.slowdown(now)
	base := baseline{engine: engine, passTime: slowdown * s.profile.decodePassTime(n+1, context+req.Prompt), engineCost: s.dedicationCost(req, engine), slowdown: slowdown}
	base.prefillBacklog, base.helperBacklog = engine.prefillBacklog(now)
	if n > 0 || base.prefillBacklog > 0 {
		base.residual = base.passTime / 2
	}
	base.residual += overdueFactor * engine.overdueTime(now)
	if waiting := len(engine.jobs) + untracked - s.profile.Slots; waiting >= 0 && s.profile.Slots > 0 {
		base.slotWait = float64(waiting+1) * base.passTime * passesPerFreeSlot
	}
	if engine.coldUntil > now {
		base.engineCost += coldEngineCost
	}
	if engine.domain != req.Domain {
		base.engineCost += crossDomainCost
	}
	base.engineCost += failedAttemptCost * weight(req.Prompt) * engine.reliability.failureShare(now)
	return base
}

// estimate predicts the effect of prefilling a part of the prompt on an engine.
func (s *State) estimate(now snipeford.Instant, base baseline, partPrefill float64) estimate {
	partPrefill *= base.slowdown
	return estimate{
		engine: base.engine, passTime: base.passTime, partPrefill: partPrefill,
		helperDone: callerRoundTripMs + base.residual + base.helperBacklog + partPrefill,
		firstEvent: callerRoundTripMs + base.residual + base.prefillBacklog + partPrefill + base.passTime + base.slotWait,
		cost:       s.interference(now, base.engine, base.passTime+base.prefillBacklog, partPrefill) + base.engineCost,
	}
}

const (
	// passesPerFreeSlot is how many passes a full engine takes to finish one
	// request.
	passesPerFreeSlot = 3
)

// interference returns the cost to the jobs on an engine if its next pass, which
// takes passTime, takes partPrefill longer. More urgent jobs count more, see precedence.
func (s *State) interference(now snipeford.Instant, r *replica, passTime, partPrefill float64) float64 {
	sum := 0.0
	for _, j := range r.helperJobs {
		if j.stage != stageDecode && !j.missedTarget {
			sum += s.firstEventDelay(now, j, partPrefill)
		}
	}
	var gap, idle lateIncrease
	for _, j := range r.jobs {
		w := s.precedence(j) * weight(j.req.Prompt)
		if j.stage == stageDecode {
			sum += w * abandonedStreamCost * idle.forLimit(ms(j.req.StreamIdleTimeout), passTime, partPrefill)
		}
		if j.missedTarget {
			continue
		}
		if j.stage == stageDecode {
			sum += w * gap.forLimit(ms(j.req.EventGapTarget), passTime, partPrefill)
			continue
		}
		sum += s.firstEventDelay(now, j, partPrefill)
	}
	return sum
}

// firstEventDelay returns the cost to a job without a first event if that event comes
// partPrefill later.
func (s *State) firstEventDelay(now snipeford.Instant, j *job, partPrefill float64) float64 {
	limit := ms(j.start.Add(j.req.FirstEventTarget).Sub(now))
	eta := math.Max(ms(j.expectedFirstEventAt.Sub(now)), 0)
	return s.precedence(j) * weight(j.req.Prompt) * (lateProbability(eta+partPrefill, limit) - lateProbability(eta, limit))
}

// lateIncrease caches by how much the probability of being late rises for a
// limit. The streams of an engine share a few limits.
type lateIncrease struct{ limit, value float64 }

func (l *lateIncrease) forLimit(limit, passTime, partPrefill float64) float64 {
	if l.limit != limit {
		l.limit, l.value = limit, lateProbability(passTime+partPrefill, limit)-lateProbability(passTime, limit)
	}
	return l.value
}

// primary returns the index of the primary engine among the chosen ones: the one
// with the earliest first event among those whose memory holds the whole
// request, or -1.
func (s *State) primary(now snipeford.Instant, req snipeford.PlacementRequest, chosen []estimate) int {
	limit := s.usableMemory()
	primary := -1
	for i, e := range chosen {
		if s.takenMemory(now, e.engine)+req.Prompt+req.ExpectedOutput > limit {
			continue
		}
		if primary < 0 || e.firstEvent < chosen[primary].firstEvent {
			primary = i
		}
	}
	return primary
}

// evaluateSplitMemory evaluates a placement for a request that does not fit in
// the memory of any one engine: each engine reserves an equal share.
func (s *State) evaluateSplitMemory(now snipeford.Instant, req snipeford.PlacementRequest, chosen []estimate) (snipeford.Placement, float64, float64, bool) {
	if len(chosen) < 2 || s.fitsOneEngine(req) {
		return snipeford.Placement{}, 0, 0, false
	}
	need := req.Prompt + req.ExpectedOutput
	share := need/snipeford.Tokens(len(chosen)) + s.profile.PrefillChunk
	limit := s.usableMemory()
	for _, e := range chosen {
		if s.takenMemory(now, e.engine)+share > limit {
			return snipeford.Placement{}, 0, 0, false
		}
	}
	return newPlacement(req, chosen, share), s.totalCost(now, req, chosen), firstEventTime(chosen), true
}

func newPlacement(req snipeford.PlacementRequest, chosen []estimate, reserve snipeford.Tokens) snipeford.Placement {
	p := snipeford.Placement{RequestID: req.RequestID, EntryNode: req.EntryNode, Upstream: chosen[0].engine.id, ReservedMemory: reserve}
	for _, e := range chosen[1:] {
		p.Helpers = append(p.Helpers, e.engine.id)
	}
	return p
}

// firstEventTime returns when the first event comes: after the last part is
// prefilled.
func firstEventTime(chosen []estimate) float64 {
	last := chosen[0].firstEvent
	for _, e := range chosen[1:] {
		last = math.Max(last, e.helperDone+chosen[0].passTime)
	}
	return last
}

// totalCost returns the cost of a placement to its own caller and to others.
func (s *State) totalCost(now snipeford.Instant, req snipeford.PlacementRequest, chosen []estimate) float64 {
	sum := 0.0
	for _, e := range chosen {
		sum += e.cost
	}
	return sum - s.repeatedDelays(now, chosen) + s.ownCost(req, firstEventTime(chosen))
}

// repeatedDelays returns by how much the costs of the engines exceed the cost to the
// requests that several of them prefill: such a request is delayed once.
func (s *State) repeatedDelays(now snipeford.Instant, chosen []estimate) float64 {
	sum := 0.0
	counted := map[*job]bool{}
	for _, e := range chosen {
		for _, j := range e.engine.jobs {
			counted[j] = true
		}
	}
	for _, e := range chosen {
		for _, j := range e.engine.helperJobs {
			if j.stage == stageDecode || j.missedTarget {
				continue
			}
			if counted[j] {
				sum += s.firstEventDelay(now, j, e.partPrefill)
			}
			counted[j] = true
		}
	}
	return sum
}

// ownCost returns the cost to a request of a first event at the given time.
func (s *State) ownCost(req snipeford.PlacementRequest, firstEvent float64) float64 {
	target := ms(req.FirstEventTarget)
	return weight(req.Prompt) * (lateProbability(firstEvent, target) + firstEventDelayCost*firstEvent/math.Max(target, 1))
}
