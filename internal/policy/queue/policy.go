// Package queue implements the policies that order a group's queued requests.
package queue

import (
	"snipeford"
	"snipeford/internal/policy/family"
)

// Policy is a queueing policy.
type Policy = family.Policy[snipeford.Queue]

// Table lists the policies.
var Table = family.Table[snipeford.Queue]{fifoPolicy, shortestPolicy, fairPolicy}

// callList is an ordered list of queued requests, which all policies use.
type callList struct {
	calls []*snipeford.QueuedCall
	work  snipeford.Tokens
}

// Len returns the number of queued requests.
func (l *callList) Len() int { return len(l.calls) }

// Work returns the work of all queued requests.
func (l *callList) Work() snipeford.Tokens { return l.work }

func (l *callList) insert(i int, c *snipeford.QueuedCall) {
	l.calls = append(l.calls, nil)
	copy(l.calls[i+1:], l.calls[i:])
	l.calls[i] = c
	l.work += c.Work()
}

func (l *callList) removeAt(i int) *snipeford.QueuedCall {
	c := l.calls[i]
	l.calls = append(l.calls[:i], l.calls[i+1:]...)
	l.work -= c.Work()
	return c
}

// Remove removes and returns a request, or returns nil if it is not queued.
func (l *callList) Remove(id snipeford.CallID) *snipeford.QueuedCall {
	for i, c := range l.calls {
		if c.ID == id {
			return l.removeAt(i)
		}
	}
	return nil
}

// PopCall removes a request to serve it ahead of its turn.
func (l *callList) PopCall(id snipeford.CallID) *snipeford.QueuedCall { return l.Remove(id) }

// PopExpired removes and returns the requests whose QueueDeadline has passed.
func (l *callList) PopExpired(now snipeford.Instant) []*snipeford.QueuedCall {
	var out []*snipeford.QueuedCall
	for i := 0; i < len(l.calls); {
		if l.calls[i].QueueDeadline > now {
			i++
			continue
		}
		out = append(out, l.removeAt(i))
	}
	return out
}

// ByOrganisation counts the queued requests of each organisation.
func (l *callList) ByOrganisation() map[snipeford.Organisation]int {
	out := map[snipeford.Organisation]int{}
	for _, c := range l.calls {
		out[c.Organisation]++
	}
	return out
}

// popFirstOfBands offers the first ready request of each length band, in list
// order, and removes and returns the first one that dispatch accepts.
func (l *callList) popFirstOfBands(now snipeford.Instant, dispatch func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	var offered [snipeford.BandCount]bool
	for i, c := range l.calls {
		if c.NotBefore > now || offered[c.Band()] {
			continue
		}
		offered[c.Band()] = true
		if dispatch(c) {
			return l.removeAt(i)
		}
	}
	return nil
}

// workInBand returns the work of a band's queued requests.
func (l *callList) workInBand(band snipeford.LengthBand) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, c := range l.calls {
		if c.Band() == band {
			sum += c.Work()
		}
	}
	return sum
}

// Backlog returns the work of a band's queued requests.
func (l *callList) Backlog(band snipeford.LengthBand) snipeford.Tokens { return l.workInBand(band) }
