package reducer

import (
	"time"

	"snipeford"
)

// callForwarded queues a call that an entry node forwarded to this home, or
// returns it.
func (s *State) callForwarded(now snipeford.Instant, e CallForwarded) {
	g := s.groups[e.Group]
	if g == nil || g.dispatcher == nil || !s.mayDispatch(now, g) {
		s.emit(ReturnToEntry{e.Call.ID, e.Group, snipeford.CauseNotHome, snipeford.NotRun, 0})
		return
	}
	d := g.dispatcher
	if d.usableCount() == 0 {
		s.emit(ReturnToEntry{e.Call.ID, e.Group, snipeford.CauseNoUpstream, snipeford.NotRun, defaultRetryAfter})
		return
	}
	q := s.newQueuedCall(now, e.Call)
	d.arrivedTokens[q.Band()] += q.Prompt
	q.LowUsage = d.recordUsage(now, q)
	if excess := g.excessWait(now, q); excess > 0 {
		s.emit(ReturnToEntry{e.Call.ID, e.Group, snipeford.CauseOverload, snipeford.NotRun, excess})
		return
	}
	s.trackCall(g, e.Call)
	d.queue.Push(q)
	s.dispatch(now, g)
}

func (s *State) newQueuedCall(now snipeford.Instant, c snipeford.Call) *snipeford.QueuedCall {
	weight := s.configuration.Rules.Organisations[c.Organisation].Weight
	if weight <= 0 {
		weight = 1
	}
	return &snipeford.QueuedCall{
		ID:             c.ID,
		Organisation:   c.Organisation,
		Weight:         weight,
		Prompt:         c.Prompt,
		ExpectedOutput: s.expectedOutput(c),
		MaxOutput:      c.MaxOutput,
		Offset:         c.Offset,
		Prefix:         c.Prefix,
		Arrival:        now,
		QueueDeadline:  c.QueueDeadline,
	}
}

// excessWait returns by how much the expected queue time of a call exceeds the
// time left until its queue deadline, or zero. The expected time is the work of
// its band up to and including the call at the band's recent service rate,
// times waitSafetyFactor. It is zero if no work is queued ahead of the call or no
// rate is known.
func (g *group) excessWait(now snipeford.Instant, q *snipeford.QueuedCall) time.Duration {
	d := g.dispatcher
	rate := d.serviceRate[q.Band()]
	if d.backloggedSeconds[q.Band()] < minBackloggedSeconds {
		// Without a backlog the recent rate shows the demand, not the capacity.
		rate = max(rate, g.summarize(now).PrefillRate)
	}
	ahead := d.queue.WorkAhead(q)
	if ahead == 0 || rate <= 0 {
		return 0
	}
	wait := time.Duration(float64(ahead+q.Work()) / float64(rate) * float64(time.Second))
	return max(0, waitSafetyFactor*wait-q.QueueDeadline.Sub(now))
}

// minBackloggedSeconds is how many seconds in a row a band must have queued
// calls before its service rate counts as the group's capacity.
const minBackloggedSeconds = 3

// waitSafetyFactor multiplies the estimated queue time to cover its
// uncertainty.
const waitSafetyFactor = 3

// callCancelled removes a cancelled call from the queue and ends its attempt.
func (s *State) callCancelled(id snipeford.CallID) {
	g := s.groupByCall[id]
	if g != nil && g.dispatcher.queue.Remove(id) != nil {
		s.untrackCall(g, id)
	}
	s.emit(Cancel{id})
}

// expire returns the calls whose queue deadline has passed.
func (s *State) expire(now snipeford.Instant, g *group) {
	for _, q := range g.dispatcher.queue.PopExpired(now) {
		s.untrackCall(g, q.ID)
		s.emit(ReturnToEntry{q.ID, g.name, snipeford.CauseDeadline, outcomeOf(q), defaultRetryAfter})
	}
}

// outcomeOf returns the outcome to report for a queued call: unknown if it was
// dispatched before.
func outcomeOf(q *snipeford.QueuedCall) snipeford.Outcome {
	if q.Attempts > 0 {
		return snipeford.Unknown
	}
	return snipeford.NotRun
}
