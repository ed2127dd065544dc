// Package pass models the engines of the users' platform: they work in passes
// of token steps, read prompts in pieces between the tokens of others, and can
// read one prompt together. It is pure: time is an argument.
package pass

import (
	"slices"
	"time"

	"snipeford"
)

// Job is one request inside an engine.
type Job struct {
	ID      snipeford.RequestID
	Prompt  snipeford.Tokens
	Output  snipeford.Tokens
	Parts   int
	first   *Engine
	helpers []*Engine
	// unread is the part of the prompt that each engine still has to read.
	unread map[*Engine]float64
	// written counts the tokens of the answer.
	written snipeford.Tokens
	held    snipeford.Tokens
	share   snipeford.Tokens
}

// Event says that a job sent tokens at the end of a pass.
type Event struct {
	Job  *Job
	Done bool
	// Load is the engine's own word on its load.
	Load snipeford.EngineLoad
}

// Engine is one engine. Its clock runs only while it has work.
type Engine struct {
	Profile snipeford.EngineProfile
	// Slowdown multiplies all times; zero means one.
	Slowdown float64
	running  []*Job
	parts    []*Job
	waiting  []*Job
	memory   snipeford.Tokens
}

// Submit adds a job that the helpers read with the engine. Each sets share
// tokens of memory aside for it, or, where share is zero, the engine alone
// takes the whole prompt.
func (e *Engine) Submit(j *Job, helpers []*Engine, share snipeford.Tokens) {
	j.share = share
	if share > 0 {
		for _, h := range append([]*Engine{e}, helpers...) {
			h.memory += share
		}
	}
	j.first, j.helpers = e, helpers
	j.Parts = 1 + len(helpers)
	part := float64(j.Prompt) / float64(j.Parts)
	j.unread = map[*Engine]float64{e: part}
	for _, h := range helpers {
		j.unread[h] = part
		h.parts = append(h.parts, j)
	}
	e.waiting = append(e.waiting, j)
}

// Idle reports whether there is nothing to do.
func (e *Engine) Idle() bool {
	return len(e.running) == 0 && len(e.waiting) == 0 && len(e.parts) == 0
}

// Waiting returns how many jobs have not been admitted.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Running returns how many jobs have been admitted.
func (e *Engine) Running() int { return len(e.running) }

// admit gives slots and memory to waiting jobs in their order.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Profile.Slots {
		j := e.waiting[0]
		if j.share == 0 {
			if e.memory+j.Prompt > e.Profile.Memory {
				return
			}
			j.held = j.Prompt
			e.memory += j.held
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

// read reports whether the whole prompt has been read.
func (j *Job) read() bool {
	for _, left := range j.unread {
		if left > 0 {
			return false
		}
	}
	return true
}

// RunPass does one pass. It returns how long it takes, and the events at its end.
func (e *Engine) RunPass() (time.Duration, []Event) {
	e.admit()
	steps := 1
	if slices.ContainsFunc(e.running, (*Job).read) {
		steps = e.Profile.DecodeStepsPerPass
	}
	wrote := map[*Job]bool{}
	total := time.Duration(0)
	for range steps {
		total += e.step(wrote)
	}
	if e.Slowdown > 0 {
		total = time.Duration(float64(total) * e.Slowdown)
	}
	return total, e.events(wrote)
}

// step does one token step.
func (e *Engine) step(wrote map[*Job]bool) time.Duration {
	p := e.Profile
	took := p.StepTime
	for _, j := range e.running {
		if !j.read() || j.written >= j.Output {
			continue
		}
		j.written++
		wrote[j] = true
		took += p.StepTimePerSequence + time.Duration(float64(j.Prompt+j.written)/1000*float64(p.StepTimePerThousandTokens))
		if j.Parts > 1 {
			took += p.SharedPrefillStepTime
		}
	}
	return took + e.readChunk()
}

// readChunk reads up to a chunk of prompts, helpers' parts first.
func (e *Engine) readChunk() time.Duration {
	budget := float64(e.Profile.PrefillChunk)
	took := 0.0
	for _, list := range [][]*Job{e.parts, e.running} {
		for _, j := range list {
			left := j.unread[e]
			if left <= 0 || budget <= 0 {
				continue
			}
			n := min(left, budget)
			budget -= n
			j.unread[e] = left - n
			took += n/float64(e.Profile.PrefillRate)*float64(time.Second) + j.pairs(n)*float64(e.Profile.AttentionTimePerMillionPairs)
		}
	}
	e.parts = slices.DeleteFunc(e.parts, func(j *Job) bool { return j.unread[e] <= 0 })
	return time.Duration(took)
}

// pairs returns the millions of pairs that a piece of n tokens adds. Each part
// has its share of the pairs of the whole prompt.
func (j *Job) pairs(n float64) float64 {
	prompt := float64(j.Prompt)
	return n / prompt * prompt * prompt / 2 / 1e6
}

func (e *Engine) events(wrote map[*Job]bool) []Event {
	var out []Event
	load := snipeford.EngineLoad{Known: true, Running: len(e.running), Waiting: len(e.waiting)}
	for _, j := range e.running {
		if wrote[j] {
			out = append(out, Event{j, j.written >= j.Output, load})
		}
	}
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		done := j.written >= j.Output
		if done {
			e.free(j)
		}
		return done
	})
	return out
}

// Cancel drops a job whose caller has left, at its first engine and its helpers.
func (j *Job) Cancel() {
	e := j.first
	same := func(o *Job) bool { return o == j }
	for _, h := range j.helpers {
		h.parts = slices.DeleteFunc(h.parts, same)
	}
	e.free(j)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// free gives a job's memory back.
func (e *Engine) free(j *Job) {
	e.memory -= j.held
	if j.share > 0 {
		for _, h := range append([]*Engine{e}, j.helpers...) {
			h.memory -= j.share
		}
	}
}
