package virtual

import (
	"errors"
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/control/reducer"
	"snipeford/internal/emulate/answer"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/experiment/arrival"
)

// reservationTimeout is the time after which engines drop a reservation that was
// not released.
const reservationTimeout = 120 * time.Second

// dispatch starts an attempt on one engine, or on several that prefill parts of
// the prompt.
func (s *Simulation) dispatch(e reducer.Dispatch) {
	c := s.requests[e.Call]
	s.Dispatches++
	if c == nil || c.ended {
		s.applyLater(reducer.AttemptEnded{Call: e.Call, End: snipeford.EndCancelled})
		return
	}
	a := &attempt{state: c, effect: e, id: snipeford.AttemptID(fmt.Sprint(e.Call, "/", e.Attempt))}
	for _, p := range e.Parts {
		a.engines = append(a.engines, s.engines[p.Upstream.ID])
	}
	c.currentAttempt = a
	s.results[c.index].Waited = s.clock.now.Sub(c.started)
	if len(a.engines) > 1 && !s.reserve(a) {
		s.endAttempt(a, snipeford.EndRejected)
		return
	}
	s.submit(a)
}

func (s *Simulation) reserve(a *attempt) bool {
	memory := (a.state.call.Prompt+a.state.call.MaxOutput)/snipeford.Tokens(len(a.engines)) + 1
	for _, r := range a.engines {
		if r.stopped || r.engine.Reserve(a.id, memory, s.clock.now.Add(reservationTimeout)) != nil {
			return false
		}
	}
	return true
}

// submit submits the next part of the attempt to its engine.
func (s *Simulation) submit(a *attempt) {
	r := a.engines[a.part]
	if r.stopped {
		s.endAttempt(a, snipeford.EndBroken)
		return
	}
	part := a.effect.Parts[a.part]
	j := &batch.Job{ID: a.id, Prompt: part.To - part.From, Priority: a.effect.Priority, PrefillOnly: a.part < len(a.engines)-1}
	if len(a.engines) == 1 {
		j.Prefix = a.state.request.BlockHashes()
		s.countSharedPrefix(r, a.state.request)
	}
	if !j.PrefillOnly {
		j.Output = answer.Of(string(a.state.call.ID)).Length(a.state.call.MaxOutput)
		j.Offset = a.effect.Offset
	}
	lost, err := r.engine.Submit(j)
	s.failJobs(r, lost)
	if err != nil {
		end := snipeford.EndRejected
		if errors.Is(err, batch.ErrOverloadRestart) {
			end = snipeford.EndBroken
		}
		s.endAttempt(a, end)
		return
	}
	r.jobs[j] = a
	s.startStep(r)
}

// startStep starts the next step of an engine that is not running one.
func (s *Simulation) startStep(r *engineState) {
	if r.busy || r.stopped {
		return
	}
	d, ok := r.engine.BeginStep()
	if !ok {
		return
	}
	r.busy = true
	epoch := r.engine.RestartCount()
	s.clock.schedule(s.clock.now.Add(d), func() {
		r.busy = false
		s.Steps++
		if !r.stopped && r.engine.RestartCount() == epoch {
			s.finishStep(r)
		}
		s.startStep(r)
	})
}

func (s *Simulation) finishStep(r *engineState) {
	for _, e := range r.engine.EndStep() {
		a := r.jobs[e.Job]
		if a == nil || a.ended {
			continue
		}
		s.handleEvent(r, a, e)
	}
}

func (s *Simulation) handleEvent(r *engineState, a *attempt, e batch.Event) {
	if e.Job.PrefillOnly {
		delete(r.jobs, e.Job)
		a.part++
		s.applyLater(reducer.PromptPartStarted{Call: a.state.call.ID, Part: a.part})
		s.submit(a)
		return
	}
	s.recordToken(a)
	if e.Done {
		delete(r.jobs, e.Job)
		s.endAttempt(a, snipeford.EndDone)
	}
}

// recordToken records the time of an output token.
func (s *Simulation) recordToken(a *attempt) {
	o := &s.results[a.state.index]
	now := s.clock.now
	if o.TimeToFirstToken == 0 {
		o.TimeToFirstToken = now.Sub(a.state.started)
	} else {
		o.Gaps = append(o.Gaps, now.Sub(a.state.lastTokenAt))
	}
	a.state.lastTokenAt = now
	if !a.started {
		a.started = true
		s.applyLater(reducer.FirstTokenReceived{Call: a.state.call.ID})
	}
}

// endAttempt releases the engine memory of the attempt and reports its end to the
// reducer.
func (s *Simulation) endAttempt(a *attempt, end snipeford.AttemptEnd) {
	if a.ended {
		return
	}
	a.ended = true
	for _, r := range a.engines {
		r.engine.Release(a.id)
		s.removeJobs(r, a)
	}
	s.applyLater(reducer.AttemptEnded{Call: a.state.call.ID, End: end, Offset: s.receivedTokens(a)})
}

// receivedTokens returns the number of tokens that the caller has received.
func (s *Simulation) receivedTokens(a *attempt) snipeford.Tokens {
	o := s.results[a.state.index]
	if o.TimeToFirstToken == 0 {
		return 0
	}
	return snipeford.Tokens(len(o.Gaps) + 1)
}

func (s *Simulation) removeJobs(r *engineState, a *attempt) {
	for j, other := range r.jobs {
		if other == a {
			delete(r.jobs, j)
		}
	}
}

func (s *Simulation) cancel(id snipeford.CallID) {
	c := s.requests[id]
	if c == nil || c.currentAttempt == nil {
		s.applyLater(reducer.AttemptEnded{Call: id, End: snipeford.EndCancelled})
		return
	}
	s.endAttempt(c.currentAttempt, snipeford.EndCancelled)
}

// failJobs ends the attempts whose jobs an engine lost.
func (s *Simulation) failJobs(r *engineState, lost []*batch.Job) {
	for _, j := range lost {
		if a := r.jobs[j]; a != nil {
			s.endAttempt(a, snipeford.EndBroken)
		}
	}
}

// Stop stops an engine. Its attempts fail, and it accepts no requests.
func (s *Simulation) Stop(id snipeford.UpstreamID) {
	r := s.engines[id]
	r.stopped = true
	s.failJobs(r, r.engine.Restart())
}

// Start restarts a stopped engine. It is cold.
func (s *Simulation) Start(id snipeford.UpstreamID) {
	r := s.engines[id]
	r.stopped = false
	r.engine.Restart()
}

// SetCold makes an engine cold and clears its prefix cache. Its running requests
// continue and its incarnation stays the same. The reducer learns of it only from
// load reports.
func (s *Simulation) SetCold(id snipeford.UpstreamID) { s.engines[id].engine.SetCold() }

// countSharedPrefix counts the blocks of the request's shared prefix, which could
// be cached.
func (s *Simulation) countSharedPrefix(r *engineState, q arrival.Request) {
	if q.SharedPrefix > 0 {
		s.cacheableBlocks += sharedPrefixBlocks
	}
	if q.SharedPrefix == 1 {
		s.hottestRequests[r.id]++
	}
}
