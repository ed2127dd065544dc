// Package window limits the concurrent requests to one upstream. An upstream that
// has just started has little capacity, so the window starts small and doubles
// with successes. It is reset when the upstream's incarnation changes, when the
// upstream reports that it is cold or rejects a request, or after slow responses or
// failures in a row.
package window

import (
	"time"

	"snipeford"
)

// Window sizes in requests.
const (
	ColdSize = 1
	WarmSize = 48
)

// Growth and reset of a window.
const (
	// successesToDouble is the number of successes at the current size after
	// which the window doubles.
	successesToDouble = 2
	// slowLatencyRatio is the ratio of observed to expected latency above which,
	// with one second on top, a response is slow.
	slowLatencyRatio = 6
	// slowResponsesToReset is the number of slow responses in a row that reset the
	// window.
	slowResponsesToReset = 3
	// failuresToReset is the number of failures in a row that reset the window.
	failuresToReset = 2
	// staleReportPeriod is the time after a reset for which a warm report is
	// ignored, as it may have been made before the reset.
	staleReportPeriod = 2 * time.Second
)

// New returns a cold window.
func New() snipeford.Window { return &slowStart{size: ColdSize, state: snipeford.StateCold} }

type slowStart struct {
	size          int
	state         snipeford.UpstreamState
	incarnation   snipeford.Incarnation
	reportsCold   bool
	successes     int
	slowResponses int
	failures      int
	resetAt       snipeford.Instant
	wasReset      bool
}

func (s *slowStart) Limit() int { return s.size }

func (s *slowStart) State() snipeford.UpstreamState { return s.state }

func (s *slowStart) LoadReported(l snipeford.LoadReport, now snipeford.Instant) {
	if l.Incarnation != s.incarnation {
		s.incarnation = l.Incarnation
		s.reset(now)
		s.wasReset = false
	}
	if l.Cold && !s.reportsCold {
		s.reset(now)
	}
	if !l.Cold && s.wasReset && now.Sub(s.resetAt) < staleReportPeriod {
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
	if s.state == snipeford.StateWarm && expected > 0 && firstToken > slowLatencyRatio*expected+time.Second {
		s.slowResponses++
		if s.slowResponses >= slowResponsesToReset {
			s.reset(now)
		}
		return
	}
	s.slowResponses = 0
	if s.state != snipeford.StateWarming {
		return
	}
	s.successes++
	if s.successes < successesToDouble {
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
	if s.failures >= failuresToReset {
		s.reset(now)
	}
}

func (s *slowStart) Rejected(now snipeford.Instant) { s.reset(now) }

// reset makes the window cold. It grows again only after a report that the
// upstream is warm.
func (s *slowStart) reset(now snipeford.Instant) {
	s.resetAt, s.wasReset = now, true
	s.size = ColdSize
	s.state = snipeford.StateCold
	s.reportsCold = true
	s.successes, s.slowResponses, s.failures = 0, 0, 0
}
