// Package batch models the performance of a model engine: continuous batching with a
// token budget, memory, prefix cache, priorities and cold start. It does no I/O and
// reads no clock, so that it runs both in virtual time and behind the emulated engine's
// HTTP server.
package batch

import (
	"errors"
	"math"
	"slices"
	"time"

	"snipeford"
)

// Errors of Submit and Reserve.
var (
	// ErrOverload means that the engine is at its concurrency limit.
	ErrOverload = errors.New("engine is at its concurrency limit")
	// ErrOutOfMemory means that a job is larger than the engine's memory. Reserve also
	// returns it if too little memory is free for the reservation.
	ErrOutOfMemory = errors.New("larger than engine memory")
	// ErrOverloadRestart means that the engine restarted because of overload and lost all
	// its jobs.
	ErrOverloadRestart = errors.New("engine restarted because of overload")
)

// BlockTokens is the length of one prefix cache block.
const BlockTokens snipeford.Tokens = 512

// Config is the speed and capacity of an engine. Zero fields mean defaults.
//
// A step takes StepTime plus StepTimePerToken for each of at most MaxStepTokens tokens.
// Memory is the engine's memory and CacheTokens the prefix cache's size, in tokens.
// ColdConcurrencyLimit and WarmConcurrencyLimit are the maximum numbers of concurrent
// jobs at the start of the warm-up and after it. The warm-up takes WarmUpTokens
// processed tokens; meanwhile the duration of a step is multiplied by ColdSlowdown.
type Config struct {
	StepTime             time.Duration
	StepTimePerToken     time.Duration
	MaxStepTokens        snipeford.Tokens
	Memory               snipeford.Tokens
	CacheTokens          snipeford.Tokens
	ColdConcurrencyLimit int
	WarmConcurrencyLimit int
	WarmUpTokens         snipeford.Tokens
	ColdSlowdown         int
}

// WithDefaults sets the zero fields to their defaults: 77,000 prefill tokens a second,
// and a memory of less than half of a prompt of a million tokens.
func (c Config) WithDefaults() Config {
	c.StepTime = orDefault(c.StepTime, 8*time.Millisecond)
	c.StepTimePerToken = orDefault(c.StepTimePerToken, 9*time.Microsecond)
	c.MaxStepTokens = orDefault(c.MaxStepTokens, 2_048)
	c.Memory = orDefault(c.Memory, 400_000)
	c.CacheTokens = orDefault(c.CacheTokens, 100_000)
	c.ColdConcurrencyLimit = orDefault(c.ColdConcurrencyLimit, 2)
	c.WarmConcurrencyLimit = orDefault(c.WarmConcurrencyLimit, 64)
	c.WarmUpTokens = orDefault(c.WarmUpTokens, 200_000)
	c.ColdSlowdown = orDefault(c.ColdSlowdown, 2)
	return c
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// PrefillRate returns the prefill rate of an engine that only prefills.
func (c Config) PrefillRate() snipeford.TokensPerSecond {
	step := c.StepTime + time.Duration(c.MaxStepTokens)*c.StepTimePerToken
	return snipeford.TokensPerSecond(float64(c.MaxStepTokens) / step.Seconds())
}

// IdleTimeToFirstToken returns the time to first token on an idle engine.
func (c Config) IdleTimeToFirstToken(prompt snipeford.Tokens) time.Duration {
	steps := (prompt + c.MaxStepTokens - 1) / c.MaxStepTokens
	return time.Duration(steps)*c.StepTime + time.Duration(prompt)*c.StepTimePerToken
}

// Job is a request to an engine.
type Job struct {
	ID       snipeford.AttemptID
	Prompt   snipeford.Tokens
	Output   snipeford.Tokens
	Offset   snipeford.Tokens
	Priority int
	Prefix   []uint64
	// PrefillOnly ends the job after the prefill and keeps its memory until Release.
	// It is set for segments of a prompt that spans several engines.
	PrefillOnly bool

	arrivalNumber    uint64
	admitted         bool
	remainingPrefill snipeford.Tokens
	stepTokens       snipeford.Tokens
	decoding         bool
}

// Event reports an output token or the end of a job.
type Event struct {
	Job    *Job
	Offset snipeford.Tokens
	Done   bool
}

type reservation struct {
	tokens    snipeford.Tokens
	expiresAt snipeford.Instant
}

// Engine is an emulated model engine.
type Engine struct {
	config            Config
	jobs              []*Job
	reservations      map[snipeford.AttemptID]reservation
	memoryUsed        snipeford.Tokens
	cache             prefixCache
	lastArrivalNumber uint64
	processedTokens   snipeford.Tokens
	cold              bool
	stepJobs          []*Job
	restartCount      int
	// ExcessRequests counts the requests that exceeded the concurrency limit.
	ExcessRequests int
	// CacheHits counts the prefix blocks that were found in the cache.
	CacheHits int
	// OverloadRestarts counts the restarts because of overload.
	OverloadRestarts int
}

// New returns an engine, which starts cold if cold is set.
func New(config Config, cold bool) *Engine {
	config = config.WithDefaults()
	return &Engine{
		config:       config,
		cold:         cold,
		reservations: map[snipeford.AttemptID]reservation{},
		cache:        prefixCache{limit: int(config.CacheTokens / BlockTokens)},
	}
}

// Config returns the engine's configuration.
func (e *Engine) Config() Config { return e.config }

// RestartCount returns the number of restarts. A restart changes the incarnation.
func (e *Engine) RestartCount() int { return e.restartCount }

// Cold reports whether the engine is still warming up.
func (e *Engine) Cold() bool { return e.cold }

// ConcurrencyLimit returns the maximum number of concurrent jobs. While the engine is
// cold, it grows with the tokens that the engine has processed.
func (e *Engine) ConcurrencyLimit() int {
	if !e.cold {
		return e.config.WarmConcurrencyLimit
	}
	progress := float64(e.processedTokens) / float64(e.config.WarmUpTokens)
	span := float64(e.config.WarmConcurrencyLimit - e.config.ColdConcurrencyLimit)
	return e.config.ColdConcurrencyLimit + int(progress*progress*span)
}

// SetCold makes the engine cold and clears its prefix cache. The engine keeps its jobs,
// reservations and incarnation.
func (e *Engine) SetCold() {
	e.cold = true
	e.processedTokens = 0
	e.cache.clear()
}

// Restart drops all jobs, reservations and cached blocks and makes the engine cold. It
// returns the dropped jobs.
func (e *Engine) Restart() []*Job {
	lost := e.jobs
	e.jobs, e.stepJobs = nil, nil
	e.memoryUsed = 0
	e.reservations = map[snipeford.AttemptID]reservation{}
	e.restartCount++
	e.SetCold()
	return lost
}

// Submit adds a job. At the concurrency limit the engine rejects it, and at twice the
// limit it restarts and returns the lost jobs, which the caller must fail. The number
// of jobs can exceed the limit only after SetCold has lowered the limit.
func (e *Engine) Submit(j *Job) ([]*Job, error) {
	if j.Prompt+j.Output > e.config.Memory {
		return nil, ErrOutOfMemory
	}
	if len(e.jobs) >= e.ConcurrencyLimit() {
		e.ExcessRequests++
		if len(e.jobs) >= 2*e.ConcurrencyLimit() {
			e.OverloadRestarts++
			return e.Restart(), ErrOverloadRestart
		}
		return nil, ErrOverload
	}
	e.lastArrivalNumber++
	j.arrivalNumber = e.lastArrivalNumber
	e.jobs = append(e.jobs, j)
	return nil, nil
}

// Reserve reserves memory for a later job with the same ID until it expires. It renews
// an existing reservation without changing its size.
func (e *Engine) Reserve(id snipeford.AttemptID, n snipeford.Tokens, until snipeford.Instant) error {
	if old, ok := e.reservations[id]; ok {
		e.reservations[id] = reservation{old.tokens, until}
		return nil
	}
	if e.memoryUsed+n > e.config.Memory {
		return ErrOutOfMemory
	}
	e.memoryUsed += n
	e.reservations[id] = reservation{n, until}
	return nil
}

// Release cancels the job and frees the reservation of an ID.
func (e *Engine) Release(id snipeford.AttemptID) {
	e.Cancel(id)
	if r, ok := e.reservations[id]; ok {
		e.memoryUsed -= r.tokens
		delete(e.reservations, id)
	}
}

// Reservations returns the IDs of the reservations in ascending order.
func (e *Engine) Reservations() []snipeford.AttemptID {
	ids := make([]snipeford.AttemptID, 0, len(e.reservations))
	for id := range e.reservations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Expire releases the reservations that have expired. It also cancels their jobs if
// these are running.
func (e *Engine) Expire(now snipeford.Instant) {
	for id, r := range e.reservations {
		if r.expiresAt <= now {
			e.Release(id)
		}
	}
}

// Cancel removes a job and frees its memory, except reserved memory.
func (e *Engine) Cancel(id snipeford.AttemptID) {
	for i, j := range e.jobs {
		if j.ID != id {
			continue
		}
		e.jobs = slices.Delete(e.jobs, i, i+1)
		e.free(j)
		e.stepJobs = slices.DeleteFunc(e.stepJobs, func(s *Job) bool { return s == j })
		return
	}
}

func (e *Engine) free(j *Job) {
	_, reserved := e.reservations[j.ID]
	if j.admitted && !reserved {
		e.memoryUsed -= j.Prompt + j.Output
	}
	j.admitted = false
}

// Load returns the load that the engine reports.
func (e *Engine) Load() snipeford.LoadReport {
	l := snipeford.LoadReport{MemoryUsed: e.memoryUsed, MemorySize: e.config.Memory, Cold: e.cold}
	for _, j := range e.jobs {
		if !j.admitted {
			l.Waiting++
			l.PrefillBacklog += j.Prompt
			continue
		}
		l.Running++
		l.PrefillBacklog += j.remainingPrefill
	}
	return l
}

// BeginStep selects the jobs of the next step and returns its duration, or false if
// there are none.
func (e *Engine) BeginStep() (time.Duration, bool) {
	e.admit()
	budget := e.config.MaxStepTokens
	e.stepJobs = e.stepJobs[:0]
	for _, j := range e.jobs {
		if j.admitted && j.decoding && budget > 0 {
			j.stepTokens = 1
			budget--
			e.stepJobs = append(e.stepJobs, j)
		}
	}
	for _, j := range e.jobs {
		if !j.admitted || j.decoding || budget <= 0 {
			continue
		}
		j.stepTokens = min(j.remainingPrefill, budget)
		budget -= j.stepTokens
		e.stepJobs = append(e.stepJobs, j)
	}
	if len(e.stepJobs) == 0 {
		return 0, false
	}
	tokens := e.config.MaxStepTokens - budget
	d := e.config.StepTime + time.Duration(tokens)*e.config.StepTimePerToken
	if e.cold {
		d *= time.Duration(e.config.ColdSlowdown)
	}
	return d, true
}

// admit sorts the jobs by priority and arrival and allocates memory to them in this
// order, until a job does not fit.
func (e *Engine) admit() {
	slices.SortFunc(e.jobs, func(a, b *Job) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return int(a.arrivalNumber) - int(b.arrivalNumber)
	})
	for _, j := range e.jobs {
		if j.admitted {
			continue
		}
		if !e.allocate(j) {
			return
		}
		hit := e.cache.match(j.Prefix)
		e.CacheHits += hit
		j.remainingPrefill = max(1, j.Prompt-snipeford.Tokens(hit)*BlockTokens)
		j.admitted = true
	}
}

func (e *Engine) allocate(j *Job) bool {
	if _, reserved := e.reservations[j.ID]; reserved {
		return true
	}
	need := j.Prompt + j.Output
	if e.memoryUsed+need > e.config.Memory {
		return false
	}
	e.memoryUsed += need
	return true
}

// EndStep completes the step that BeginStep started and returns its events.
func (e *Engine) EndStep() []Event {
	var out []Event
	for _, j := range e.stepJobs {
		e.processedTokens += j.stepTokens
		if !j.decoding {
			j.remainingPrefill -= j.stepTokens
			if j.remainingPrefill > 0 {
				continue
			}
			j.decoding = true
			e.cache.add(j.Prefix)
		}
		out = append(out, e.emit(j))
	}
	if e.cold && e.processedTokens >= e.config.WarmUpTokens {
		e.cold = false
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *Job) bool {
		done := j.decoding && (j.PrefillOnly || j.Offset >= j.Output)
		if done {
			e.finish(j)
		}
		return done
	})
	return out
}

func (e *Engine) emit(j *Job) Event {
	if j.PrefillOnly || j.Offset >= j.Output {
		return Event{Job: j, Offset: j.Offset, Done: true}
	}
	j.Offset++
	return Event{Job: j, Offset: j.Offset - 1, Done: j.Offset >= j.Output}
}

// finish frees the memory of a finished job. A prefill-only job keeps its memory as a
// reservation.
func (e *Engine) finish(j *Job) {
	if _, reserved := e.reservations[j.ID]; j.PrefillOnly && !reserved {
		e.reservations[j.ID] = reservation{j.Prompt + j.Output, snipeford.Instant(math.MaxInt64)}
		return
	}
	e.free(j)
}

// Evicted returns the cache blocks that were evicted since the last call.
func (e *Engine) Evicted() []uint64 {
	out := e.cache.evicted
	e.cache.evicted = nil
	return out
}

// MemoryUsed returns the memory of jobs, reservations and finished prefill-only
// jobs.
func (e *Engine) MemoryUsed() snipeford.Tokens { return e.memoryUsed }
