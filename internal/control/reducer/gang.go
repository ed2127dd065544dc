package reducer

import (
	"sort"

	"snipeford"
)

// pickSeveral reserves, all or nothing, the replicas of a prompt that is
// larger than one engine's memory. One such prompt at a time claims replicas
// of a group; they drain until all have room. Only this home reserves in the
// group, one claim at a time, so that two such prompts can't deadlock.
func (d *dispatcher) pickSeveral(w *snipeford.Waiting) []*replica {
	if d.claimedBy != "" && d.claimedBy != w.Call {
		return nil
	}
	if d.claimedBy == "" && !d.claim(w) {
		return nil
	}
	need := w.Memory() / snipeford.Tokens(len(d.claimed))
	for _, r := range d.claimed {
		if !r.Usable {
			d.unclaim(w.Call)
			return nil
		}
		if r.Running >= r.Window || r.Committed+need > r.Memory {
			return nil
		}
	}
	parts := d.claimed
	d.unclaim(w.Call)
	return parts
}

// claim chooses the emptiest replicas that together hold the prompt, ordered
// by name as they are reserved.
func (d *dispatcher) claim(w *snipeford.Waiting) bool {
	var usable []*replica
	for _, r := range d.replicas {
		if r.Usable && r.window.State() != snipeford.StateCold {
			usable = append(usable, r)
		}
	}
	sort.SliceStable(usable, func(i, j int) bool {
		return usable[i].Committed < usable[j].Committed
	})
	for n := 2; n <= len(usable); n++ {
		if !eachHolds(usable[:n], w.Memory()/snipeford.Tokens(n)+1) {
			continue
		}
		d.claimed = append([]*replica(nil), usable[:n]...)
		sort.Slice(d.claimed, func(i, j int) bool { return d.claimed[i].ID < d.claimed[j].ID })
		d.claimedBy = w.Call
		for _, r := range d.claimed {
			r.claimed = true
		}
		return true
	}
	return false
}

// shortReserve is the memory that a claim leaves to short prompts.
const shortReserve snipeford.Tokens = 20_000

func eachHolds(replicas []*replica, need snipeford.Tokens) bool {
	for _, r := range replicas {
		if need > r.Memory-shortReserve {
			return false
		}
	}
	return true
}

// unclaim ends a call's claim.
func (d *dispatcher) unclaim(id snipeford.CallID) {
	if d.claimedBy != id {
		return
	}
	for _, r := range d.claimed {
		r.claimed = false
	}
	d.claimed, d.claimedBy = nil, ""
}
