package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/retry"
)

// running is one dispatched call.
type running struct {
	w     *snipeford.QueuedCall
	parts []*replica
	// part is the index of the part that is being prefilled.
	part    int
	started snipeford.Instant
	first   bool
	alone   bool
}

// partPrompt returns the prompt work of one part.
func (run *running) partPrompt() snipeford.Tokens {
	return run.w.Prompt / snipeford.Tokens(len(run.parts))
}

// partStarted moves a call's prompt work to its next part.
func (s *State) partStarted(e PromptPartStarted) {
	_, run := s.find(e.Call)
	if run == nil || run.first || e.Part <= run.part || e.Part >= len(run.parts) {
		return
	}
	run.parts[run.part].prefilled(run.w, run.partPrompt())
	run.part = e.Part
	run.parts[run.part].prefilling(run.w, run.partPrompt())
}

func (s *State) firstToken(now snipeford.Instant, id snipeford.CallID) {
	g, run := s.find(id)
	if run == nil || run.first {
		return
	}
	run.first = true
	run.parts[run.part].prefilled(run.w, run.partPrompt())
	last := run.parts[len(run.parts)-1]
	took := now.Sub(run.started)
	if run.alone && run.w.Prompt >= rateFrom {
		seen := float64(run.w.Prompt) / took.Seconds()
		last.PrefillRate += snipeford.TokensPerSecond(rateSmoothing * (seen - float64(last.PrefillRate)))
	}
	expected := time.Duration(float64(run.w.Prompt)/float64(firstRate)*float64(time.Second)) + firstTokenGrace
	last.window.Succeeded(now, took, expected)
	last.failures, last.pausedUntil = 0, 0
	s.dispatch(now, g)
}

// release takes a call off its replicas.
func (g *group) release(run *running) {
	if !run.first {
		run.parts[run.part].prefilled(run.w, run.partPrompt())
	}
	memory := run.w.Memory() / snipeford.Tokens(len(run.parts))
	for _, r := range run.parts {
		r.own--
		r.Committed -= memory
	}
	delete(g.dispatcher.running, run.w.ID)
}

func (s *State) attemptEnded(now snipeford.Instant, e AttemptEnded) {
	g, run := s.find(e.Call)
	if run == nil {
		s.orphanEnded(e)
		return
	}
	g.release(run)
	w := run.w
	c := g.dispatcher.calls[e.Call]
	switch e.End {
	case snipeford.EndDone:
		s.learnOutput(w.Organisation, c.MaxOutput, e.Offset)
		s.forget(g, e.Call)
		s.emit(Complete{e.Call})
	case snipeford.EndCancelled:
		s.forget(g, e.Call)
	default:
		s.failed(now, g, run, c, e)
	}
	s.dispatch(now, g)
}

// orphanEnded ends a call whose group was handed over while it ran.
func (s *State) orphanEnded(e AttemptEnded) {
	switch e.End {
	case snipeford.EndDone:
		s.emit(Complete{e.Call})
	case snipeford.EndUnsent:
		s.emit(ReturnToEntry{e.Call, snipeford.Group{}, snipeford.CauseNotHome, snipeford.NotRun, 0})
	case snipeford.EndCancelled:
	default:
		s.emit(ReturnToEntry{e.Call, snipeford.Group{}, snipeford.CauseUpstreamFailed, snipeford.Unknown, comeBackSoon})
	}
}

// failed queues a lost call again where it may be, or sends it back.
func (s *State) failed(now snipeford.Instant, g *group, run *running, c snipeford.Call, e AttemptEnded) {
	w := run.w
	for _, r := range run.parts {
		if e.End == snipeford.EndRejected {
			r.window.Rejected(now)
			continue
		}
		r.window.Failed(now)
		r.pause(now)
	}
	unsent := e.End == snipeford.EndUnsent
	w.Offset = max(w.Offset, e.Offset)
	w.NotBefore = retry.NextAttemptTime(now, w.Attempts, c.Seed)
	allowed := c.Idempotent || unsent
	if allowed && w.NotBefore < c.Deadline && g.dispatcher.usable() > 0 && retry.Allowed(w.Attempts) {
		w.QueueDeadline = max(w.QueueDeadline, min(now.Add(retryWait), c.Deadline))
		g.dispatcher.queue.Push(w)
		return
	}
	s.forget(g, e.Call)
	outcome := snipeford.Unknown
	if unsent && w.Attempts == 1 {
		outcome = snipeford.NotRun
	}
	s.emit(ReturnToEntry{e.Call, g.name, snipeford.CauseUpstreamFailed, outcome, comeBackSoon})
}

// retryWait is the least time that a retried call may wait in the queue.
const retryWait = 15 * time.Second
