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

// reservedFor is how long engines keep a reservation that nobody releases.
const reservedFor = 120 * time.Second

// dispatch starts an attempt at one engine, or at several that share a prompt.
func (f *Fleet) dispatch(e reducer.Dispatch) {
	c := f.calls[e.Call]
	f.Dispatches++
	if c == nil || c.ended {
		f.later(reducer.AttemptEnded{Call: e.Call, End: snipeford.EndCancelled})
		return
	}
	a := &attempt{call: c, effect: e, id: snipeford.AttemptID(fmt.Sprint(e.Call, "/", e.Attempt))}
	for _, p := range e.Parts {
		a.hosts = append(a.hosts, f.engines[p.Upstream.ID])
	}
	c.running = a
	f.outcomes[c.number].Waited = f.clock.now.Sub(c.started)
	if len(a.hosts) > 1 && !f.reserve(a) {
		f.endAttempt(a, snipeford.EndRejected)
		return
	}
	f.submit(a)
}

func (f *Fleet) reserve(a *attempt) bool {
	memory := (a.call.call.Prompt+a.call.call.MaxOutput)/snipeford.Tokens(len(a.hosts)) + 1
	for _, h := range a.hosts {
		if h.stopped || h.engine.Reserve(a.id, memory, f.clock.now.Add(reservedFor)) != nil {
			return false
		}
	}
	return true
}

// submit gives the attempt's next part to its engine.
func (f *Fleet) submit(a *attempt) {
	h := a.hosts[a.part]
	if h.stopped {
		f.endAttempt(a, snipeford.EndBroken)
		return
	}
	part := a.effect.Parts[a.part]
	j := &batch.Job{ID: a.id, Prompt: part.To - part.From, Priority: a.effect.Priority, PrefillOnly: a.part < len(a.hosts)-1}
	if len(a.hosts) == 1 {
		j.Prefix = a.call.request.Blocks()
		f.countShared(h, a.call.request)
	}
	if !j.PrefillOnly {
		j.Output = answer.Of(string(a.call.call.ID)).Length(a.call.call.MaxOutput)
		j.Offset = a.effect.Offset
	}
	lost, err := h.engine.Submit(j)
	f.loseJobs(h, lost)
	if err != nil {
		end := snipeford.EndRejected
		if errors.Is(err, batch.ErrOverloadRestart) {
			end = snipeford.EndBroken
		}
		f.endAttempt(a, end)
		return
	}
	h.jobs[j] = a
	f.begin(h)
}

// begin starts an engine's next step where none runs.
func (f *Fleet) begin(h *host) {
	if h.busy || h.stopped {
		return
	}
	d, ok := h.engine.BeginStep()
	if !ok {
		return
	}
	h.busy = true
	epoch := h.engine.RestartCount()
	f.clock.at(f.clock.now.Add(d), func() {
		h.busy = false
		f.Steps++
		if !h.stopped && h.engine.RestartCount() == epoch {
			f.finishStep(h)
		}
		f.begin(h)
	})
}

func (f *Fleet) finishStep(h *host) {
	for _, e := range h.engine.EndStep() {
		a := h.jobs[e.Job]
		if a == nil || a.ended {
			continue
		}
		f.emitted(h, a, e)
	}
}

func (f *Fleet) emitted(h *host, a *attempt, e batch.Event) {
	if e.Job.PrefillOnly {
		delete(h.jobs, e.Job)
		a.part++
		f.later(reducer.PromptPartStarted{Call: a.call.call.ID, Part: a.part})
		f.submit(a)
		return
	}
	f.token(a)
	if e.Done {
		delete(h.jobs, e.Job)
		f.endAttempt(a, snipeford.EndDone)
	}
}

// token notes one answer token.
func (f *Fleet) token(a *attempt) {
	o := &f.outcomes[a.call.number]
	now := f.clock.now
	if o.FirstToken == 0 {
		o.FirstToken = now.Sub(a.call.started)
	} else {
		o.Gaps = append(o.Gaps, now.Sub(a.call.last))
	}
	a.call.last = now
	if !a.started {
		a.started = true
		f.later(reducer.FirstTokenReceived{Call: a.call.call.ID})
	}
}

// endAttempt frees what the attempt holds and tells the reducer.
func (f *Fleet) endAttempt(a *attempt, end snipeford.AttemptEnd) {
	if a.ended {
		return
	}
	a.ended = true
	for _, h := range a.hosts {
		h.engine.Release(a.id)
		f.drop(h, a)
	}
	f.later(reducer.AttemptEnded{Call: a.call.call.ID, End: end, Offset: f.emittedTokens(a)})
}

// emittedTokens returns how many tokens the caller has.
func (f *Fleet) emittedTokens(a *attempt) snipeford.Tokens {
	o := f.outcomes[a.call.number]
	if o.FirstToken == 0 {
		return 0
	}
	return snipeford.Tokens(len(o.Gaps) + 1)
}

func (f *Fleet) drop(h *host, a *attempt) {
	for j, other := range h.jobs {
		if other == a {
			delete(h.jobs, j)
		}
	}
}

func (f *Fleet) cancel(id snipeford.CallID) {
	c := f.calls[id]
	if c == nil || c.running == nil {
		f.later(reducer.AttemptEnded{Call: id, End: snipeford.EndCancelled})
		return
	}
	f.endAttempt(c.running, snipeford.EndCancelled)
}

// loseJobs breaks the attempts whose jobs an engine lost.
func (f *Fleet) loseJobs(h *host, lost []*batch.Job) {
	for _, j := range lost {
		if a := h.jobs[j]; a != nil {
			f.endAttempt(a, snipeford.EndBroken)
		}
	}
}

// Stop kills an engine: its attempts break, and it answers nothing.
func (f *Fleet) Stop(id snipeford.UpstreamID) {
	h := f.engines[id]
	h.stopped = true
	f.loseJobs(h, h.engine.Restart())
}

// Start brings a stopped engine back, cold.
func (f *Fleet) Start(id snipeford.UpstreamID) {
	h := f.engines[id]
	h.stopped = false
	h.engine.Restart()
}

// Chill makes an engine cold without notice: its running requests go on.
func (f *Fleet) Chill(id snipeford.UpstreamID) { f.engines[id].engine.SetCold() }

// countShared counts what of a request's prefix could be cached.
func (f *Fleet) countShared(h *host, q arrival.Request) {
	if q.Shared > 0 {
		f.shared += sharedBlocks
	}
	if q.Shared == 1 {
		f.hottest[h.id]++
	}
}
