// Package pass models the engines of the users' platform: they run in passes of
// several decode steps, prefill prompts in chunks between the decode steps of other
// requests, and several engines can share the prefill of one prompt. It does no I/O and
// reads no clock.
package pass

import (
	"slices"
	"time"

	"snipeford"
)

// Job is a request to an engine. PrefillParts is the number of engines that share its
// prefill, in equal parts.
type Job struct {
	ID            snipeford.RequestID
	Prompt        snipeford.Tokens
	Output        snipeford.Tokens
	PrefillParts  int
	primaryEngine *Engine
	helpers       []*Engine
	// remainingPrefill is the number of prompt tokens that each engine still has to
	// prefill.
	remainingPrefill map[*Engine]float64
	// decodedTokens is the number of output tokens so far.
	decodedTokens  snipeford.Tokens
	reservedMemory snipeford.Tokens
	memoryShare    snipeford.Tokens
}

// Event reports that a job emitted tokens at the end of a pass.
type Event struct {
	Job  *Job
	Done bool
	// Load is the load that the engine reports.
	Load snipeford.EngineLoad
}

// Engine is an emulated engine.
type Engine struct {
	Profile snipeford.EngineProfile
	// Slowdown is the factor by which all durations are multiplied; zero means one.
	Slowdown   float64
	running    []*Job
	helping    []*Job
	waiting    []*Job
	memoryUsed snipeford.Tokens
}

// Submit adds a job whose prefill the engine shares with the helpers. Each of these
// engines reserves memoryShare tokens of memory for it. If memoryShare is zero, only
// this engine uses memory, for the whole prompt, once the job is admitted.
func (e *Engine) Submit(j *Job, helpers []*Engine, memoryShare snipeford.Tokens) {
	j.memoryShare = memoryShare
	if memoryShare > 0 {
		for _, h := range append([]*Engine{e}, helpers...) {
			h.memoryUsed += memoryShare
		}
	}
	j.primaryEngine, j.helpers = e, helpers
	j.PrefillParts = 1 + len(helpers)
	part := float64(j.Prompt) / float64(j.PrefillParts)
	j.remainingPrefill = map[*Engine]float64{e: part}
	for _, h := range helpers {
		j.remainingPrefill[h] = part
		h.helping = append(h.helping, j)
	}
	e.waiting = append(e.waiting, j)
}

// Idle reports whether the engine has no work.
func (e *Engine) Idle() bool {
	return len(e.running) == 0 && len(e.waiting) == 0 && len(e.helping) == 0
}

// Waiting returns the number of jobs that wait for admission.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Running returns the number of admitted jobs.
func (e *Engine) Running() int { return len(e.running) }

// admit allocates slots and memory to the waiting jobs in their order.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Profile.Slots {
		j := e.waiting[0]
		if j.memoryShare == 0 {
			if e.memoryUsed+j.Prompt > e.Profile.Memory {
				return
			}
			j.reservedMemory = j.Prompt
			e.memoryUsed += j.reservedMemory
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

// prefilled reports whether all engines have completed their part of the prefill.
func (j *Job) prefilled() bool {
	for _, remaining := range j.remainingPrefill {
		if remaining > 0 {
			return false
		}
	}
	return true
}

// RunPass runs one pass and returns its duration and the events at its end.
func (e *Engine) RunPass() (time.Duration, []Event) {
	e.admit()
	steps := 1
	if slices.ContainsFunc(e.running, (*Job).prefilled) {
		steps = e.Profile.DecodeStepsPerPass
	}
	decoded := map[*Job]bool{}
	total := time.Duration(0)
	for range steps {
		total += e.runStep(decoded)
	}
	if e.Slowdown > 0 {
		total = time.Duration(float64(total) * e.Slowdown)
	}
	return total, e.finishPass(decoded)
}

// runStep runs one step, which decodes a token of each prefilled job and prefills a
// chunk of prompt tokens.
func (e *Engine) runStep(decoded map[*Job]bool) time.Duration {
	p := e.Profile
	took := p.StepTime
	for _, j := range e.running {
		if !j.prefilled() || j.decodedTokens >= j.Output {
			continue
		}
		j.decodedTokens++
		decoded[j] = true
		took += p.StepTimePerSequence + time.Duration(float64(j.Prompt+j.decodedTokens)/1000*float64(p.StepTimePerThousandTokens))
		if j.PrefillParts > 1 {
			took += p.SharedPrefillStepTime
		}
	}
	return took + e.prefillChunk()
}

// prefillChunk prefills at most one chunk of prompt tokens, first for jobs that this
// engine helps.
func (e *Engine) prefillChunk() time.Duration {
	budget := float64(e.Profile.PrefillChunk)
	took := 0.0
	for _, list := range [][]*Job{e.helping, e.running} {
		for _, j := range list {
			remaining := j.remainingPrefill[e]
			if remaining <= 0 || budget <= 0 {
				continue
			}
			n := min(remaining, budget)
			budget -= n
			j.remainingPrefill[e] = remaining - n
			took += n/float64(e.Profile.PrefillRate)*float64(time.Second) + j.millionPairs(n)*float64(e.Profile.AttentionTimePerMillionPairs)
		}
	}
	e.helping = slices.DeleteFunc(e.helping, func(j *Job) bool { return j.remainingPrefill[e] <= 0 })
	return time.Duration(took)
}

// millionPairs returns the attention pairs, in millions, of n tokens of the prompt. The
// pairs of the whole prompt are spread evenly over its tokens.
func (j *Job) millionPairs(n float64) float64 {
	prompt := float64(j.Prompt)
	return n / prompt * prompt * prompt / 2 / 1e6
}

func (e *Engine) finishPass(decoded map[*Job]bool) []Event {
	var out []Event
	load := snipeford.EngineLoad{Known: true, Running: len(e.running), Waiting: len(e.waiting)}
	for _, j := range e.running {
		if decoded[j] {
			out = append(out, Event{j, j.decodedTokens >= j.Output, load})
		}
	}
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		done := j.decodedTokens >= j.Output
		if done {
			e.free(j)
		}
		return done
	})
	return out
}

// Cancel removes a job whose caller has disconnected, both at its primary engine and
// at its helpers.
func (j *Job) Cancel() {
	e := j.primaryEngine
	same := func(o *Job) bool { return o == j }
	for _, h := range j.helpers {
		h.helping = slices.DeleteFunc(h.helping, same)
	}
	e.free(j)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// free frees the memory of a job.
func (e *Engine) free(j *Job) {
	e.memoryUsed -= j.reservedMemory
	if j.memoryShare > 0 {
		for _, h := range append([]*Engine{e}, j.helpers...) {
			h.memoryUsed -= j.memoryShare
		}
	}
}
