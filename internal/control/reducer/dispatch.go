package reducer

import (
	"time"

	"snipeford"
)

// dispatch sends what the policies place now.
func (s *State) dispatch(now snipeford.Instant, g *group) {
	d := g.dispatcher
	if d.queue.Len() == 0 || !s.holds(now, g) {
		return
	}
	for _, r := range d.replicas {
		r.refresh(now)
	}
	s.sendClaimant(now, g)
	for d.queue.Len() > 0 {
		var parts []*replica
		postponed := false
		w := d.queue.PopFirst(now, func(w *snipeford.QueuedCall) bool {
			if postponed = s.postpone(now, w); postponed {
				return false
			}
			parts = d.pick(now, w)
			return parts != nil
		})
		if w == nil && postponed {
			continue
		}
		if w == nil {
			return
		}
		s.send(now, g, w, parts)
	}
}

// postpone puts a retry off where the budget has no room for it now.
func (s *State) postpone(now snipeford.Instant, w *snipeford.QueuedCall) bool {
	if w.Attempts == 0 || s.retries.CanTake() {
		return false
	}
	w.NotBefore = now.Add(retryPause)
	return true
}

// retryPause is the time after which a retry without budget is offered again.
const retryPause = 200 * time.Millisecond

// arrange learns from the last second and lets the router move its split with
// the load. It runs by the tick, after the queue was served, so that what still
// waits is what could not be served.
func (d *dispatcher) arrange(now snipeford.Instant) {
	elapsed := now.Sub(d.arranged)
	if elapsed < arrangeEvery {
		return
	}
	d.arranged = now
	for band, tokens := range d.arriving {
		rate := snipeford.TokensPerSecond(float64(tokens) / elapsed.Seconds())
		d.load[band] += loadSmoothing * (rate - d.load[band])
		d.arriving[band] = 0
	}
	for band, tokens := range d.sent {
		rate := snipeford.TokensPerSecond(float64(tokens) / elapsed.Seconds())
		waits := d.queue.Backlog(snipeford.LengthBand(band)) > 0
		if rate > d.pace[band] || waits {
			d.pace[band] += paceSmoothing * (rate - d.pace[band])
		}
		d.pressed[band]++
		if !waits {
			d.pressed[band] = 0
		}
		d.sent[band] = 0
	}
	d.router.AssignShortReplicas(d.views, d.load)
}

// pick returns the replicas for a call, or nil where it has to wait.
func (d *dispatcher) pick(now snipeford.Instant, w *snipeford.QueuedCall) []*replica {
	if w.Memory() > 0 && w.Memory() > d.largest()-shortReserve {
		return d.pickReserved(now, w)
	}
	chosen := d.router.Pick(w, d.views, d.affinity.CachedTokens(w.Prefix))
	if chosen == nil {
		if w.Band() == snipeford.BandHuge {
			return d.pickReserved(now, w)
		}
		return nil
	}
	d.unclaim(w.ID)
	for _, r := range d.replicas {
		if &r.Replica == chosen {
			return []*replica{r}
		}
	}
	return nil
}

// send makes a waiting call a running one.
func (s *State) send(now snipeford.Instant, g *group, w *snipeford.QueuedCall, parts []*replica) {
	d := g.dispatcher
	if w.Attempts > 0 {
		s.retries.Take()
	}
	w.Attempts++
	d.sent[w.Band()] += w.Work()
	run := &running{w: w, parts: parts, started: now, alone: true}
	effect := Dispatch{
		Call:        w.ID,
		Priority:    priority(d.router, w, len(parts)),
		Fence:       d.fence,
		StartBefore: s.until(now),
		Offset:      w.Offset,
		Attempt:     w.Attempts,
		QueueTime:   now.Sub(w.Arrival),
	}
	memory := w.Memory() / snipeford.Tokens(len(parts))
	prompt := w.Prompt / snipeford.Tokens(len(parts))
	for i, r := range parts {
		run.alone = run.alone && r.longs == 0 && len(parts) == 1
		r.take(memory)
		from := prompt * snipeford.Tokens(i)
		to := from + prompt
		if i == len(parts)-1 {
			to = w.Prompt
		}
		effect.Parts = append(effect.Parts, PromptPart{r.upstream, from, to})
	}
	parts[0].prefilling(w, prompt)
	if len(parts) == 1 {
		d.affinity.Add(w.Prefix, parts[0].ID)
	}
	d.running[w.ID] = run
	s.emit(effect)
}

// priority returns the engine priority of a call: one that holds the memory of
// several engines goes before all others but the short ones.
func priority(router snipeford.Router, w *snipeford.QueuedCall, parts int) int {
	p := router.Priority(w)
	if parts > 1 {
		return min(p, severalPriority)
	}
	return p
}

// severalPriority is the engine priority of a prompt that spans several engines.
const severalPriority = 3
