package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/window"
)

// replica is one upstream with what its home knows of it.
type replica struct {
	snipeford.Replica
	upstream    snipeford.Upstream
	window      snipeford.Window
	incarnation snipeford.Incarnation
	// foreign counts requests that an earlier home dispatched.
	foreign int
	own     int
	// failures counts failed attempts in a row; they pause the replica.
	failures    int
	pausedUntil snipeford.Instant
	// longs counts longer prompts before their first token, and longWork is
	// the estimate of their remaining prompt work as of worked.
	longs    int
	longWork float64
	worked   snipeford.Instant
}

func newReplica(u snipeford.Upstream) *replica {
	r := &replica{upstream: u, window: window.New()}
	r.ID = u.ID
	r.Memory = u.Memory
	r.PrefillRate = firstRate
	return r
}

// refresh brings the estimates that the policies see up to date.
func (r *replica) refresh(now snipeford.Instant) {
	elapsed := now.Sub(r.worked).Seconds()
	r.worked = now
	r.longWork = max(float64(r.longs), r.longWork-elapsed*float64(r.PrefillRate))
	if r.longs == 0 {
		r.longWork = 0
	}
	r.PrefillBacklog = snipeford.Tokens(r.longWork) + r.ShortPrefillBacklog
	r.Running = r.own + r.foreign
	r.Window = r.window.Limit()
	r.Cold = r.window.State() == snipeford.StateCold
	if now < r.pausedUntil {
		r.Window = 0
	}
}

// take counts a dispatched call at a replica.
func (r *replica) take(memory snipeford.Tokens) {
	r.own++
	r.Committed += memory
	r.Running = r.own + r.foreign
}

// prefilling counts a call's prompt work as begun.
func (r *replica) prefilling(w *snipeford.QueuedCall, prompt snipeford.Tokens) {
	if w.Band() == snipeford.BandShort {
		r.ShortPrefillBacklog += prompt
	} else {
		r.longs++
		r.longWork += float64(prompt)
	}
	r.PrefillBacklog += prompt
}

// prefilled counts a call's prompt work as done.
func (r *replica) prefilled(w *snipeford.QueuedCall, prompt snipeford.Tokens) {
	if w.Band() == snipeford.BandShort {
		r.ShortPrefillBacklog -= prompt
		return
	}
	r.longs--
}

// Pauses of a replica after failed attempts, doubled by each in a row.
const (
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
)

// pause keeps new work from a replica whose attempt failed.
func (r *replica) pause(now snipeford.Instant) {
	r.pausedUntil = now.Add(min(firstPause<<min(r.failures, 10), longestPause))
	r.failures++
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
			g.dispatcher.report(now, r, l)
		}
	}
	s.dispatch(now, g)
}

func (d *dispatcher) report(now snipeford.Instant, r *replica, l snipeford.LoadReport) {
	if l.Incarnation != r.incarnation {
		d.affinity.RemoveReplica(r.ID)
		if r.incarnation == "" {
			r.foreign = l.Running + l.Waiting
		} else {
			r.foreign = 0
		}
		r.incarnation = l.Incarnation
	}
	r.foreign = min(r.foreign, l.Running+l.Waiting)
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
