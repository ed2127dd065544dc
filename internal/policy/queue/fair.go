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
	// lowest one among the organisations with queued requests, in tokens divided by
	// weight. Among the organisations within it, the shortest prompt goes first.
	quantumTokens = 200_000
)

// organisationQueue holds the queued requests of one organisation, ordered by
// prompt length. Its virtualTime is the work served, in tokens divided by weight.
type organisationQueue struct {
	callList
	name        snipeford.Organisation
	weight      float64
	virtualTime float64
}

// fair is a weighted fair queue with one queue for each organisation. Its
// systemVirtualTime is the highest virtual time at which a request was popped. It is
// the lowest virtual time of an organisation when its queue becomes non-empty, so
// that an organisation gains nothing by being idle.
type fair struct {
	queues            map[snipeford.Organisation]*organisationQueue
	order             []*organisationQueue
	systemVirtualTime float64
	length            int
	work              snipeford.Tokens
}

func (q *fair) Len() int { return q.length }

func (q *fair) Work() snipeford.Tokens { return q.work }

func (q *fair) Push(c *snipeford.QueuedCall) {
	o := q.organisationQueue(c)
	if o.Len() == 0 {
		o.virtualTime = max(o.virtualTime, q.systemVirtualTime)
	}
	i := sort.Search(o.Len(), func(i int) bool { return o.calls[i].Prompt > c.Prompt })
	o.insert(i, c)
	q.length++
	q.work += c.Work()
}

func (q *fair) organisationQueue(c *snipeford.QueuedCall) *organisationQueue {
	o, ok := q.queues[c.Organisation]
	if !ok {
		o = &organisationQueue{name: c.Organisation}
		q.queues[c.Organisation] = o
		q.order = append(q.order, o)
	}
	o.weight = max(c.Weight, 0.01)
	return o
}

func (q *fair) subtract(c *snipeford.QueuedCall) *snipeford.QueuedCall {
	q.length--
	q.work -= c.Work()
	return c
}

func (q *fair) Remove(id snipeford.CallID) *snipeford.QueuedCall {
	for _, o := range q.order {
		if c := o.Remove(id); c != nil {
			return q.subtract(c)
		}
	}
	return nil
}

func (q *fair) PopCall(id snipeford.CallID) *snipeford.QueuedCall {
	for _, o := range q.order {
		for i, c := range o.calls {
			if c.ID == id {
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
	for _, c := range out {
		q.subtract(c)
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
func (q *fair) PopFirst(now snipeford.Instant, dispatch func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	if q.length == 0 {
		return nil
	}
	for band := snipeford.BandShort; band <= snipeford.BandMedium; band++ {
		if c := q.popFromBand(band, now, dispatch); c != nil {
			return c
		}
	}
	if o, i := q.oldestAged(now); o != nil && dispatch(o.calls[i]) {
		return q.popAt(o, i)
	}
	for band := snipeford.BandLong; band < snipeford.BandCount; band++ {
		if c := q.popFromBand(band, now, dispatch); c != nil {
			return c
		}
	}
	return nil
}

// popFromBand offers the band's shortest ready prompt among the organisations
// that are within the quantum.
func (q *fair) popFromBand(band snipeford.LengthBand, now snipeford.Instant, dispatch func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
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
	if found == nil || !dispatch(found.calls[at]) {
		return nil
	}
	return q.popAt(found, at)
}

// firstReady returns the index of the band's shortest ready request, or -1.
func (o *organisationQueue) firstReady(band snipeford.LengthBand, now snipeford.Instant) int {
	for i, c := range o.calls {
		if c.Band() == band && c.NotBefore <= now {
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
		for i, c := range o.calls {
			if c.NotBefore > now || !isAged(c, now) {
				continue
			}
			if found == nil || c.Arrival < found.calls[at].Arrival {
				found, at = o, i
			}
		}
	}
	return found, at
}

func isAged(c *snipeford.QueuedCall, now snipeford.Instant) bool {
	return float64(now-c.Arrival) > agedWaitRatio*float64(c.QueueDeadline-c.Arrival)
}

func (q *fair) popAt(o *organisationQueue, i int) *snipeford.QueuedCall {
	c := q.subtract(o.removeAt(i))
	q.systemVirtualTime = max(q.systemVirtualTime, o.virtualTime)
	o.virtualTime += float64(c.Work()) / o.weight
	return c
}

// WorkAhead returns the organisation's own backlog of the band, plus the backlog of
// each other organisation. The latter counts up to the work of the organisation's
// backlog and the request, times the ratio of the other weight to its own.
func (q *fair) WorkAhead(c *snipeford.QueuedCall) snipeford.Tokens {
	band := c.Band()
	o := q.organisationQueue(c)
	own := float64(c.Work()) + float64(o.workInBand(band))
	ahead := own - float64(c.Work())
	for _, other := range q.order {
		if other != o && other.Len() > 0 {
			ahead += min(float64(other.workInBand(band)), own*other.weight/o.weight)
		}
	}
	return snipeford.Tokens(ahead)
}

// Backlog returns the work of a band's queued requests.
func (q *fair) Backlog(band snipeford.LengthBand) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, o := range q.order {
		sum += o.workInBand(band)
	}
	return sum
}
