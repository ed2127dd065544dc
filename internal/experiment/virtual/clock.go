// Package virtual runs the reducer against the engines' batching model under
// virtual time. It holds no copy of any decision: each effect is carried out
// on the model, each outcome goes back as an event. The same seed gives the
// same figures to the digit.
package virtual

import (
	"container/heap"

	"snipeford"
)

// clock is a queue of things to do at instants. Things of one instant are done
// in the order in which they were set.
type clock struct {
	now   snipeford.Instant
	due   dueList
	count uint64
}

type dueItem struct {
	at    snipeford.Instant
	order uint64
	do    func()
}

type dueList []dueItem

func (d dueList) Len() int { return len(d) }

func (d dueList) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].order < d[j].order
}

func (d dueList) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push is for container/heap.
func (d *dueList) Push(x any) { *d = append(*d, x.(dueItem)) }

// Pop is for container/heap.
func (d *dueList) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	*d = (*d)[:last]
	return item
}

// at sets a thing to do.
func (c *clock) at(t snipeford.Instant, do func()) {
	c.count++
	heap.Push(&c.due, dueItem{t, c.count, do})
}

// run does all things up to the instant.
func (c *clock) run(until snipeford.Instant) {
	for c.due.Len() > 0 && c.due[0].at <= until {
		item := heap.Pop(&c.due).(dueItem)
		c.now = item.at
		item.do()
	}
	c.now = until
}
