// Package timeslice divides long computations into slices, between which other goroutines run.
// It does no I/O and reads no clock.
package timeslice

import (
	"time"

	"snipeford"
)

const (
	// SliceTime is the time after which a slice ends. Streams may wait 2 ms for one, and the
	// largest part between two yields, an entry with some ten thousand bytes, takes 1 ms.
	SliceTime = 1 * time.Millisecond
	// MinPause is the shortest pause. The Go runtime polls the network only once no
	// goroutine can run, so that runtime.Gosched would leave received data waiting.
	MinPause = 100 * time.Microsecond
	// shareFraction is the part of the VM's share of a core that a paced computation takes.
	// The other half is left for requests: a VM that uses up its share is throttled for up
	// to a period of 100 ms.
	shareFraction = 0.5
)

// Slicer paces one computation, which calls Yield between its parts. Its time is that of
// Now: if the VM is throttled in a slice, the slice includes that time.
type Slicer struct {
	// Share is the fraction of a core that the VM has; zero means a whole core.
	Share float64
	// Within is the time from the start in which the computation should end. After it, and
	// if it is zero, the pauses are MinPause.
	Within time.Duration
	Now    func() snipeford.Instant
	Sleep  func(time.Duration)

	begun, slice snipeford.Instant
	busy         time.Duration
	longest      time.Duration
}

// Cost is the time that a computation took.
type Cost struct {
	// Took includes the pauses, which Busy does not.
	Took, Busy time.Duration
	// LongestSlice is the longest time without a pause.
	LongestSlice time.Duration
}

// Begin begins the computation.
func (s *Slicer) Begin() {
	s.begun = s.Now()
	s.slice, s.busy, s.longest = s.begun, 0, 0
}

// Yield pauses the computation if the slice is over.
func (s *Slicer) Yield() {
	now := s.Now()
	slice := now.Sub(s.slice)
	if slice < SliceTime {
		return
	}
	s.endSlice(slice)
	s.Sleep(Pause(s.Share, slice, s.Within-now.Sub(s.begun)))
	s.slice = s.Now()
}

func (s *Slicer) endSlice(slice time.Duration) {
	s.busy += slice
	s.longest = max(s.longest, slice)
}

// End ends the computation and returns its cost.
func (s *Slicer) End() Cost {
	now := s.Now()
	s.endSlice(now.Sub(s.slice))
	return Cost{Took: now.Sub(s.begun), Busy: s.busy, LongestSlice: s.longest}
}

// Pause returns the length of the pause after a slice. With the time that is left for the
// computation, slices take half of the VM's share of a core.
func Pause(share float64, slice, left time.Duration) time.Duration {
	if share <= 0 || share > 1 {
		share = 1
	}
	pause := time.Duration(float64(slice)/(share*shareFraction)) - slice
	return max(MinPause, min(pause, left))
}
