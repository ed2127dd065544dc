package queue

import "snipeford"

var fifoPolicy = Policy{
	Name:  "Fifo",
	Usage: "first come, first served; a request that has no room holds up all behind it",
	New:   func() snipeford.Queue { return &fifo{} },
}

type fifo struct{ callList }

func (q *fifo) Push(c *snipeford.QueuedCall) { q.insert(len(q.calls), c) }

func (q *fifo) PopFirst(now snipeford.Instant, dispatch func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	for i, c := range q.calls {
		if c.NotBefore > now {
			continue
		}
		if dispatch(c) {
			return q.removeAt(i)
		}
		return nil
	}
	return nil
}

func (q *fifo) WorkAhead(c *snipeford.QueuedCall) snipeford.Tokens { return q.workInBand(c.Band()) }
