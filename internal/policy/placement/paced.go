package placement

import (
	"maps"
	"time"

	"snipeford"
	"snipeford/internal/policy/pace"
)

const (
	// slowFirstEventFactor is the multiple of the predicted time that a first event may take
	// beyond overdueGraceMs before it is slow. Predictions of idle engines err by less.
	slowFirstEventFactor = 2
	// minColdExtension is by how much the end of an upstream's cold period must move for it
	// to have turned cold again. The time that its rows take to arrive varies by less.
	minColdExtension = 500 * time.Millisecond
	// streamsPerAwaited is the number of requests in flight at an engine for each one that
	// awaits its first event. A stream lasts several times as long as the wait for its first
	// event, and the pace is to follow the first events.
	streamsPerAwaited = 4
	// substituteInFlight is the number of requests that a node which stands in for the home
	// has in flight at an engine with a pace.
	substituteInFlight = 1
)

// pacing holds the paces of the upstreams of a service, and what tells that one of them has
// started or turned cold.
type pacing struct {
	keeper  pace.Keeper
	origins map[snipeford.UpstreamID]PacedUpstream
}

// PacedUpstream is an upstream that may be given a pace.
type PacedUpstream struct {
	ID          snipeford.UpstreamID
	Incarnation snipeford.Incarnation
	ColdUntil   snipeford.Instant
	Capacity    pace.Capacity
}

// UpdatePaces gives a pace to the upstreams that have started or turned cold since the last
// call, and forgets those that are not in the list. An upstream that is not known yet has
// started only if it is cold: rows of live upstreams expire in outages of the store.
func (s *State) UpdatePaces(now snipeford.Instant, list []PacedUpstream) {
	p := &s.pacing
	if p.origins == nil {
		p.origins = make(map[snipeford.UpstreamID]PacedUpstream, len(list))
	}
	for _, u := range list {
		before, known := p.origins[u.ID]
		restarted := known && before.Incarnation != u.Incarnation
		turnedCold := u.ColdUntil > now && u.ColdUntil.Sub(before.ColdUntil) > minColdExtension
		if restarted || turnedCold {
			p.keeper.Start(now, u.ID, u.Capacity, u.ColdUntil)
		}
		p.origins[u.ID] = u
	}
	if len(p.origins) == len(list) {
		return
	}
	listed := make(map[snipeford.UpstreamID]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
	}
	maps.DeleteFunc(p.origins, func(id snipeford.UpstreamID, _ PacedUpstream) bool { return !listed[id] })
	p.keeper.Retain(func(id snipeford.UpstreamID) bool { return listed[id] })
}

// PaceChanges returns the changes of paces since the last call.
func (s *State) PaceChanges() []pace.Change { return s.pacing.keeper.TakeChanges() }

// Paced returns the upstreams with a pace, sorted.
func (s *State) Paced() []snipeford.UpstreamID { return s.pacing.keeper.Paced() }

// PaceCount returns the number of upstreams with a pace.
func (s *State) PaceCount() int { return s.pacing.keeper.Len() }

// PaceOf returns how many requests an upstream may have in flight, and false if it has no
// pace.
func (s *State) PaceOf(id snipeford.UpstreamID) (float64, bool) { return s.pacing.keeper.Level(id) }

// Limited reports whether an upstream has stated a request limit.
func (s *State) Limited(id snipeford.UpstreamID) bool { return s.isLimited(id) }

// StatedPaces returns the paces to report to a new home.
func (s *State) StatedPaces(now snipeford.Instant) []pace.Stated { return s.pacing.keeper.Stated(now) }

// MergePace adopts a pace that another node has reported.
func (s *State) MergePace(now snipeford.Instant, stated pace.Stated) {
	if u, listed := s.pacing.origins[stated.Upstream]; listed {
		s.pacing.keeper.Merge(now, stated, u.Capacity)
	}
}

// AdoptPace records the pace that the home has stated with a placement.
func (s *State) AdoptPace(now snipeford.Instant, id snipeford.UpstreamID, inFlight float64) {
	if u, listed := s.pacing.origins[id]; listed {
		s.pacing.keeper.Adopt(now, id, inFlight, u.Capacity)
	}
}

// EndQuietPaces ends the paces that the load does not need.
func (s *State) EndQuietPaces(now snipeford.Instant) { s.pacing.keeper.Tick(now) }

// ReportAttempt records how an upstream without an engine has responded to a request. The
// first failure gives it a pace.
func (s *State) ReportAttempt(now, sentAt snipeford.Instant, id snipeford.UpstreamID, result snipeford.AttemptResult) {
	u, listed := s.pacing.origins[id]
	if !listed {
		return
	}
	k := &s.pacing.keeper
	inFlight := max(1, k.InFlight(now, id))
	k.Returned(id)
	switch result {
	case snipeford.AttemptTimely:
		k.Timely(now, sentAt, id, inFlight, "")
	case snipeford.AttemptSlow:
		k.Slow(now, sentAt, id, "")
	case snipeford.AttemptFailed:
		k.Failed(now, sentAt, id, u.Capacity, "")
	case snipeford.AttemptRefused:
		k.Refused(now, sentAt, id, u.Capacity, "")
	}
}

func (p *pacing) waitForPermit(now snipeford.Instant, id snipeford.UpstreamID) time.Duration {
	return p.keeper.Wait(now, id, p.keeper.InFlight(now, id))
}

func (p *pacing) permitted(now snipeford.Instant, id snipeford.UpstreamID) {
	p.keeper.Sent(now, id)
	p.keeper.Permitted(now, id)
}

// SubstitutePermit permits a request to an upstream without an engine in place of the home,
// at the floor of its pace: the requests of the other nodes are not known.
func (s *State) SubstitutePermit(now snipeford.Instant, id snipeford.UpstreamID) (wait time.Duration) {
	if wait = s.pacing.waitForPermit(now, id); wait > 0 {
		return wait
	}
	if n := s.pacing.keeper.InFlight(now, id); n >= pace.Floor {
		return substituteWait
	}
	s.pacing.permitted(now, id)
	return 0
}

// substituteWait is the time after which a permit may be asked for again at a node that
// stands in for the home, about that of a response of a plain service.
const substituteWait = 100 * time.Millisecond

// paceReached reports whether the pace of an engine allows no further request now. A node
// that stands in for the home does not know the requests of the other nodes: it uses engines
// with a pace at their floor, and only if all have one.
func (s *State) paceReached(now snipeford.Instant, req snipeford.PlacementRequest, r *replica) bool {
	if s.pacing.keeper.Len() == 0 {
		return false
	}
	if _, paced := s.pacing.keeper.Level(r.id); !paced {
		return false
	}
	if req.Substitute && (len(r.jobs) >= substituteInFlight || s.pacing.keeper.Len() < len(s.candidates)) {
		return true
	}
	return s.pacing.keeper.Wait(now, r.id, max(len(r.jobs), streamsPerAwaited*r.awaited()+streamsPerAwaited-1)) > 0
}

// awaited returns the number of jobs without a first event.
func (r *replica) awaited() int {
	n := 0
	for _, j := range r.jobs {
		if j.stage == stagePrefill {
			n++
		}
	}
	return n
}

// EngineCapacity returns the normal capacity of an engine, for its pace.
func EngineCapacity(slots int, coldPerSecond float64) pace.Capacity {
	least := min(streamsPerAwaited, max(slots, 1))
	return pace.Capacity{InFlight: float64(max(slots, least)), ColdPerSecond: coldPerSecond, LeastInFlight: float64(least)}
}

// paceSent counts a request that is sent to an engine, and returns its pace, or zero.
func (s *State) paceSent(now snipeford.Instant, id snipeford.UpstreamID) float64 {
	s.pacing.keeper.Sent(now, id)
	level, _ := s.pacing.keeper.Level(id)
	return level
}

// paceFirstEvent compares the time of a first event with its prediction.
func (s *State) paceFirstEvent(now snipeford.Instant, j *job) {
	if s.pacing.keeper.Len() == 0 || j.placement.ExpectedFirstEvent <= 0 {
		return
	}
	id, observed := j.placement.Upstream, ms(now.Sub(j.start))
	if observed > slowFirstEventFactor*ms(j.placement.ExpectedFirstEvent)+overdueGraceMs {
		s.pacing.keeper.Slow(now, j.start, id, j.req.RequestID)
		return
	}
	r := s.replica(id)
	s.pacing.keeper.Timely(now, j.start, id, max(len(r.jobs), streamsPerAwaited*r.awaited()), j.req.RequestID)
}

// paceFailure records the failure of a job on one of its engines. One that has said for how
// long it wants no requests needs no pace after that.
func (s *State) paceFailure(now snipeford.Instant, r *replica, j *job) {
	if s.pauses.Left(now, j.req.EntryNode, r.id) > 0 {
		return
	}
	if u, listed := s.pacing.origins[r.id]; listed {
		s.pacing.keeper.Failed(now, j.start, r.id, u.Capacity, j.req.RequestID)
	}
}

// pacedShare returns the share of its normal capacity that an engine may be given.
func (s *State) pacedShare(id snipeford.UpstreamID) float64 {
	level, paced := s.pacing.keeper.Level(id)
	if !paced {
		return 1
	}
	return min(1, level/float64(max(s.profile.Slots, 1)))
}
