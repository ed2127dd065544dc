package retry

import (
	"time"

	"snipeford"
)

// WindowBudget bounds the repeats to a service in any span of Length: Ratio of the
// requests for it, and Slack. Each of several nodes keeps to its Share of the
// slack, so that the sum over all nodes keeps to the bound. Its zero value
// allows nothing.
type WindowBudget struct {
	Length     time.Duration
	Ratio      float64
	Slack      float64
	SlackShare float64
	first      int64
	slots      [windowSlots]slot
}

type slot struct{ offered, repeated float64 }

const (
	// windowSlots is how finely a window is counted.
	windowSlots = 10
	// windowUse is the part of the bound that is used: other nodes' windows
	// begin at other instants.
	windowUse = 0.7
)

// RecordRequest counts one request that a caller sent.
func (w *WindowBudget) RecordRequest(now snipeford.Instant) { w.at(now).offered++ }

// Take allows one repeat now, or not.
func (w *WindowBudget) Take(now snipeford.Instant) bool {
	current := w.at(now)
	offered, repeated := 0.0, 0.0
	for _, s := range w.slots {
		offered += s.offered
		repeated += s.repeated
	}
	if repeated+1 > windowUse*(w.Ratio*offered+w.Slack*w.SlackShare) {
		return false
	}
	current.repeated++
	return true
}

// at returns the slot of the instant and clears those that have passed.
func (w *WindowBudget) at(now snipeford.Instant) *slot {
	width := int64(max(w.Length/windowSlots, 1))
	index := int64(now) / width
	if index-w.first > windowSlots {
		w.slots = [windowSlots]slot{}
		w.first = index
	}
	for ; w.first < index; w.first++ {
		w.slots[(w.first+1)%windowSlots] = slot{}
	}
	return &w.slots[index%windowSlots]
}
