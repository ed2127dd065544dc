package queue

import (
	"math"
	"sort"

	"snipeford"
)

var fairPolicy = Policy{
	Name:  "Fair",
	Usage: "weighted fair between organisations in tokens of service, by length within a quantum, with ageing",
	New:   func() snipeford.Queue { return &fair{queues: map[snipeford.Organisation]*organisationQueue{}} },
}

const (
	// agedWaitRatio is the part of its maximum queueing time after which a request
	// counts as aged. Aged requests go before younger long ones, oldest first.
	agedWaitRatio = 0.7
	// quantumTokens is how far an organisation's virtual time may be ahead of the
	// lowest one among the waiting organisations, in tokens divided by weight.
	// Among the organisations within it, the shortest prompt goes first.
	quantumTokens = 200_000
)

// organisationQueue holds the waiting requests of one organisation, ordered by
// prompt length. Its virtualTime is the work served, in tokens divided by weight.
type organisationQueue struct {
	callList
	name        snipeford.Organisation
	weight      float64
	virtualTime float64
}

// fair is a weighted fair queue with one queue for each organisation. Its
// systemVirtualTime is the lowest virtual time of an organisation that joins.
type fair struct {
	queues            map[snipeford.Organisation]*organisationQueue
	order             []*organisationQueue
	systemVirtualTime float64
	length            int
	work              snipeford.Tokens
}

func (q *fair) Len() int { return q.length }

func (q *fair) Work() snipeford.Tokens { return q.work }

func (q *fair) Push(w *snipeford.QueuedCall) {
	o := q.organisationQueue(w)
	if o.Len() == 0 {
		o.virtualTime = max(o.virtualTime, q.systemVirtualTime)
	}
	i := sort.Search(o.Len(), func(i int) bool { return o.calls[i].Prompt > w.Prompt })
	o.insert(i, w)
	q.length++
	q.work += w.Work()
}

func (q *fair) organisationQueue(w *snipeford.QueuedCall) *organisationQueue {
	o, ok := q.queues[w.Organisation]
	if !ok {
		o = &organisationQueue{name: w.Organisation}
		q.queues[w.Organisation] = o
		q.order = append(q.order, o)
	}
	o.weight = max(w.Weight, 0.01)
	return o
}

func (q *fair) subtract(w *snipeford.QueuedCall) *snipeford.QueuedCall {
	q.length--
	q.work -= w.Work()
	return w
}

func (q *fair) Remove(id snipeford.CallID) *snipeford.QueuedCall {
	for _, o := range q.order {
		if w := o.Remove(id); w != nil {
			return q.subtract(w)
		}
	}
	return nil
}

func (q *fair) PopCall(id snipeford.CallID) *snipeford.QueuedCall {
	for _, o := range q.order {
		for i, w := range o.calls {
			if w.ID == id {
				return q.popAt(o, i)
			}
		}
	}
	return nil
}

func (q *fair) PopExpired(now snipeford.Instant) []*snipeford.QueuedCall {
	var out []*snipeford.QueuedCall
	for _, o := range q.order {
		out = append(out, o.PopExpired(now)...)
	}
	for _, w := range out {
		q.subtract(w)
	}
	return out
}

func (q *fair) ByOrganisation() map[snipeford.Organisation]int {
	out := map[snipeford.Organisation]int{}
	for _, o := range q.order {
		if o.Len() > 0 {
			out[o.name] = o.Len()
		}
	}
	return out
}

// PopFirst offers the short and medium bands first, which delay the others
// little, then the aged requests, then the longer bands.
func (q *fair) PopFirst(now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	if q.length == 0 {
		return nil
	}
	for band := snipeford.BandShort; band <= snipeford.BandMedium; band++ {
		if w := q.popFromBand(band, now, place); w != nil {
			return w
		}
	}
	if o, i := q.oldestAged(now); o != nil && place(o.calls[i]) {
		return q.popAt(o, i)
	}
	for band := snipeford.BandLong; band < snipeford.BandCount; band++ {
		if w := q.popFromBand(band, now, place); w != nil {
			return w
		}
	}
	return nil
}

// popFromBand offers the band's shortest ready prompt among the organisations
// that are within the quantum.
func (q *fair) popFromBand(band snipeford.LengthBand, now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	lowest := math.Inf(1)
	for _, o := range q.order {
		if o.virtualTime < lowest && o.firstReady(band, now) >= 0 {
			lowest = o.virtualTime
		}
	}
	var found *organisationQueue
	at := -1
	for _, o := range q.order {
		if o.virtualTime > lowest+quantumTokens {
			continue
		}
		i := o.firstReady(band, now)
		if i >= 0 && (found == nil || o.calls[i].Prompt < found.calls[at].Prompt) {
			found, at = o, i
		}
	}
	if found == nil || !place(found.calls[at]) {
		return nil
	}
	return q.popAt(found, at)
}

// firstReady returns the index of the band's shortest ready request, or -1.
func (o *organisationQueue) firstReady(band snipeford.LengthBand, now snipeford.Instant) int {
	for i, w := range o.calls {
		if w.Band() == band && w.NotBefore <= now {
			return i
		}
	}
	return -1
}

// oldestAged returns the queue and index of the aged request that arrived first.
func (q *fair) oldestAged(now snipeford.Instant) (*organisationQueue, int) {
	var found *organisationQueue
	at := -1
	for _, o := range q.order {
		for i, w := range o.calls {
			if w.NotBefore > now || !isAged(w, now) {
				continue
			}
			if found == nil || w.Arrival < found.calls[at].Arrival {
				found, at = o, i
			}
		}
	}
	return found, at
}

func isAged(w *snipeford.QueuedCall, now snipeford.Instant) bool {
	return float64(now-w.Arrival) > agedWaitRatio*float64(w.QueueDeadline-w.Arrival)
}

func (q *fair) popAt(o *organisationQueue, i int) *snipeford.QueuedCall {
	w := q.subtract(o.removeAt(i))
	q.systemVirtualTime = max(q.systemVirtualTime, o.virtualTime)
	o.virtualTime += float64(w.Work()) / o.weight
	return w
}

// WorkAhead returns the organisation's own backlog of the band, plus that of each
// other organisation, capped in proportion to its weight.
func (q *fair) WorkAhead(w *snipeford.QueuedCall) snipeford.Tokens {
	band := w.Band()
	o := q.organisationQueue(w)
	own := float64(w.Work()) + float64(o.workInBand(band))
	ahead := own - float64(w.Work())
	for _, other := range q.order {
		if other != o && other.Len() > 0 {
			ahead += min(float64(other.workInBand(band)), own*other.weight/o.weight)
		}
	}
	return snipeford.Tokens(ahead)
}

// Backlog returns the work of a band's waiting requests.
func (q *fair) Backlog(band snipeford.LengthBand) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, o := range q.order {
		sum += o.workInBand(band)
	}
	return sum
}
