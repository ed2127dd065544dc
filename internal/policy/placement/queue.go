package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

const (
	// shortReading is the reading, in milliseconds, up to which a prompt is
	// placed at once.
	shortReading = 60
	// freeBacklog is the backlog, in milliseconds, up to which an engine takes
	// a part of a long prompt: what waits here can still be reordered.
	freeBacklog = 150
	// enoughFree is the share of the engines for long prompts from which waiting
	// for more of them is not worth its time.
	enoughFree = 0.6
	// leastShare is one over the share of the engines that is for long prompts
	// at least.
	leastShare = 3
	// spareSlots is how many slots an engine must have left for a short prompt
	// that will be late.
	spareSlots = 2
	// timely is the lateness below which a placement is taken at once.
	timely = 0.4
	// mostRisk is the chance that its caller leaves before the first event from
	// which a request rather waits: an engine may come free.
	mostRisk = 0.5
	// quietTime is how long nothing is tried after a turn that placed nothing.
	quietTime = 8 * time.Millisecond
	// looked is how many waiting requests are tried in one turn.
	looked = 4
	// passesToFirst is how many passes go by until a first event: on average
	// half of the running one, and the own one.
	passesToFirst = 1.5
	// usualSeconds is how long an answer takes to write, for the forecast of the
	// backlog.
	usualSeconds = 2.5
	// patienceShare is one over the share of its patience after which a refused
	// caller comes back at the latest; callers accept no later time.
	patienceShare = 3
	// leastLeft is the time that a first event needs at least; without it a
	// waiting request is refused.
	leastLeft = 300 * time.Millisecond
)

// waiting is a request without a place.
type waiting struct {
	ask snipeford.PlacementRequest
	at  snipeford.Instant
	// reading is the time to read its prompt on one engine, in milliseconds.
	reading float64
}

// left returns the request as of now: less time is left for everything.
func (w *waiting) left(now snipeford.Instant) snipeford.PlacementRequest {
	ask := w.ask
	ask.FirstEventTarget = max(0, ask.FirstEventTarget-now.Sub(w.at))
	ask.TimeLeft -= now.Sub(w.at)
	ask.FirstEventTimeout -= now.Sub(w.at)
	return ask
}

// Ask takes in a request and returns its placement, if it has one at once. A
// request that is not among the placements waits.
func (s *State) Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement {
	w := &waiting{ask: ask, at: now, reading: s.model.reading(ask.Prompt)}
	if s.hopeless(ask) {
		return []snipeford.Placement{s.refuse(ask)}
	}
	s.decay(now)
	s.arrange()
	if p, ok := s.place(now, w, ask); ok {
		return []snipeford.Placement{p}
	}
	s.waiting = append(s.waiting, w)
	return nil
}

// Next places waiting requests, and refuses those whose time is over. After a
// turn that placed nothing it does nothing for a while: weighing costs processor
// time, and what waits for a place seldom finds one in the next millisecond.
func (s *State) Next(now snipeford.Instant) []snipeford.Placement {
	if len(s.waiting) == 0 || now < s.nextAt {
		return nil
	}
	s.decay(now)
	s.arrange()
	s.sort(now)
	var out []snipeford.Placement
	tried := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiting) bool {
		ask := w.left(now)
		if s.hopeless(ask) {
			out = append(out, s.refuse(ask))
			return true
		}
		if tried >= looked {
			return false
		}
		p, ok := s.place(now, w, ask)
		if !ok {
			tried++
			return false
		}
		out = append(out, p)
		return true
	})
	if len(out) == 0 {
		s.nextAt = now.Add(quietTime)
	}
	return out
}

func (s *State) refuse(ask snipeford.PlacementRequest) snipeford.Placement {
	return snipeford.Placement{RequestID: ask.RequestID, EntryNode: ask.EntryNode, Refused: true, RetryAfter: s.returnAfter(ask)}
}

// hopeless reports whether a request is refused: nothing can serve it in its
// time, or its caller is about to leave.
func (s *State) hopeless(ask snipeford.PlacementRequest) bool {
	left := remaining(ask)
	if left < leastLeft || len(s.order) == 0 || s.model.PrefillRate <= 0 {
		return true
	}
	return s.model.reading(ask.Prompt)/float64(s.mostEngines(ask)) > ms(left)
}

// remaining returns how long the caller still waits for its first event.
func remaining(ask snipeford.PlacementRequest) time.Duration {
	return min(ask.TimeLeft, ask.FirstEventTimeout)
}

// mostEngines returns how many engines can read a prompt together at most.
func (s *State) mostEngines(ask snipeford.PlacementRequest) int {
	most := min(int(ask.Prompt/leastPart), 1+helperCounts[len(helperCounts)-1], len(s.order))
	if !s.model.SharedPrefill || ask.AvoidHelpers && s.fits(ask) {
		most = 1
	}
	return max(most, 1)
}

// returnAfter returns when a refused caller may come back: when the engines
// should have worked off what waits, and early enough for its own patience.
func (s *State) returnAfter(ask snipeford.PlacementRequest) time.Duration {
	perSecond := float64(max(len(s.order), 1)*max(s.model.Slots, 1)) / usualSeconds
	backlog := duration(1000 * float64(len(s.waiting)) / perSecond)
	return min(max(retryLater, 2*backlog), ask.TimeLeft/patienceShare)
}

// sort puts the requests first that can still be timely, by their deadline for
// that, then the others by the work that they are.
func (s *State) sort(now snipeford.Instant) {
	pass := s.usualPass()
	key := func(w *waiting) (float64, float64) {
		slack := ms(w.at.Add(w.ask.FirstEventTarget).Sub(now))
		engines := 1.0
		if w.reading > shortReading {
			engines = float64(max(1, len(s.order)-s.kept))
		}
		if callerHop+w.reading/engines+passesToFirst*pass > slack {
			return 1, w.reading
		}
		return 0, slack
	}
	slices.SortStableFunc(s.waiting, func(a, b *waiting) int {
		aLate, aKey := key(a)
		bLate, bKey := key(b)
		return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(aLate, bLate), cmp.Compare(aKey, bKey))
	})
}

// usualPass returns the mean time of an engine's pass without reading.
func (s *State) usualPass() float64 {
	sum := 0.0
	for _, r := range s.order {
		n, context := r.writers()
		sum += s.model.pass(n+1, context)
	}
	return sum / float64(max(len(s.order), 1))
}

// place decides about one waiting request.
func (s *State) place(now snipeford.Instant, w *waiting, ask snipeford.PlacementRequest) (snipeford.Placement, bool) {
	usable := s.usable(now, ask)
	short := w.reading <= shortReading
	giant := w.reading > giantReading
	engines := slices.DeleteFunc(slices.Clone(usable), func(r *replica) bool {
		return !s.free(now, r, short) || giant && r.rank < s.kept
	})
	p, loss, due := s.choose(now, ask, engines)
	if math.IsInf(loss, 1) {
		return snipeford.Placement{}, false
	}
	if lateness(due, ms(ask.FirstEventTarget)) > timely && !s.worthNow(now, usable, engines, short) {
		return snipeford.Placement{}, false
	}
	if lateness(due, ms(remaining(ask))) > mostRisk {
		return snipeford.Placement{}, false
	}
	if harm, gain := s.balance(ask, loss, due); harm > gain {
		return snipeford.Placement{}, false
	}
	p.ExpectedFirstEvent = duration(due)
	j := s.commit(now, ask, p)
	j.due = now.Add(p.ExpectedFirstEvent)
	return p, true
}

// balance returns what a placement costs the others, and what its own caller
// gains by it.
func (s *State) balance(ask snipeford.PlacementRequest, loss, due float64) (harm, gain float64) {
	w := weight(ask.Prompt)
	late := lateness(due, ms(ask.FirstEventTarget))
	return loss - s.own(ask, due), w * (lateWorth + (1-lateWorth)*(1-late))
}

// free reports whether an engine takes more of such requests now. What waits
// here can still be reordered; what waits in an engine can't.
func (s *State) free(now snipeford.Instant, r *replica, short bool) bool {
	if short {
		return len(r.jobs)+r.strangers(now) < s.model.Slots
	}
	all, _ := r.backlog(now)
	return all <= freeBacklog
}

// worthNow reports whether a request that will be late shall be placed all the
// same: it takes only what timely ones leave.
func (s *State) worthNow(now snipeford.Instant, usable, engines []*replica, short bool) bool {
	if !short {
		allowed := max(len(usable)-s.kept, len(usable)/leastShare)
		return float64(len(engines)) >= enoughFree*float64(allowed)
	}
	for _, r := range engines {
		if all, _ := r.backlog(now); len(r.jobs)+r.strangers(now) <= s.model.Slots-spareSlots && all <= freeBacklog {
			return true
		}
	}
	return false
}

// withdraw takes a request out of the queue.
func (s *State) withdraw(call snipeford.RequestID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiting) bool { return w.ask.RequestID == call })
}
