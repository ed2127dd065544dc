package reducer

import (
	"time"

	"snipeford"
)

// dispatch sends every queued call that the policies can place now.
func (s *State) dispatch(now snipeford.Instant, g *group) {
	d := g.dispatcher
	if d.queue.Len() == 0 || !s.mayDispatch(now, g) {
		return
	}
	for _, r := range d.replicas {
		r.refresh(now)
	}
	s.sendReserved(now, g)
	for d.queue.Len() > 0 {
		var replicas []*replica
		postponed := false
		w := d.queue.PopFirst(now, func(w *snipeford.QueuedCall) bool {
			if postponed = s.postpone(now, w); postponed {
				return false
			}
			replicas = d.pick(now, w)
			return replicas != nil
		})
		if w == nil && postponed {
			continue
		}
		if w == nil {
			return
		}
		s.send(now, g, w, replicas)
	}
}

// postpone delays a retry if the retry budget is used up, and reports whether
// it did.
func (s *State) postpone(now snipeford.Instant, w *snipeford.QueuedCall) bool {
	if w.Attempts == 0 || s.retries.CanTake() {
		return false
	}
	w.NotBefore = now.Add(retryBudgetDelay)
	return true
}

// retryBudgetDelay is the delay of a retry that the retry budget has no room
// for.
const retryBudgetDelay = 200 * time.Millisecond

// rebalance updates the arrival and service rates of each band once per
// rebalanceInterval and lets the router reassign the replicas for short
// prompts. It runs on the tick after the queue was dispatched, so that the
// calls still queued are those for which there was no capacity.
func (d *dispatcher) rebalance(now snipeford.Instant) {
	elapsed := now.Sub(d.rebalancedAt)
	if elapsed < rebalanceInterval {
		return
	}
	d.rebalancedAt = now
	for band, tokens := range d.arrivedTokens {
		rate := snipeford.TokensPerSecond(float64(tokens) / elapsed.Seconds())
		d.arrivalRate[band] += arrivalRateSmoothing * (rate - d.arrivalRate[band])
		d.arrivedTokens[band] = 0
	}
	for band, tokens := range d.dispatchedTokens {
		rate := snipeford.TokensPerSecond(float64(tokens) / elapsed.Seconds())
		backlogged := d.queue.Backlog(snipeford.LengthBand(band)) > 0
		if rate > d.serviceRate[band] || backlogged {
			d.serviceRate[band] += serviceRateSmoothing * (rate - d.serviceRate[band])
		}
		d.backloggedSeconds[band]++
		if !backlogged {
			d.backloggedSeconds[band] = 0
		}
		d.dispatchedTokens[band] = 0
	}
	d.router.DedicateReplicas(d.views, d.arrivalRate)
}

// pick returns the replicas for a call, or nil if the call has to wait.
func (d *dispatcher) pick(now snipeford.Instant, w *snipeford.QueuedCall) []*replica {
	if w.Memory() > 0 && w.Memory() > d.largestMemory()-shortPromptReserve {
		return d.pickReserved(now, w)
	}
	chosen := d.router.Pick(w, d.views, d.affinity.CachedTokens(w.Prefix))
	if chosen == nil {
		if w.Band() == snipeford.BandHuge {
			return d.pickReserved(now, w)
		}
		return nil
	}
	d.cancelReservation(w.ID)
	for _, r := range d.replicas {
		if &r.Replica == chosen {
			return []*replica{r}
		}
	}
	return nil
}

// send dispatches a queued call to the replicas and starts its accounting.
func (s *State) send(now snipeford.Instant, g *group, w *snipeford.QueuedCall, replicas []*replica) {
	d := g.dispatcher
	if w.Attempts > 0 {
		s.retries.Take()
	}
	w.Attempts++
	d.dispatchedTokens[w.Band()] += w.Work()
	a := &attempt{call: w, replicas: replicas, started: now, soloPrefill: true}
	effect := Dispatch{
		Call:        w.ID,
		Priority:    priority(d.router, w, len(replicas)),
		Fence:       d.fence,
		StartBefore: s.startBefore(now),
		Offset:      w.Offset,
		Attempt:     w.Attempts,
		QueueTime:   now.Sub(w.Arrival),
	}
	memory := w.Memory() / snipeford.Tokens(len(replicas))
	prompt := w.Prompt / snipeford.Tokens(len(replicas))
	for i, r := range replicas {
		a.soloPrefill = a.soloPrefill && r.longPrefills == 0 && len(replicas) == 1
		r.addCall(memory)
		from := prompt * snipeford.Tokens(i)
		to := from + prompt
		if i == len(replicas)-1 {
			to = w.Prompt
		}
		effect.Parts = append(effect.Parts, PromptPart{r.upstream, from, to})
	}
	replicas[0].startPrefill(w, prompt)
	if len(replicas) == 1 {
		d.affinity.Add(w.Prefix, replicas[0].ID)
	}
	d.running[w.ID] = a
	s.emit(effect)
}

// priority returns the engine priority of a call: that of the router, but at most
// multiEnginePriority if the call holds memory on several engines.
func priority(router snipeford.Router, w *snipeford.QueuedCall, replicas int) int {
	p := router.Priority(w)
	if replicas > 1 {
		return min(p, multiEnginePriority)
	}
	return p
}

// multiEnginePriority is the engine priority of a prompt that spans several
// engines. The router MovingSplit gives short prompts 0 or 1, other prompts of
// organisations with low usage 2, and all others 4.
const multiEnginePriority = 3
