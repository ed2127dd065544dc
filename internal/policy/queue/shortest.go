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

type shortest struct{ callList }

func (q *shortest) insertIndex(w *snipeford.QueuedCall) int {
	return sort.Search(len(q.calls), func(i int) bool { return q.calls[i].Prompt > w.Prompt })
}

func (q *shortest) Push(w *snipeford.QueuedCall) { q.insert(q.insertIndex(w), w) }

func (q *shortest) PopFirst(now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	return q.popFirstOfBands(now, place)
}

func (q *shortest) WorkAhead(w *snipeford.QueuedCall) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, other := range q.calls[:q.insertIndex(w)] {
		if other.Band() == w.Band() {
			sum += other.Work()
		}
	}
	return sum
}
