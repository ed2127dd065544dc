package reducer

import (
	"time"

	"snipeford"
)

// offered takes a call into the group's queue, or sends it back.
func (s *State) offered(now snipeford.Instant, e CallForwarded) {
	g := s.groups[e.Group]
	if g == nil || g.dispatcher == nil || !s.holds(now, g) {
		s.emit(ReturnToEntry{e.Call.ID, e.Group, snipeford.CauseNotHome, snipeford.NotRun, 0})
		return
	}
	d := g.dispatcher
	if d.usable() == 0 {
		s.emit(ReturnToEntry{e.Call.ID, e.Group, snipeford.CauseNoUpstream, snipeford.NotRun, comeBackSoon})
		return
	}
	w := s.waiting(now, e.Call)
	d.arriving[w.Band()] += w.Prompt
	w.LowUsage = d.favoured(now, w)
	if late := g.late(now, w); late > 0 {
		s.emit(ReturnToEntry{e.Call.ID, e.Group, snipeford.CauseOverload, snipeford.NotRun, late})
		return
	}
	s.accept(g, e.Call)
	d.queue.Push(w)
	s.dispatch(now, g)
}

func (s *State) waiting(now snipeford.Instant, c snipeford.Call) *snipeford.QueuedCall {
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

// late returns by how much the call's wait would exceed what it may wait, or
// zero. The wait is that of the band's backlog at the pace at which the band
// was served lately, with a margin for what is not known yet.
func (g *group) late(now snipeford.Instant, w *snipeford.QueuedCall) time.Duration {
	d := g.dispatcher
	pace := d.pace[w.Band()]
	if d.pressed[w.Band()] < leastPressed {
		// What was served lately is what came, not what could be served.
		pace = max(pace, g.summarize(now).PrefillRate)
	}
	ahead := d.queue.WorkAhead(w)
	if ahead == 0 || pace <= 0 {
		return 0
	}
	wait := time.Duration(float64(ahead+w.Work()) / float64(pace) * float64(time.Second))
	return max(0, waitMargin*wait-w.QueueDeadline.Sub(now))
}

// leastPressed is for how many seconds a band has to have waited before its
// pace says what the group can do.
const leastPressed = 3

// waitMargin is by how much a wait is taken to be longer than estimated.
const waitMargin = 3

// withdrawn drops a call that nobody waits for any more.
func (s *State) withdrawn(id snipeford.CallID) {
	g := s.homed[id]
	if g != nil && g.dispatcher.queue.Remove(id) != nil {
		s.forget(g, id)
	}
	s.emit(Cancel{id})
}

// expire sends back the calls that waited too long.
func (s *State) expire(now snipeford.Instant, g *group) {
	for _, w := range g.dispatcher.queue.PopExpired(now) {
		s.forget(g, w.ID)
		s.emit(ReturnToEntry{w.ID, g.name, snipeford.CauseDeadline, outcomeOf(w), comeBackSoon})
	}
}

// outcomeOf says whether any upstream was sent a call that waits.
func outcomeOf(w *snipeford.QueuedCall) snipeford.Outcome {
	if w.Attempts > 0 {
		return snipeford.Unknown
	}
	return snipeford.NotRun
}
