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

// reservationTimeout is how long engines keep a reservation that is not released.
const reservationTimeout = 120 * time.Second

// dispatch starts an attempt on one engine, or on several that prefill parts of
// the prompt.
func (s *Simulation) dispatch(e reducer.Dispatch) {
	c := s.calls[e.Call]
	s.Dispatches++
	if c == nil || c.ended {
		s.applyLater(reducer.AttemptEnded{Call: e.Call, End: snipeford.EndCancelled})
		return
	}
	a := &attempt{call: c, effect: e, id: snipeford.AttemptID(fmt.Sprint(e.Call, "/", e.Attempt))}
	for _, p := range e.Parts {
		a.replicas = append(a.replicas, s.engines[p.Upstream.ID])
	}
	c.running = a
	s.results[c.index].Waited = s.clock.now.Sub(c.started)
	if len(a.replicas) > 1 && !s.reserve(a) {
		s.endAttempt(a, snipeford.EndRejected)
		return
	}
	s.submit(a)
}

func (s *Simulation) reserve(a *attempt) bool {
	memory := (a.call.call.Prompt+a.call.call.MaxOutput)/snipeford.Tokens(len(a.replicas)) + 1
	for _, r := range a.replicas {
		if r.stopped || r.engine.Reserve(a.id, memory, s.clock.now.Add(reservationTimeout)) != nil {
			return false
		}
	}
	return true
}

// submit submits the next part of the attempt to its engine.
func (s *Simulation) submit(a *attempt) {
	r := a.replicas[a.part]
	if r.stopped {
		s.endAttempt(a, snipeford.EndBroken)
		return
	}
	part := a.effect.Parts[a.part]
	j := &batch.Job{ID: a.id, Prompt: part.To - part.From, Priority: a.effect.Priority, PrefillOnly: a.part < len(a.replicas)-1}
	if len(a.replicas) == 1 {
		j.Prefix = a.call.request.BlockHashes()
		s.countSharedPrefix(r, a.call.request)
	}
	if !j.PrefillOnly {
		j.Output = answer.Of(string(a.call.call.ID)).Length(a.call.call.MaxOutput)
		j.Offset = a.effect.Offset
	}
	lost, err := r.engine.Submit(j)
	s.failJobs(r, lost)
	if err != nil {
		end := snipeford.EndRejected
		if errors.Is(err, batch.ErrCollapsed) {
			end = snipeford.EndBroken
		}
		s.endAttempt(a, end)
		return
	}
	r.jobs[j] = a
	s.startStep(r)
}

// startStep starts the next step of an engine that is not running one.
func (s *Simulation) startStep(r *replica) {
	if r.busy || r.stopped {
		return
	}
	d, ok := r.engine.BeginStep()
	if !ok {
		return
	}
	r.busy = true
	epoch := r.engine.Epoch()
	s.clock.schedule(s.clock.now.Add(d), func() {
		r.busy = false
		s.Steps++
		if !r.stopped && r.engine.Epoch() == epoch {
			s.finishStep(r)
		}
		s.startStep(r)
	})
}

func (s *Simulation) finishStep(r *replica) {
	for _, e := range r.engine.EndStep() {
		a := r.jobs[e.Job]
		if a == nil || a.ended {
			continue
		}
		s.handleEmission(r, a, e)
	}
}

func (s *Simulation) handleEmission(r *replica, a *attempt, e batch.Event) {
	if e.Job.PrefillOnly {
		delete(r.jobs, e.Job)
		a.part++
		s.applyLater(reducer.PromptPartStarted{Call: a.call.call.ID, Part: a.part})
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
	o := &s.results[a.call.index]
	now := s.clock.now
	if o.TimeToFirstToken == 0 {
		o.TimeToFirstToken = now.Sub(a.call.started)
	} else {
		o.Gaps = append(o.Gaps, now.Sub(a.call.lastTokenAt))
	}
	a.call.lastTokenAt = now
	if !a.started {
		a.started = true
		s.applyLater(reducer.FirstTokenReceived{Call: a.call.call.ID})
	}
}

// endAttempt releases the engine memory of the attempt and reports its end to the
// reducer.
func (s *Simulation) endAttempt(a *attempt, end snipeford.AttemptEnd) {
	if a.ended {
		return
	}
	a.ended = true
	for _, r := range a.replicas {
		r.engine.Release(a.id)
		s.removeJobs(r, a)
	}
	s.applyLater(reducer.AttemptEnded{Call: a.call.call.ID, End: end, Offset: s.receivedTokens(a)})
}

// receivedTokens returns the number of tokens that the caller has received.
func (s *Simulation) receivedTokens(a *attempt) snipeford.Tokens {
	o := s.results[a.call.index]
	if o.TimeToFirstToken == 0 {
		return 0
	}
	return snipeford.Tokens(len(o.Gaps) + 1)
}

func (s *Simulation) removeJobs(r *replica, a *attempt) {
	for j, other := range r.jobs {
		if other == a {
			delete(r.jobs, j)
		}
	}
}

func (s *Simulation) cancel(id snipeford.CallID) {
	c := s.calls[id]
	if c == nil || c.running == nil {
		s.applyLater(reducer.AttemptEnded{Call: id, End: snipeford.EndCancelled})
		return
	}
	s.endAttempt(c.running, snipeford.EndCancelled)
}

// failJobs ends the attempts whose jobs an engine lost.
func (s *Simulation) failJobs(r *replica, lost []*batch.Job) {
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

// SetCold makes an engine cold without notice. Its running requests continue.
func (s *Simulation) SetCold(id snipeford.UpstreamID) { s.engines[id].engine.SetCold() }

// countSharedPrefix counts the blocks of the request's shared prefix, which could
// be cached.
func (s *Simulation) countSharedPrefix(r *replica, q arrival.Request) {
	if q.SharedPrefix > 0 {
		s.cacheableBlocks += sharedPrefixBlocks
	}
	if q.SharedPrefix == 1 {
		s.hottestRequests[r.id]++
	}
}
