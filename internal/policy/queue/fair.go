package queue

import (
	"sort"

	"snipeford"
)

var fairPolicy = Policy{
	Name:  "Fair",
	Usage: "weighted fair between organisations in tokens of service, by length within one, with ageing",
	New:   func() snipeford.Queue { return &fair{shares: map[snipeford.Organisation]*share{}} },
}

// agedShare is the part of its allowed wait after which a request goes before
// younger ones of its band whatever the fair order says.
const agedShare = 0.6

// share is one organisation's part of a fair queue. Served is its virtual
// time: service taken over weight.
type share struct {
	entries
	name   snipeford.Organisation
	weight float64
	served float64
}

// fair keeps one list an organisation, ordered by prompt length. The
// organisation that was served least, for its weight, goes first.
type fair struct {
	shares map[snipeford.Organisation]*share
	order  []*share
	clock  float64
	length int
	work   snipeford.Tokens
}

func (q *fair) Len() int { return q.length }

func (q *fair) Work() snipeford.Tokens { return q.work }

func (q *fair) Push(w *snipeford.Waiting) {
	s := q.share(w)
	if s.Len() == 0 {
		s.served = max(s.served, q.clock)
	}
	i := sort.Search(s.Len(), func(i int) bool { return s.list[i].Prompt > w.Prompt })
	s.insert(i, w)
	q.length++
	q.work += w.Work()
}

func (q *fair) share(w *snipeford.Waiting) *share {
	s, ok := q.shares[w.Organisation]
	if !ok {
		s = &share{name: w.Organisation}
		q.shares[w.Organisation] = s
		q.order = append(q.order, s)
	}
	s.weight = max(w.Weight, 0.01)
	return s
}

func (q *fair) took(w *snipeford.Waiting) *snipeford.Waiting {
	q.length--
	q.work -= w.Work()
	return w
}

func (q *fair) Remove(id snipeford.CallID) *snipeford.Waiting {
	for _, s := range q.order {
		if w := s.Remove(id); w != nil {
			return q.took(w)
		}
	}
	return nil
}

func (q *fair) Expired(now snipeford.Instant) []*snipeford.Waiting {
	var out []*snipeford.Waiting
	for _, s := range q.order {
		out = append(out, s.Expired(now)...)
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

// Next offers, band by band from the shortest, the aged requests and then
// those of the organisation that was served least.
func (q *fair) Next(now snipeford.Instant, place func(*snipeford.Waiting) bool) *snipeford.Waiting {
	if q.length == 0 {
		return nil
	}
	sort.SliceStable(q.order, func(i, j int) bool { return q.order[i].served < q.order[j].served })
	for band := snipeford.BandShort; band < snipeford.BandCount; band++ {
		s, i := q.pick(band, now)
		if s == nil || !place(s.list[i]) {
			continue
		}
		return q.serve(s, i)
	}
	return nil
}

func (q *fair) pick(band snipeford.LengthBand, now snipeford.Instant) (*share, int) {
	var first *share
	var at int
	for _, s := range q.order {
		for i, w := range s.list {
			if w.Band() != band || w.NotBefore > now {
				continue
			}
			if aged(w, now) {
				return s, i
			}
			if first == nil {
				first, at = s, i
			}
		}
	}
	return first, at
}

func aged(w *snipeford.Waiting, now snipeford.Instant) bool {
	return float64(now-w.Arrival) > agedShare*float64(w.GiveUp-w.Arrival)
}

func (q *fair) serve(s *share, i int) *snipeford.Waiting {
	w := q.took(s.take(i))
	q.clock = max(q.clock, s.served)
	s.served += float64(w.Work()) / s.weight
	return w
}

// Ahead is the organisation's own backlog of requests up to the new one's
// length, scaled by the weights of all organisations that wait.
func (q *fair) Ahead(w *snipeford.Waiting) snipeford.Tokens {
	s := q.share(w)
	own := float64(w.Work())
	for _, other := range s.list {
		if other.Prompt <= w.Prompt {
			own += float64(other.Work())
		}
	}
	var ahead float64
	for _, other := range q.order {
		if other != s && other.Len() > 0 {
			ahead += min(float64(other.entries.work), own*other.weight/s.weight)
		}
	}
	return snipeford.Tokens(ahead + own - float64(w.Work()))
}
