package queue

import "snipeford"

var fifoPolicy = Policy{
	Name:  "Fifo",
	Usage: "first come, first served; a request that has no room holds up all behind it",
	New:   func() snipeford.Queue { return &fifo{} },
}

type fifo struct{ callList }

func (q *fifo) Push(w *snipeford.QueuedCall) { q.insert(len(q.calls), w) }

func (q *fifo) PopFirst(now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	for i, w := range q.calls {
		if w.NotBefore > now {
			continue
		}
		if place(w) {
			return q.removeAt(i)
		}
		return nil
	}
	return nil
}

func (q *fifo) WorkAhead(w *snipeford.QueuedCall) snipeford.Tokens { return q.workInBand(w.Band()) }
