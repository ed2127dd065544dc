package placement

import (
	"math"
	"time"

	"snipeford"
)

const (
	// demandTime is the time constant of the arrivals of short prompts, as that of the long
	// ones in longLoad.
	demandTime = 2 * time.Second
	// spareTime is the time for whose arrivals slots are kept free. With 150, 300, 500 and
	// 800 ms, 0.77, 0.82, 0.87 and 0.90 of the responses of light organisations were timely
	// beside a flood of short prompts.
	spareTime = 800 * time.Millisecond
	// maxSpareDivisor limits the slots that are kept free: all slots divided by it.
	maxSpareDivisor = 8
	// demandLevels is the number of usage levels that are told apart.
	demandLevels = 4
)

// shortDemand is the rate of short prompts by priority and usage level. Under scarcity,
// some slots stay free for those that are more urgent than the queued ones: a prompt that
// has to wait for a slot of a busy engine is often late.
type shortDemand [maxPriority + 1][demandLevels]struct {
	perSecond float64
	at        snipeford.Instant
}

// cellOf returns the indexes of an urgency.
func cellOf(u urgency) (priority, level int) {
	return min(max(u.priority, 0), maxPriority), min(u.level, demandLevels-1)
}

func (d *shortDemand) record(now snipeford.Instant, u urgency) { d.recordPlaced(now, u, 0) }

// recordPlaced records a prompt that another home placed some time ago.
func (d *shortDemand) recordPlaced(now snipeford.Instant, u urgency, age time.Duration) {
	priority, level := cellOf(u)
	cell := &d[priority][level]
	cell.perSecond = cell.perSecond*decayFactor(now.Sub(cell.at), demandTime) + decayFactor(age, demandTime)/demandTime.Seconds()
	cell.at = now
}

// before returns the rate of the prompts that are more urgent.
func (d *shortDemand) before(now snipeford.Instant, u urgency) float64 {
	priority, level := cellOf(u)
	sum := 0.0
	for p := 0; p <= priority; p++ {
		for l := range d[p] {
			if p == priority && l >= level {
				break
			}
			if cell := &d[p][l]; cell.perSecond > 0 {
				sum += cell.perSecond * decayFactor(now.Sub(cell.at), demandTime)
			}
		}
	}
	return sum
}

// keepsSpareSlots reports whether a short prompt has to wait so that enough of the engines'
// free slots are left for more urgent ones that may arrive. Only while requests are queued:
// nothing is kept from an organisation that has the engines for itself.
func (s *State) keepsSpareSlots(now snipeford.Instant, q *queued, enginesWithRoom []*replica) bool {
	if len(s.queued) == 0 || !q.short() || s.hasTurn(q) {
		return false
	}
	spare := math.Ceil(s.shortDemand.before(now, q.urgency) * spareTime.Seconds())
	spare = min(spare, float64(len(s.candidates)*s.profile.Slots/maxSpareDivisor))
	free := 0
	for _, r := range enginesWithRoom {
		free += s.profile.Slots - len(r.jobs) - r.untrackedRequests(now)
	}
	return float64(free) <= spare
}
