package queue

import (
	"sort"

	"snipeford"
)

var shortestPolicy = Policy{
	Name:  "Shortest",
	Usage: "shortest prompt first, whoever sent it",
	New:   func() snipeford.Queue { return &shortest{} },
}

type shortest struct{ entries }

func (q *shortest) rank(w *snipeford.QueuedCall) int {
	return sort.Search(len(q.list), func(i int) bool { return q.list[i].Prompt > w.Prompt })
}

func (q *shortest) Push(w *snipeford.QueuedCall) { q.insert(q.rank(w), w) }

func (q *shortest) PopFirst(now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	return q.firstOfBands(now, place)
}

func (q *shortest) WorkAhead(w *snipeford.QueuedCall) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, other := range q.list[:q.rank(w)] {
		if other.Band() == w.Band() {
			sum += other.Work()
		}
	}
	return sum
}
