// Package queue holds the policies that order a group's waiting requests, one
// a file.
package queue

import (
	"snipeford"
	"snipeford/internal/policy/family"
)

// Policy is one member of the family.
type Policy = family.Policy[snipeford.Queue]

// Table lists the policies.
var Table = family.Table[snipeford.Queue]{fifoPolicy, shortestPolicy, fairPolicy}

// entries is the part that all policies share: a set of waiting requests in
// some order.
type entries struct {
	list []*snipeford.QueuedCall
	work snipeford.Tokens
}

// Len returns the number of waiting requests.
func (e *entries) Len() int { return len(e.list) }

// Work returns the waiting service in tokens.
func (e *entries) Work() snipeford.Tokens { return e.work }

func (e *entries) insert(i int, w *snipeford.QueuedCall) {
	e.list = append(e.list, nil)
	copy(e.list[i+1:], e.list[i:])
	e.list[i] = w
	e.work += w.Work()
}

func (e *entries) take(i int) *snipeford.QueuedCall {
	w := e.list[i]
	e.list = append(e.list[:i], e.list[i+1:]...)
	e.work -= w.Work()
	return w
}

// Remove takes a request out, or returns nil where it is not queued.
func (e *entries) Remove(id snipeford.CallID) *snipeford.QueuedCall {
	for i, w := range e.list {
		if w.ID == id {
			return e.take(i)
		}
	}
	return nil
}

// PopCall takes a request out to serve it, out of its turn.
func (e *entries) PopCall(id snipeford.CallID) *snipeford.QueuedCall { return e.Remove(id) }

// PopExpired takes out the requests whose GiveUp has passed.
func (e *entries) PopExpired(now snipeford.Instant) []*snipeford.QueuedCall {
	var out []*snipeford.QueuedCall
	for i := 0; i < len(e.list); {
		if e.list[i].QueueDeadline > now {
			i++
			continue
		}
		out = append(out, e.take(i))
	}
	return out
}

// ByOrganisation counts the waiting requests of each organisation.
func (e *entries) ByOrganisation() map[snipeford.Organisation]int {
	out := map[snipeford.Organisation]int{}
	for _, w := range e.list {
		out[w.Organisation]++
	}
	return out
}

// firstOfBands offers the first ready request of each length band, in list
// order, and takes out the one that place accepts.
func (e *entries) firstOfBands(now snipeford.Instant, place func(*snipeford.QueuedCall) bool) *snipeford.QueuedCall {
	var offered [snipeford.BandCount]bool
	for i, w := range e.list {
		if w.NotBefore > now || offered[w.Band()] {
			continue
		}
		offered[w.Band()] = true
		if place(w) {
			return e.take(i)
		}
	}
	return nil
}

// inBand returns the waiting work of a band.
func (e *entries) inBand(band snipeford.LengthBand) snipeford.Tokens {
	var sum snipeford.Tokens
	for _, w := range e.list {
		if w.Band() == band {
			sum += w.Work()
		}
	}
	return sum
}

// Backlog returns the waiting work of a band.
func (e *entries) Backlog(band snipeford.LengthBand) snipeford.Tokens { return e.inBand(band) }
