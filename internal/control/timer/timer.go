// Package timer provides clocks, ticks and watchdogs. The serving code reads the
// system clock only through it.
package timer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"snipeford"
)

// Clock returns monotonic instants and periodic ticks. Its zero value is ready
// to use. The instants of Now count from the first use.
type Clock struct {
	// Boot replaces the clock of SinceBoot, for tests in virtual time. Nil means the
	// system's.
	Boot func() snipeford.Instant

	once  sync.Once
	start time.Time
}

func (c *Clock) initStart() { c.once.Do(func() { c.start = time.Now() }) }

// Now returns the current monotonic instant, which stands still while the VM is
// suspended.
func (c *Clock) Now() snipeford.Instant {
	c.initStart()
	return snipeford.Instant(time.Since(c.start))
}

// SinceBoot returns the time since the VM booted, including time in which it was
// suspended. Ages that must not be underestimated are measured with it, because
// Now stands still while the VM is suspended.
func (c *Clock) SinceBoot() snipeford.Instant {
	if c.Boot != nil {
		return c.Boot()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has no CLOCK_BOOTTIME. Now leaves out suspended time, and its
		// origin differs.
		return c.Now()
	}
	return snipeford.Instant(t.Nano())
}

// Wall returns the wall-clock time in UTC, such as for timestamps that people
// read.
func (c *Clock) Wall() time.Time { return time.Now().UTC() }

// Deadline returns the time after d for I/O deadlines. It carries a monotonic
// reading, so that a step of the wall clock does not move it.
func (c *Clock) Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// Every returns a channel that receives the current instant every d until ctx
// ends. A slow receiver misses ticks.
func (c *Clock) Every(ctx context.Context, d time.Duration) <-chan snipeford.Instant {
	ticks := make(chan snipeford.Instant, 1)
	ticker := time.NewTicker(d)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.sendTick(ticks)
			}
		}
	}()
	return ticks
}

func (c *Clock) sendTick(ticks chan<- snipeford.Instant) {
	select {
	case ticks <- c.Now():
	default:
	}
}

// Sleep waits for d. It returns false if ctx ended first.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Watchdog calls its expired function when Reset has not been called for the
// timeout.
type Watchdog struct {
	timer   *time.Timer
	timeout time.Duration
}

// StartWatchdog starts a watchdog that calls expired in its own goroutine.
func (c *Clock) StartWatchdog(timeout time.Duration, expired func()) *Watchdog {
	return &Watchdog{time.AfterFunc(timeout, expired), timeout}
}

// Reset restarts the timeout.
func (w *Watchdog) Reset() { w.timer.Reset(w.timeout) }

// Stop stops the watchdog.
func (w *Watchdog) Stop() { w.timer.Stop() }
