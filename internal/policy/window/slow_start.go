// Package window bounds what a home sends to one upstream. An upstream that
// has just started bears little; the window grows by what it has borne and
// falls back when the incarnation changes, when it reports that it is cold, or
// when its latency jumps.
package window

import (
	"time"

	"snipeford"
)

// Sizes of a window, in requests.
const (
	ColdSize = 1
	WarmSize = 48
)

// Growth and fallback of a window.
const (
	// growEvery is how many successes at the current size double the window.
	growEvery = 2
	// jump is the ratio of observed to expected latency that counts as cold.
	jump = 6
	// jumpsInRow is how many such answers in a row make the window fall back.
	jumpsInRow = 3
	// failuresInRow is how many failures in a row make the window fall back.
	failuresInRow = 2
	// distrust is how long after a fallback reports that say warm are taken for
	// older than it.
	distrust = 2 * time.Second
)

// New returns a window for an upstream that nothing is known of.
func New() snipeford.Window { return &slowStart{size: ColdSize, state: snipeford.StateCold} }

type slowStart struct {
	size        int
	state       snipeford.UpstreamState
	incarnation snipeford.Incarnation
	reportsCold bool
	successes   int
	slow        int
	failures    int
	fell        snipeford.Instant
	hasFallen   bool
}

func (s *slowStart) Limit() int { return s.size }

func (s *slowStart) State() snipeford.UpstreamState { return s.state }

func (s *slowStart) LoadReported(l snipeford.LoadReport, now snipeford.Instant) {
	if l.Incarnation != s.incarnation {
		s.incarnation = l.Incarnation
		s.fallBack(now)
		s.hasFallen = false
	}
	if l.Cold && !s.reportsCold {
		s.fallBack(now)
	}
	if !l.Cold && s.hasFallen && now.Sub(s.fell) < distrust {
		return
	}
	s.reportsCold = l.Cold
	if !l.Cold && s.state == snipeford.StateCold {
		s.state = snipeford.StateWarming
		s.size = max(s.size, 2)
	}
}

func (s *slowStart) Succeeded(now snipeford.Instant, firstToken, expected time.Duration) {
	s.failures = 0
	if s.state == snipeford.StateWarm && expected > 0 && firstToken > jump*expected+time.Second {
		s.slow++
		if s.slow >= jumpsInRow {
			s.fallBack(now)
		}
		return
	}
	s.slow = 0
	if s.state != snipeford.StateWarming {
		return
	}
	s.successes++
	if s.successes < growEvery {
		return
	}
	s.successes = 0
	s.size = min(2*s.size, WarmSize)
	if s.size == WarmSize {
		s.state = snipeford.StateWarm
	}
}

func (s *slowStart) Failed(now snipeford.Instant) {
	s.failures++
	if s.failures >= failuresInRow {
		s.fallBack(now)
	}
}

func (s *slowStart) Rejected(now snipeford.Instant) { s.fallBack(now) }

// fallBack makes the window cold. It grows again only after a report that
// says the upstream is warm.
func (s *slowStart) fallBack(now snipeford.Instant) {
	s.fell, s.hasFallen = now, true
	s.size = ColdSize
	s.state = snipeford.StateCold
	s.reportsCold = true
	s.successes, s.slow, s.failures = 0, 0, 0
}
