package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/retry"
)

// attempt is one dispatch of a call to one or more replicas.
type attempt struct {
	call     *snipeford.QueuedCall
	replicas []*replica
	// partIndex is the index of the replica that prefills its part of the
	// prompt now.
	partIndex int
	started   snipeford.Instant
	// firstTokenSeen is set once the response's first token arrived.
	firstTokenSeen bool
	// soloPrefill is set if the call has one replica and no other prompt longer
	// than the short band was being prefilled there at dispatch.
	soloPrefill bool
}

// partTokens returns the number of prompt tokens in each part but the last, which
// also has the remainder.
func (a *attempt) partTokens() snipeford.Tokens {
	return a.call.Prompt / snipeford.Tokens(len(a.replicas))
}

// promptPartStarted moves the prefill accounting of a call to the replica of
// its next prompt part.
func (s *State) promptPartStarted(e PromptPartStarted) {
	_, a := s.findAttempt(e.Call)
	if a == nil || a.firstTokenSeen || e.Part <= a.partIndex || e.Part >= len(a.replicas) {
		return
	}
	a.replicas[a.partIndex].endPrefill(a.call, a.partTokens())
	a.partIndex = e.Part
	a.replicas[a.partIndex].startPrefill(a.call, a.partTokens())
}

// firstTokenReceived ends the prefill accounting of an attempt, updates the
// learned prefill rate and reports the latency to the replica's window, together
// with the latency expected at initialPrefillRate rather than at the learned rate.
func (s *State) firstTokenReceived(now snipeford.Instant, id snipeford.CallID) {
	g, a := s.findAttempt(id)
	if a == nil || a.firstTokenSeen {
		return
	}
	a.firstTokenSeen = true
	a.replicas[a.partIndex].endPrefill(a.call, a.partTokens())
	last := a.replicas[len(a.replicas)-1]
	elapsed := now.Sub(a.started)
	if a.soloPrefill && a.call.Prompt >= minRateSampleTokens {
		observed := float64(a.call.Prompt) / elapsed.Seconds()
		last.PrefillRate += snipeford.TokensPerSecond(prefillRateSmoothing * (observed - float64(last.PrefillRate)))
	}
	expected := time.Duration(float64(a.call.Prompt)/float64(initialPrefillRate)*float64(time.Second)) + firstTokenOverhead
	last.window.Succeeded(now, elapsed, expected)
	last.consecutiveFailures, last.pausedUntil = 0, 0
	s.dispatch(now, g)
}

// release removes an attempt from the accounting of its replicas.
func (g *group) release(a *attempt) {
	if !a.firstTokenSeen {
		a.replicas[a.partIndex].endPrefill(a.call, a.partTokens())
	}
	memory := a.call.Memory() / snipeford.Tokens(len(a.replicas))
	for _, r := range a.replicas {
		r.ownRunning--
		r.Committed -= memory
	}
	delete(g.dispatcher.running, a.call.ID)
}

// attemptEnded completes, drops or retries a call after its attempt has ended.
func (s *State) attemptEnded(now snipeford.Instant, e AttemptEnded) {
	g, a := s.findAttempt(e.Call)
	if a == nil {
		s.orphanAttemptEnded(e)
		return
	}
	g.release(a)
	q := a.call
	c := g.dispatcher.calls[e.Call]
	switch e.End {
	case snipeford.EndDone:
		s.learnOutput(q.Organisation, c.MaxOutput, e.Offset)
		s.untrackCall(g, e.Call)
		s.emit(Complete{e.Call})
	case snipeford.EndCancelled:
		s.untrackCall(g, e.Call)
	default:
		s.attemptFailed(now, g, a, c, e)
	}
	s.dispatch(now, g)
}

// orphanAttemptEnded ends a call whose group was transferred to another home
// while the attempt ran.
func (s *State) orphanAttemptEnded(e AttemptEnded) {
	switch e.End {
	case snipeford.EndDone:
		s.emit(Complete{e.Call})
	case snipeford.EndUnsent:
		s.emit(ReturnToEntry{e.Call, snipeford.Group{}, snipeford.CauseNotHome, snipeford.NotRun, 0})
	case snipeford.EndCancelled:
	default:
		s.emit(ReturnToEntry{e.Call, snipeford.Group{}, snipeford.CauseUpstreamFailed, snipeford.Unknown, defaultRetryAfter})
	}
}

// attemptFailed queues a call for a retry if that is allowed, or returns it to
// its entry node.
func (s *State) attemptFailed(now snipeford.Instant, g *group, a *attempt, c snipeford.Call, e AttemptEnded) {
	q := a.call
	for _, r := range a.replicas {
		if e.End == snipeford.EndRejected {
			r.window.Rejected(now)
			continue
		}
		r.window.Failed(now)
		r.pause(now)
	}
	unsent := e.End == snipeford.EndUnsent
	q.Offset = max(q.Offset, e.Offset)
	q.NotBefore = retry.NextAttemptTime(now, q.Attempts, c.Seed)
	allowed := c.Idempotent || unsent
	if allowed && q.NotBefore < c.Deadline && g.dispatcher.usableCount() > 0 && retry.Allowed(q.Attempts) {
		q.QueueDeadline = max(q.QueueDeadline, min(now.Add(minRetryQueueTime), c.Deadline))
		g.dispatcher.queue.Push(q)
		return
	}
	s.untrackCall(g, e.Call)
	outcome := snipeford.Unknown
	if unsent && q.Attempts == 1 {
		outcome = snipeford.NotRun
	}
	s.emit(ReturnToEntry{e.Call, g.name, snipeford.CauseUpstreamFailed, outcome, defaultRetryAfter})
}

// minRetryQueueTime is the least time that a retried call may wait in the
// queue.
const minRetryQueueTime = 15 * time.Second
