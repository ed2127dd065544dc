package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/window"
)

// replica is an upstream as its group's home sees it.
type replica struct {
	snipeford.Replica
	upstream    snipeford.Upstream
	window      snipeford.Window
	incarnation snipeford.Incarnation
	// inheritedRunning counts the running requests that an earlier home
	// dispatched, and ownRunning those of this home.
	inheritedRunning int
	ownRunning       int
	// consecutiveFailures counts failed attempts in a row; each one pauses the
	// replica.
	consecutiveFailures int
	pausedUntil         snipeford.Instant
	// nonShortPrefills counts the prompts above the short band that have no first
	// token yet, and nonShortPrefillTokens estimates their remaining prompt work as
	// of refreshedAt.
	nonShortPrefills      int
	nonShortPrefillTokens float64
	refreshedAt           snipeford.Instant
}

func newReplica(u snipeford.Upstream) *replica {
	r := &replica{upstream: u, window: window.New()}
	r.ID = u.ID
	r.Memory = u.Memory
	r.PrefillRate = initialPrefillRate
	return r
}

// refresh updates the estimates that the policies read.
func (r *replica) refresh(now snipeford.Instant) {
	elapsed := now.Sub(r.refreshedAt).Seconds()
	r.refreshedAt = now
	r.nonShortPrefillTokens = max(float64(r.nonShortPrefills), r.nonShortPrefillTokens-elapsed*float64(r.PrefillRate))
	if r.nonShortPrefills == 0 {
		r.nonShortPrefillTokens = 0
	}
	r.PrefillBacklog = snipeford.Tokens(r.nonShortPrefillTokens) + r.ShortPrefillBacklog
	r.Running = r.ownRunning + r.inheritedRunning
	r.Window = r.window.Limit()
	r.Cold = r.window.State() == snipeford.StateCold
	if now < r.pausedUntil {
		r.Window = 0
	}
}

// addCall adds a dispatched call to the replica's accounting.
func (r *replica) addCall(memory snipeford.Tokens) {
	r.ownRunning++
	r.Committed += memory
	r.Running = r.ownRunning + r.inheritedRunning
}

// startPrefill adds a call's prompt work to the replica's prefill backlog.
func (r *replica) startPrefill(q *snipeford.QueuedCall, prompt snipeford.Tokens) {
	if q.Band() == snipeford.BandShort {
		r.ShortPrefillBacklog += prompt
	} else {
		r.nonShortPrefills++
		r.nonShortPrefillTokens += float64(prompt)
	}
	r.PrefillBacklog += prompt
}

// endPrefill ends a call's prompt work in the replica's accounting. For prompts
// above the short band refresh lowers the estimate of the backlog.
func (r *replica) endPrefill(q *snipeford.QueuedCall, prompt snipeford.Tokens) {
	if q.Band() == snipeford.BandShort {
		r.ShortPrefillBacklog -= prompt
		return
	}
	r.nonShortPrefills--
}

// Bounds of the pause of a replica after a failed attempt, which doubles with
// each failure in a row.
const (
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
)

// pause keeps new calls from a replica after a failed attempt.
func (r *replica) pause(now snipeford.Instant) {
	r.pausedUntil = now.Add(min(minPause<<min(r.consecutiveFailures, 10), maxPause))
	r.consecutiveFailures++
}

func (s *State) loadReported(now snipeford.Instant, l snipeford.LoadReport) {
	u, ok := s.upstreams[l.Upstream]
	if !ok {
		return
	}
	g := s.groups[groupOf(u)]
	if g == nil || g.dispatcher == nil {
		return
	}
	for _, r := range g.dispatcher.replicas {
		if r.ID == l.Upstream {
			g.dispatcher.recordLoad(now, r, l)
		}
	}
	s.dispatch(now, g)
}

// recordLoad applies a load report. A new incarnation has lost its prefix
// cache. On the first report the upstream's requests count as inherited from an
// earlier home.
func (d *dispatcher) recordLoad(now snipeford.Instant, r *replica, l snipeford.LoadReport) {
	if l.Incarnation != r.incarnation {
		d.affinity.RemoveReplica(r.ID)
		if r.incarnation == "" {
			r.inheritedRunning = l.Running + l.Waiting
		} else {
			r.inheritedRunning = 0
		}
		r.incarnation = l.Incarnation
	}
	r.inheritedRunning = min(r.inheritedRunning, l.Running+l.Waiting)
	if l.MemorySize > 0 {
		r.Memory = l.MemorySize
	}
	r.window.LoadReported(l, now)
}

func (s *State) cacheEvicted(e CacheEvicted) {
	u, ok := s.upstreams[e.Upstream]
	if !ok {
		return
	}
	if g := s.groups[groupOf(u)]; g != nil && g.dispatcher != nil {
		g.dispatcher.affinity.RemoveBlock(e.BlockHash, e.Upstream)
	}
}
