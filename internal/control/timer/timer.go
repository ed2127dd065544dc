// Package timer is the one place that reads the clock. Parts subscribe to it.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"snipeford"
)

// Clock hands out monotonic instants and ticks. Its zero value works; its
// instants count from the first use.
type Clock struct {
	once  sync.Once
	start time.Time
}

func (s *Clock) begin() { s.once.Do(func() { s.start = time.Now() }) }

// Now returns the monotonic instant.
func (s *Clock) Now() snipeford.Instant {
	s.begin()
	return snipeford.Instant(time.Since(s.start))
}

// SinceBoot returns the time since the machine started, time in suspension
// included. Ages that bound a promise are taken from it, as Now stands still
// while the machine is suspended.
func (s *Clock) SinceBoot() snipeford.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has no such clock: then it has no suspension that it counts.
		return s.Now()
	}
	return snipeford.Instant(t.Nano())
}

// Wall returns the wall-clock time, for people to read.
func (s *Clock) Wall() time.Time { return time.Now().UTC() }

// Every returns a channel that gets an instant every d until ctx ends. A slow
// subscriber misses ticks.
func (s *Clock) Every(ctx context.Context, d time.Duration) <-chan snipeford.Instant {
	ticks := make(chan snipeford.Instant, 1)
	ticker := time.NewTicker(d)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				s.offer(ticks)
			}
		}
	}()
	return ticks
}

func (s *Clock) offer(ticks chan<- snipeford.Instant) {
	select {
	case ticks <- s.Now():
	default:
	}
}

// Sleep waits for d and returns false where ctx ended first.
func (s *Clock) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Watchdog calls expired once Feed has not been called for the timeout.
type Watchdog struct {
	timer   *time.Timer
	timeout time.Duration
}

// StartWatchdog starts a watchdog.
func (s *Clock) StartWatchdog(timeout time.Duration, expired func()) *Watchdog {
	return &Watchdog{time.AfterFunc(timeout, expired), timeout}
}

// Reset notes a sign of life.
func (w *Watchdog) Reset() { w.timer.Reset(w.timeout) }

// Stop ends the watch.
func (w *Watchdog) Stop() { w.timer.Stop() }
