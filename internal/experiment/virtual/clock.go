// Package virtual runs the reducer against the batching model of the engines
// under virtual time. It makes no decisions of its own: it executes each effect
// on the model and returns the outcome as an event. The same seed always gives
// exactly the same figures.
package virtual

import (
	"container/heap"

	"snipeford"
)

// clock is a virtual clock with a queue of timers. Timers of the same instant
// fire in the order in which they were scheduled.
type clock struct {
	now       snipeford.Instant
	timers    timerHeap
	scheduled uint64
}

type timer struct {
	at       snipeford.Instant
	sequence uint64
	do       func()
}

type timerHeap []timer

func (d timerHeap) Len() int { return len(d) }

func (d timerHeap) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].sequence < d[j].sequence
}

func (d timerHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *timerHeap) Push(x any) { *d = append(*d, x.(timer)) }

// Pop implements heap.Interface.
func (d *timerHeap) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	*d = (*d)[:last]
	return item
}

// schedule calls do at the given instant.
func (c *clock) schedule(t snipeford.Instant, do func()) {
	c.scheduled++
	heap.Push(&c.timers, timer{t, c.scheduled, do})
}

// run advances the clock to the given instant and fires the timers that are due.
func (c *clock) run(until snipeford.Instant) {
	for c.timers.Len() > 0 && c.timers[0].at <= until {
		item := heap.Pop(&c.timers).(timer)
		c.now = item.at
		item.do()
	}
	c.now = until
}
