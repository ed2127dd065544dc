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

func (q *shortest) insertIndex(c *snipeford.QueuedCall) int {
	return sort.Search(len(q.calls), func(i int) bool { return q.calls[i].Prompt > c.Prompt })
}

func (q *shortest) Push(c *snipeford.QueuedCall) { q.insert(q.insertIndex(c), c) }

func (q *shortest) PopFirst(now snipeford.Instant, dispatch func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	return q.popFirstOfBands(now, dispatch)
}

func (q *shortest) WorkAhead(c *snipeford.QueuedCall) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, other := range q.calls[:q.insertIndex(c)] {
		if other.Band() == c.Band() {
			sum += other.Work()
		}
	}
	return sum
}
