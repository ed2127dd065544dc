package placement

import (
	"time"

	"snipeford"
)

// maxPrecedence limits by how much more a delay of a more urgent request counts. Beyond
// it, a few urgent streams on each engine would keep long prompts from all of them; with 2
// or 3, urgent streams beside a flood of long prompts were late too often.
const maxPrecedence = 4

// precedence returns the weight of a delay of a job: 1 unless the job is more urgent than
// the request that is being placed. Usage counts only under scarcity.
func (s *State) precedence(j *job) float64 {
	u := s.placing
	if u.priority == unweighted {
		return 1
	}
	more := max(0, u.priority-j.req.Priority)
	if len(s.queued) > 0 && j.req.Priority == u.priority {
		more = max(0, u.level-j.level)
	}
	return float64(min(1+more, maxPrecedence))
}

// unweighted is the priority of a request that delays all others alike.
const unweighted = -1

// engineTurnTime is how often an engine takes an aged long prompt without regard to the
// weight of more urgent streams: less often than every other time that one could be placed.
const engineTurnTime = 4 * time.Second

// longTurn reports whether it is the turn of an aged long prompt. The engines take turns.
// Those of heavy organisations get none: their usage decays, and with it their level.
func (s *State) longTurn(now snipeford.Instant, q *queued) bool {
	interval := engineTurnTime / time.Duration(max(len(s.candidates), 1))
	return !q.short() && q.urgency.level == 0 && q.aged(now) && now.Sub(s.longTurnAt) >= interval
}

// delaying returns the urgency that counts for the delays that a request causes.
func (s *State) delaying(now snipeford.Instant, q *queued) urgency {
	if s.hasTurn(q) || s.longTurn(now, q) {
		return urgency{priority: unweighted}
	}
	return q.urgency
}
