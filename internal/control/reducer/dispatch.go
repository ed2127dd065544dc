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
		q := d.queue.PopFirst(now, func(q *snipeford.QueuedCall) bool {
			if postponed = s.postpone(now, q); postponed {
				return false
			}
			replicas = d.pick(now, q)
			return replicas != nil
		})
		if q == nil && postponed {
			continue
		}
		if q == nil {
			return
		}
		s.send(now, g, q, replicas)
	}
}

// postpone delays a retry if the retry budget is used up, and reports whether
// it did.
func (s *State) postpone(now snipeford.Instant, q *snipeford.QueuedCall) bool {
	if q.Attempts == 0 || s.retries.CanTake() {
		return false
	}
	q.NotBefore = now.Add(retryBudgetDelay)
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
func (d *dispatcher) pick(now snipeford.Instant, q *snipeford.QueuedCall) []*replica {
	if q.Memory() > 0 && q.Memory() > d.largestMemory()-shortPromptReserve {
		return d.pickReserved(now, q)
	}
	chosen := d.router.Pick(q, d.views, d.affinity.CachedTokens(q.Prefix))
	if chosen == nil {
		if q.Band() == snipeford.BandHuge {
			return d.pickReserved(now, q)
		}
		return nil
	}
	d.cancelReservation(q.ID)
	for _, r := range d.replicas {
		if &r.Replica == chosen {
			return []*replica{r}
		}
	}
	return nil
}

// send dispatches a queued call to the replicas and starts its accounting.
func (s *State) send(now snipeford.Instant, g *group, q *snipeford.QueuedCall, replicas []*replica) {
	d := g.dispatcher
	if q.Attempts > 0 {
		s.retries.Take()
	}
	q.Attempts++
	d.dispatchedTokens[q.Band()] += q.Work()
	a := &attempt{call: q, replicas: replicas, started: now, soloPrefill: true}
	effect := Dispatch{
		Call:        q.ID,
		Priority:    priority(d.router, q, len(replicas)),
		Fence:       d.fence,
		StartBefore: s.startBefore(now),
		Offset:      q.Offset,
		Attempt:     q.Attempts,
		QueueTime:   now.Sub(q.Arrival),
	}
	memory := q.Memory() / snipeford.Tokens(len(replicas))
	prompt := q.Prompt / snipeford.Tokens(len(replicas))
	for i, r := range replicas {
		a.soloPrefill = a.soloPrefill && r.nonShortPrefills == 0 && len(replicas) == 1
		r.addCall(memory)
		from := prompt * snipeford.Tokens(i)
		to := from + prompt
		if i == len(replicas)-1 {
			to = q.Prompt
		}
		effect.Parts = append(effect.Parts, PromptPart{r.upstream, from, to})
	}
	replicas[0].startPrefill(q, prompt)
	if len(replicas) == 1 {
		d.affinity.Add(q.Prefix, replicas[0].ID)
	}
	d.running[q.ID] = a
	s.emit(effect)
}

// priority returns the engine priority of a call: that of the router, but at most
// multiEnginePriority if the call holds memory on several engines.
func priority(router snipeford.Router, q *snipeford.QueuedCall, replicas int) int {
	p := router.Priority(q)
	if replicas > 1 {
		return min(p, multiEnginePriority)
	}
	return p
}

// multiEnginePriority is the engine priority of a prompt that spans several
// engines. The router MovingSplit gives short prompts 0 or 1, other prompts of
// organisations with low usage 2, and all others 4.
const multiEnginePriority = 3
