package queue

import (
	"math"
	"sort"

	"snipeford"
)

var fairPolicy = Policy{
	Name:  "Fair",
	Usage: "weighted fair between organisations in tokens of service, by length within a quantum, with ageing",
	New:   func() snipeford.Queue { return &fair{shares: map[snipeford.Organisation]*share{}} },
}

const (
	// agedShare is the part of its allowed wait after which a long prompt goes
	// before younger ones, oldest first.
	agedShare = 0.7
	// quantum is by how much service, in tokens over weight, an organisation may
	// run ahead of the least served one that waits. Within it the shortest
	// prompt goes first, whoever sent it.
	quantum = 200_000
)

// share is one organisation's part of a fair queue. Served is its virtual
// time: service taken over weight.
type share struct {
	entries
	name   snipeford.Organisation
	weight float64
	served float64
}

// fair keeps one list an organisation, ordered by prompt length.
type fair struct {
	shares map[snipeford.Organisation]*share
	order  []*share
	clock  float64
	length int
	work   snipeford.Tokens
}

func (q *fair) Len() int { return q.length }

func (q *fair) Work() snipeford.Tokens { return q.work }

func (q *fair) Push(w *snipeford.QueuedCall) {
	s := q.share(w)
	if s.Len() == 0 {
		s.served = max(s.served, q.clock)
	}
	i := sort.Search(s.Len(), func(i int) bool { return s.list[i].Prompt > w.Prompt })
	s.insert(i, w)
	q.length++
	q.work += w.Work()
}

func (q *fair) share(w *snipeford.QueuedCall) *share {
	s, ok := q.shares[w.Organisation]
	if !ok {
		s = &share{name: w.Organisation}
		q.shares[w.Organisation] = s
		q.order = append(q.order, s)
	}
	s.weight = max(w.Weight, 0.01)
	return s
}

func (q *fair) took(w *snipeford.QueuedCall) *snipeford.QueuedCall {
	q.length--
	q.work -= w.Work()
	return w
}

func (q *fair) Remove(id snipeford.CallID) *snipeford.QueuedCall {
	for _, s := range q.order {
		if w := s.Remove(id); w != nil {
			return q.took(w)
		}
	}
	return nil
}

func (q *fair) PopCall(id snipeford.CallID) *snipeford.QueuedCall {
	for _, s := range q.order {
		for i, w := range s.list {
			if w.ID == id {
				return q.serve(s, i)
			}
		}
	}
	return nil
}

func (q *fair) PopExpired(now snipeford.Instant) []*snipeford.QueuedCall {
	var out []*snipeford.QueuedCall
	for _, s := range q.order {
		out = append(out, s.PopExpired(now)...)
	}
	for _, w := range out {
		q.took(w)
	}
	return out
}

func (q *fair) ByOrganisation() map[snipeford.Organisation]int {
	out := map[snipeford.Organisation]int{}
	for _, s := range q.order {
		if s.Len() > 0 {
			out[s.name] = s.Len()
		}
	}
	return out
}

// PopFirst offers the short and the medium prompts, which cost the others little,
// then the aged ones, then the longer bands.
func (q *fair) PopFirst(now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	if q.length == 0 {
		return nil
	}
	for band := snipeford.BandShort; band <= snipeford.BandMedium; band++ {
		if w := q.offer(band, now, place); w != nil {
			return w
		}
	}
	if s, i := q.oldestAged(now); s != nil && place(s.list[i]) {
		return q.serve(s, i)
	}
	for band := snipeford.BandLong; band < snipeford.BandCount; band++ {
		if w := q.offer(band, now, place); w != nil {
			return w
		}
	}
	return nil
}

// offer offers the band's shortest prompt of the organisations that are within
// a quantum of the least served one.
func (q *fair) offer(band snipeford.LengthBand, now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	least := math.Inf(1)
	for _, s := range q.order {
		if s.served < least && s.first(band, now) >= 0 {
			least = s.served
		}
	}
	var found *share
	at := -1
	for _, s := range q.order {
		if s.served > least+quantum {
			continue
		}
		i := s.first(band, now)
		if i >= 0 && (found == nil || s.list[i].Prompt < found.list[at].Prompt) {
			found, at = s, i
		}
	}
	if found == nil || !place(found.list[at]) {
		return nil
	}
	return q.serve(found, at)
}

// first returns the index of the band's shortest ready request, or -1.
func (s *share) first(band snipeford.LengthBand, now snipeford.Instant) int {
	for i, w := range s.list {
		if w.Band() == band && w.NotBefore <= now {
			return i
		}
	}
	return -1
}

// oldestAged returns the aged request that has waited longest.
func (q *fair) oldestAged(now snipeford.Instant) (*share, int) {
	var found *share
	at := -1
	for _, s := range q.order {
		for i, w := range s.list {
			if w.NotBefore > now || !aged(w, now) {
				continue
			}
			if found == nil || w.Arrival < found.list[at].Arrival {
				found, at = s, i
			}
		}
	}
	return found, at
}

func aged(w *snipeford.QueuedCall, now snipeford.Instant) bool {
	return float64(now-w.Arrival) > agedShare*float64(w.QueueDeadline-w.Arrival)
}

func (q *fair) serve(s *share, i int) *snipeford.QueuedCall {
	w := q.took(s.take(i))
	q.clock = max(q.clock, s.served)
	s.served += float64(w.Work()) / s.weight
	return w
}

// WorkAhead is the organisation's own backlog of the band, scaled by the weights of
// all organisations that wait there.
func (q *fair) WorkAhead(w *snipeford.QueuedCall) snipeford.Tokens {
	band := w.Band()
	s := q.share(w)
	own := float64(w.Work()) + float64(s.inBand(band))
	ahead := own - float64(w.Work())
	for _, other := range q.order {
		if other != s && other.Len() > 0 {
			ahead += min(float64(other.inBand(band)), own*other.weight/s.weight)
		}
	}
	return snipeford.Tokens(ahead)
}

// Backlog returns the waiting work of a band.
func (q *fair) Backlog(band snipeford.LengthBand) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, s := range q.order {
		sum += s.inBand(band)
	}
	return sum
}
