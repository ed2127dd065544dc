package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

// Queued requests that differ in their priority or in the usage of their organisations
// compete. They are served by priority and, within one, by usage level. Without such
// differences the order of the queue is that of sortQueue alone.

const (
	// agedTargetShare is the part of its first-event target that a request waits behind
	// others before it is aged. Half of the target is left then to meet it.
	agedTargetShare = 0.5
	// agedTurnInterval is the number of placements of one kind of which one goes to an
	// aged request while requests compete: no kind of request may be served less than a
	// quarter as often as all.
	agedTurnInterval = 4
	// heavyTurnInterval is the same for requests that are held back only for the usage of
	// their organisation. That also gets what the others leave, and its usage decays.
	heavyTurnInterval = 8
)

// urgency orders competing requests; the lower one goes first.
type urgency struct{ priority, level int }

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(u.level, o.level))
}

// leastUrgent is behind the urgency of all requests.
var leastUrgent = urgency{math.MaxInt, math.MaxInt}

// competition is the state of the queue while its requests compete. Short prompts compete
// for slots, and long ones for prefill time and memory, so that each kind has its own.
type competition struct {
	// active is set if queued requests differ in their urgency, as of the last sort.
	active bool
	kinds  [2]kindCompetition
}

// kindCompetition is the competition among the short or the long prompts.
type kindCompetition struct {
	// first is the urgency of the most urgent queued request, or leastUrgent.
	first urgency
	// mixed is set if their urgency differs.
	mixed bool
	// aged is the request that gets the next turn of aged ones, or nil.
	aged *queued
	// sinceAged is the number of placements since the last turn of aged requests.
	sinceAged int
}

func (k *kindCompetition) agedTurn() bool {
	if k.aged == nil {
		return false
	}
	interval := agedTurnInterval
	if k.aged.urgency.priority == k.first.priority {
		interval = heavyTurnInterval
	}
	return k.sinceAged >= interval-1
}

// kind returns the competition that a request takes part in.
func (c *competition) kind(short bool) *kindCompetition {
	if short {
		return &c.kinds[0]
	}
	return &c.kinds[1]
}

// urgencyOf returns the urgency of a request. The usage of organisations counts only where
// the routing gives the requests of the service unlike priorities: elsewhere, with 45 engines
// in bursts, ordering by usage left up to 2 in 100 requests unserved that were late before.
func (s *State) urgencyOf(req snipeford.PlacementRequest) urgency {
	if !req.HasPriority {
		return urgency{priority: req.Priority}
	}
	return urgency{req.Priority, s.usage.level(req.Organisation)}
}

// aged reports whether a request has waited so long that it gets its turn although more
// urgent ones wait.
func (q *queued) aged(now snipeford.Instant) bool {
	return float64(now.Sub(q.arrival)) >= agedTargetShare*float64(q.req.FirstEventTarget)
}

// updateCompetition recomputes the competition for the queued requests, whose urgency and
// lateness are known.
func (s *State) updateCompetition(now snipeford.Instant) {
	c := &s.competition
	c.active = false
	for i := range c.kinds {
		c.kinds[i] = kindCompetition{first: leastUrgent, sinceAged: c.kinds[i].sinceAged}
	}
	for _, q := range s.queued {
		c.active = c.active || q.urgency != s.queued[0].urgency
		k := c.kind(q.short())
		k.mixed = k.mixed || k.first != leastUrgent && q.urgency != k.first
		if q.urgency.compare(k.first) < 0 {
			k.first = q.urgency
		}
	}
	if !c.active {
		return
	}
	for _, q := range s.queued {
		k := c.kind(q.short())
		if q.urgency.compare(k.first) <= 0 || !q.aged(now) {
			continue
		}
		// Those that can still be timely go first, and of these the one that waits longest.
		if k.aged == nil || k.aged.late && !q.late || k.aged.late == q.late && q.arrival < k.aged.arrival {
			k.aged = q
		}
	}
}

// admitAged moves the requests whose turn it is to the front of the queue.
func (s *State) admitAged() {
	for i := range s.competition.kinds {
		k := &s.competition.kinds[i]
		if !k.agedTurn() {
			continue
		}
		at := slices.Index(s.queued, k.aged)
		copy(s.queued[1:at+1], s.queued[:at])
		s.queued[0] = k.aged
	}
}

// hasTurn reports whether it is the turn of a request because it is aged.
func (s *State) hasTurn(q *queued) bool {
	k := s.competition.kind(q.short())
	return k.aged == q && k.agedTurn()
}

// leads reports whether a queued short prompt is late and competes with less urgent ones. It
// does not wait for capacity that these do not need.
func (s *State) leads(q *queued) bool {
	return s.competition.kinds[0].mixed && q.late && q.short() && q.urgency == s.competition.kinds[0].first
}

// yields reports whether a new request goes to the queue because a more urgent one of its
// kind waits, or an aged one whose turn it is. The order of the queue decides then.
func (s *State) yields(q *queued) bool {
	if len(s.queued) == 0 {
		return false
	}
	k := s.competition.kind(q.short())
	return k.first != leastUrgent && q.urgency.compare(k.first) > 0 || k.agedTurn()
}

// countTurn counts a placement of a kind while requests compete.
func (s *State) countTurn(q *queued) {
	k := s.competition.kind(q.short())
	switch {
	case !s.competition.active:
		k.sinceAged = 0
	case k.aged == q:
		k.sinceAged, k.aged = 0, nil
	default:
		k.sinceAged++
	}
}

// joinCompetition adds a request to the queue between two sorts.
func (s *State) joinCompetition(q *queued) {
	c := &s.competition
	if len(s.queued) == 0 {
		s.updateCompetition(q.arrival)
	}
	if k := c.kind(q.short()); q.urgency.compare(k.first) < 0 {
		k.first = q.urgency
	}
}

// shedding counts the queued short prompts in the order of the queue, to refuse the least
// urgent ones whose turn comes too late.
type shedding struct {
	// before is the number of those before the current urgency, and kept that of those up
	// to the current request.
	urgency      urgency
	before, kept int
	// refused is the number of those refused in this scan.
	refused int
}

// turnComesTooLate reports whether more short prompts of other urgencies are before one
// than the engines place until its caller disconnects. Those that are only expected do not
// count.
func (s *State) turnComesTooLate(now snipeford.Instant, q *queued, req snipeford.PlacementRequest, shed *shedding) bool {
	if !q.short() || !s.competition.kinds[0].mixed || s.hasTurn(q) {
		return false
	}
	if q.urgency != shed.urgency {
		shed.urgency, shed.before = q.urgency, shed.kept
	}
	if shed.before == 0 || s.returnsInTime(now, req) {
		return false
	}
	left := firstEventTimeLeft(req) - minFirstEventTimeLeft
	return float64(shed.before) > s.shortForecast.anyPerSecond(now, s.requestCapacity(now))*left.Seconds()
}

// anyPerSecond returns how many short prompts are placed in a second. It is not less than
// the capacity of the engines, so that nothing is refused that might be served.
func (f *queueForecast) anyPerSecond(now snipeford.Instant, capacity float64) float64 {
	f.decay(now)
	return math.Max(f.all, capacity)
}

// refusalByTurn asks the caller of a request that is refused for its urgency to retry when
// its turn would come, but early enough for the caller's own timeout. Callers that are
// refused together thereby return one after the other.
func (s *State) refusalByTurn(now snipeford.Instant, req snipeford.PlacementRequest, position int) snipeford.Placement {
	p := refusalUnderOverload(req)
	if s.competition.kinds[0].mixed {
		turn := time.Duration(float64(position) / s.shortForecast.perSecond(now, s.requestCapacity(now)) * float64(time.Second))
		p.RetryAfter = min(max(minRetryAfter, turn), p.RetryAfter)
	}
	return p
}
