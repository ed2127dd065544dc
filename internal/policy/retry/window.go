package retry

import (
	"time"

	"snipeford"
)

// WindowBudget limits the retries to a service in any time window of Length to
// Ratio of the service's requests plus Slack, summed over all nodes. Each node
// uses SlackShare of the slack. The zero value allows no retries. The window is
// counted in slots; latest is the index of the newest slot since instant 0.
type WindowBudget struct {
	Length     time.Duration
	Ratio      float64
	Slack      float64
	SlackShare float64
	latest     int64
	slots      [windowSlots]slot
}

type slot struct{ requests, retries float64 }

const (
	// windowSlots is the number of slots in a window.
	windowSlots = 10
	// safetyFactor is the part of the limit that a node uses. It is below 1 as
	// the windows of different nodes start at different instants.
	safetyFactor = 0.7
)

// RecordRequest records a request from a caller.
func (b *WindowBudget) RecordRequest(now snipeford.Instant) { b.slotAt(now).requests++ }

// Take takes one retry from the budget and reports whether the budget had one.
func (b *WindowBudget) Take(now snipeford.Instant) bool {
	current := b.slotAt(now)
	requests, retries := 0.0, 0.0
	for _, s := range b.slots {
		requests += s.requests
		retries += s.retries
	}
	if retries+1 > safetyFactor*(b.Ratio*requests+b.Slack*b.SlackShare) {
		return false
	}
	current.retries++
	return true
}

// slotAt returns the slot of the instant and clears the slots that have left the
// window.
func (b *WindowBudget) slotAt(now snipeford.Instant) *slot {
	width := int64(max(b.Length/windowSlots, 1))
	index := int64(now) / width
	if index-b.latest > windowSlots {
		b.slots = [windowSlots]slot{}
		b.latest = index
	}
	for ; b.latest < index; b.latest++ {
		b.slots[(b.latest+1)%windowSlots] = slot{}
	}
	return &b.slots[index%windowSlots]
}
