package reducer

import (
	"sort"

	"snipeford"
)

// targetPartTokens is the memory that a prompt larger than one engine takes on
// each engine, if the group has enough engines. Small parts leave each engine
// room for other work while the parts are prefilled one after the other.
const targetPartTokens snipeford.Tokens = 150_000

// shortPromptReserve is the memory that a reservation leaves on each engine for
// short prompts.
const shortPromptReserve snipeford.Tokens = 20_000

// pickReserved picks replicas for a prompt that needs much memory. It reserves memory on
// all replicas that the prompt needs, or on none, and waits until enough
// running calls have ended; smaller calls are still dispatched to the memory
// that is not reserved. Only the group's home reserves memory, for one prompt
// at a time, so two such prompts can't deadlock.
func (d *dispatcher) pickReserved(now snipeford.Instant, q *snipeford.QueuedCall) []*replica {
	if d.reservingCall != nil && d.reservingCall != q {
		return nil
	}
	if d.reservingCall == nil && (!d.mayReserve(now, q) || !d.reserve(q)) {
		return nil
	}
	perReplica := d.reservedReplicas[0].Reserved
	for _, r := range d.reservedReplicas {
		if !r.Usable {
			d.cancelReservation(q.ID)
			return nil
		}
		if r.Running >= r.Window || r.Committed+perReplica > r.Memory {
			return nil
		}
	}
	replicas := d.reservedReplicas
	d.cancelReservation(q.ID)
	return replicas
}

// sendReserved dispatches the call that holds the reservation as soon as there
// is room, before any other call.
func (s *State) sendReserved(now snipeford.Instant, g *group) {
	d := g.dispatcher
	q := d.reservingCall
	if q == nil || q.NotBefore > now {
		return
	}
	if replicas := d.pickReserved(now, q); replicas != nil {
		s.send(now, g, d.queue.PopCall(q.ID), replicas)
	}
}

// reserveAfterShare is the share of a call's allowed queue time after which it
// may reserve memory although medium or long prompts are queued.
const reserveAfterShare = 0.5

// mayReserve reports whether a call may reserve memory now: if no prompt of the
// medium or long band is queued, or after reserveAfterShare of its allowed queue
// time. Queued short prompts do not count, since every reservation leaves them
// shortPromptReserve.
func (d *dispatcher) mayReserve(now snipeford.Instant, q *snipeford.QueuedCall) bool {
	if d.queue.Backlog(snipeford.BandLong) == 0 && d.queue.Backlog(snipeford.BandMedium) == 0 {
		return true
	}
	return float64(now.Sub(q.Arrival)) > reserveAfterShare*float64(q.QueueDeadline.Sub(q.Arrival))
}

// reserve reserves memory on the replicas with the least committed memory that
// together hold the prompt. The prompt's parts go to them in the order of their
// IDs.
func (d *dispatcher) reserve(q *snipeford.QueuedCall) bool {
	usable, dedicated := d.reservable()
	n := 1
	if q.Memory() > d.largestMemory()-shortPromptReserve {
		n = min(len(usable), int((q.Memory()+targetPartTokens-1)/targetPartTokens))
		n = max(n, int(q.Memory()/(d.largestMemory()-shortPromptReserve))+1)
	}
	if n > len(usable) {
		usable = append(usable, dedicated...)
	}
	if n > len(usable) {
		return false
	}
	perReplica := q.Memory()/snipeford.Tokens(n) + 1
	for _, r := range usable[:n] {
		if perReplica > r.Memory-shortPromptReserve {
			return false
		}
	}
	d.reservedReplicas = append([]*replica(nil), usable[:n]...)
	sort.Slice(d.reservedReplicas, func(i, j int) bool { return d.reservedReplicas[i].ID < d.reservedReplicas[j].ID })
	d.reservingCall = q
	for _, r := range d.reservedReplicas {
		r.Reserved = perReplica
	}
	return true
}

// reservable returns the replicas on which memory may be reserved, those with
// the least committed memory first, and separately those dedicated to short
// prompts.
func (d *dispatcher) reservable() (usable, dedicated []*replica) {
	for _, r := range d.replicas {
		switch {
		case !r.Usable || r.window.State() == snipeford.StateCold:
		case r.DedicatedToShort:
			dedicated = append(dedicated, r)
		default:
			usable = append(usable, r)
		}
	}
	sort.SliceStable(usable, func(i, j int) bool { return usable[i].Committed < usable[j].Committed })
	return usable, dedicated
}

// cancelReservation releases the memory that is reserved for the call, if any.
func (d *dispatcher) cancelReservation(id snipeford.CallID) {
	if d.reservingCall == nil || d.reservingCall.ID != id {
		return
	}
	for _, r := range d.reservedReplicas {
		r.Reserved = 0
	}
	d.reservedReplicas, d.reservingCall = nil, nil
}
