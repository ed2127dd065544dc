package reducer

import (
	"sort"

	"snipeford"
)

// partTokens is the memory that a prompt larger than one engine's takes of each
// engine, where the group has enough engines. Small parts leave each engine
// room for other work while the segments are prefilled one after the other.
const partTokens snipeford.Tokens = 150_000

// shortReserve is the memory that a claim leaves to short prompts.
const shortReserve snipeford.Tokens = 20_000

// pickReserved places a prompt that needs much memory. It claims the memory of
// the replicas that it will need, all or nothing, and waits until the work
// before it has left; smaller work goes on beside the claim. One prompt at a
// time claims in a group, and only the group's home reserves there, so that
// two such prompts can't deadlock.
func (d *dispatcher) pickReserved(now snipeford.Instant, w *snipeford.QueuedCall) []*replica {
	if d.claimant != nil && d.claimant != w {
		return nil
	}
	if d.claimant == nil && (!d.mayClaim(now, w) || !d.claim(w)) {
		return nil
	}
	need := d.claimed[0].Reserved
	for _, r := range d.claimed {
		if !r.Usable {
			d.unclaim(w.ID)
			return nil
		}
		if r.Running >= r.Window || r.Committed+need > r.Memory {
			return nil
		}
	}
	parts := d.claimed
	d.unclaim(w.ID)
	return parts
}

// sendClaimant sends the prompt that holds the claim as soon as there is room,
// before any other is offered.
func (s *State) sendClaimant(now snipeford.Instant, g *group) {
	d := g.dispatcher
	w := d.claimant
	if w == nil || w.NotBefore > now {
		return
	}
	if parts := d.pickReserved(now, w); parts != nil {
		s.send(now, g, d.queue.PopCall(w.ID), parts)
	}
}

// claimShare is the part of its allowed wait after which a prompt may claim
// memory while shorter ones wait.
const claimShare = 0.5

// mayClaim reports whether a prompt may claim memory now: where no shorter one
// waits that the claim would hold up, or after a part of its allowed wait.
func (d *dispatcher) mayClaim(now snipeford.Instant, w *snipeford.QueuedCall) bool {
	if d.queue.Backlog(snipeford.BandLong) == 0 && d.queue.Backlog(snipeford.BandMedium) == 0 {
		return true
	}
	return float64(now.Sub(w.Arrival)) > claimShare*float64(w.QueueDeadline.Sub(w.Arrival))
}

// claim chooses the emptiest replicas that together hold the prompt, ordered
// by name as they are reserved.
func (d *dispatcher) claim(w *snipeford.QueuedCall) bool {
	usable, kept := d.emptiest()
	n := 1
	if w.Memory() > d.largest()-shortReserve {
		n = min(len(usable), int((w.Memory()+partTokens-1)/partTokens))
		n = max(n, int(w.Memory()/(d.largest()-shortReserve))+1)
	}
	if n > len(usable) {
		usable = append(usable, kept...)
	}
	if n > len(usable) {
		return false
	}
	need := w.Memory()/snipeford.Tokens(n) + 1
	for _, r := range usable[:n] {
		if need > r.Memory-shortReserve {
			return false
		}
	}
	d.claimed = append([]*replica(nil), usable[:n]...)
	sort.Slice(d.claimed, func(i, j int) bool { return d.claimed[i].ID < d.claimed[j].ID })
	d.claimant = w
	for _, r := range d.claimed {
		r.Reserved = need
	}
	return true
}

// emptiest returns the replicas that may be claimed, the emptiest first, and
// apart from them those that are kept for short prompts.
func (d *dispatcher) emptiest() (usable, kept []*replica) {
	for _, r := range d.replicas {
		switch {
		case !r.Usable || r.window.State() == snipeford.StateCold:
		case r.DedicatedToShort:
			kept = append(kept, r)
		default:
			usable = append(usable, r)
		}
	}
	sort.SliceStable(usable, func(i, j int) bool { return usable[i].Committed < usable[j].Committed })
	return usable, kept
}

// unclaim ends a call's claim.
func (d *dispatcher) unclaim(id snipeford.CallID) {
	if d.claimant == nil || d.claimant.ID != id {
		return
	}
	for _, r := range d.claimed {
		r.Reserved = 0
	}
	d.claimed, d.claimant = nil, nil
}
