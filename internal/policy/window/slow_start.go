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
)

// New returns a window for an upstream that nothing is known of.
func New() snipeford.Window { return &slowStart{size: ColdSize, state: snipeford.StateCold} }

type slowStart struct {
	size        int
	state       snipeford.WindowState
	incarnation snipeford.Incarnation
	reported    bool
	reportsCold bool
	successes   int
	slow        int
	failures    int
}

func (s *slowStart) Limit() int { return s.size }

func (s *slowStart) State() snipeford.WindowState { return s.state }

func (s *slowStart) Reported(l snipeford.Load, _ snipeford.Instant) {
	if l.Incarnation != s.incarnation {
		s.incarnation = l.Incarnation
		s.fallBack()
	}
	s.reported = true
	if l.Cold && !s.reportsCold {
		s.fallBack()
	}
	s.reportsCold = l.Cold
	if !l.Cold && s.state == snipeford.StateCold {
		s.state = snipeford.StateWarming
		s.size = max(s.size, 2)
	}
}

func (s *slowStart) Succeeded(_ snipeford.Instant, firstToken, expected time.Duration) {
	s.failures = 0
	if s.state == snipeford.StateWarm && expected > 0 && firstToken > jump*expected+time.Second {
		s.slow++
		if s.slow >= jumpsInRow {
			s.fallBack()
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

func (s *slowStart) Failed(snipeford.Instant) {
	s.failures++
	if s.failures >= failuresInRow {
		s.fallBack()
	}
}

// fallBack makes the window cold. It grows again only after a report that
// says the upstream is warm.
func (s *slowStart) fallBack() {
	s.size = ColdSize
	s.state = snipeford.StateCold
	s.reportsCold = true
	s.successes, s.slow, s.failures = 0, 0, 0
}
