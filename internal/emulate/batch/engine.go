// Package batch models what decides about a model engine: continuous batching
// under a token budget, memory, prefix cache, priorities and cold start. It is
// pure: time is an argument, so that it runs under virtual time as well as
// behind the HTTP stand-in.
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
	// ErrOverload says that a cold engine bears no further request.
	ErrOverload = errors.New("cold engine bears no more requests")
	// ErrOutOfMemory says that the request is larger than the engine's memory.
	ErrOutOfMemory = errors.New("larger than engine memory")
	// ErrCollapsed says that the engine fell over and lost all its requests.
	ErrCollapsed = errors.New("engine collapsed")
)

// BlockTokens is the length of one prefix cache block.
const BlockTokens snipeford.Tokens = 512

// Config gives an engine's speed and size. Its zero values stand for defaults.
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

// WithDefaults fills the zero fields: 77,000 prefill tokens a second, and a
// memory that a prompt of a million tokens exceeds more than twice.
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

func orDefault[T comparable](got, otherwise T) T {
	var zero T
	if got == zero {
		return otherwise
	}
	return got
}

// PrefillRate returns the prompt tokens a second of an engine that does
// nothing else.
func (c Config) PrefillRate() snipeford.TokensPerSecond {
	step := c.StepTime + time.Duration(c.MaxStepTokens)*c.StepTimePerToken
	return snipeford.TokensPerSecond(float64(c.MaxStepTokens) / step.Seconds())
}

// IdleTimeToFirstToken returns the time to first token on an idle engine.
func (c Config) IdleTimeToFirstToken(prompt snipeford.Tokens) time.Duration {
	steps := (prompt + c.MaxStepTokens - 1) / c.MaxStepTokens
	return time.Duration(steps)*c.StepTime + time.Duration(prompt)*c.StepTimePerToken
}

// Job is one request inside the engine.
type Job struct {
	ID       snipeford.AttemptID
	Prompt   snipeford.Tokens
	Output   snipeford.Tokens
	Offset   snipeford.Tokens
	Priority int
	Prefix   []uint64
	// PrefillOnly keeps the memory after the prefill until Release: a segment of a
	// prompt that spans several engines.
	PrefillOnly bool

	arrival  uint64
	admitted bool
	prefill  snipeford.Tokens
	step     snipeford.Tokens
	decoding bool
}

// Event is one token, or the end of a job.
type Event struct {
	Job    *Job
	Offset snipeford.Tokens
	Done   bool
}

type reservation struct {
	tokens snipeford.Tokens
	until  snipeford.Instant
}

// Engine is one emulated model engine.
type Engine struct {
	config    Config
	jobs      []*Job
	held      map[snipeford.AttemptID]reservation
	used      snipeford.Tokens
	cache     prefixCache
	arrivals  uint64
	processed snipeford.Tokens
	cold      bool
	stepping  []*Job
	epoch     int
	// Excess counts requests that arrived above what the engine bore.
	Excess int
	// CacheHits counts prefix blocks that were found in the cache.
	CacheHits int
	// Collapses counts how often the engine fell over.
	Collapses int
}

// New returns an engine, cold if so asked.
func New(config Config, cold bool) *Engine {
	config = config.WithDefaults()
	return &Engine{
		config: config,
		cold:   cold,
		held:   map[snipeford.AttemptID]reservation{},
		cache:  prefixCache{limit: int(config.CacheTokens / BlockTokens)},
	}
}

// Config returns the engine's speed and size.
func (e *Engine) Config() Config { return e.config }

// Epoch counts the collapses and restarts; it makes up the incarnation.
func (e *Engine) Epoch() int { return e.epoch }

// Cold reports whether the engine is still warming up.
func (e *Engine) Cold() bool { return e.cold }

// ConcurrencyLimit returns how many requests the engine bears now.
func (e *Engine) ConcurrencyLimit() int {
	if !e.cold {
		return e.config.WarmConcurrencyLimit
	}
	share := float64(e.processed) / float64(e.config.WarmUpTokens)
	span := float64(e.config.WarmConcurrencyLimit - e.config.ColdConcurrencyLimit)
	return e.config.ColdConcurrencyLimit + int(share*share*span)
}

// SetCold makes the engine cold without a new incarnation.
func (e *Engine) SetCold() {
	e.cold = true
	e.processed = 0
	e.cache.clear()
}

// Restart loses every job and all memory, and starts cold.
func (e *Engine) Restart() []*Job {
	lost := e.jobs
	e.jobs, e.stepping = nil, nil
	e.used = 0
	e.held = map[snipeford.AttemptID]reservation{}
	e.epoch++
	e.SetCold()
	return lost
}

// Submit takes a job. A cold engine above what it bears rejects it, and far
// above falls over: the caller then fails the jobs that Restart returned.
func (e *Engine) Submit(j *Job) ([]*Job, error) {
	if j.Prompt+j.Output > e.config.Memory {
		return nil, ErrOutOfMemory
	}
	if len(e.jobs) >= e.ConcurrencyLimit() {
		e.Excess++
		if len(e.jobs) >= 2*e.ConcurrencyLimit() {
			e.Collapses++
			return e.Restart(), ErrCollapsed
		}
		return nil, ErrOverload
	}
	e.arrivals++
	j.arrival = e.arrivals
	e.jobs = append(e.jobs, j)
	return nil, nil
}

// Reserve holds memory for a later job with the same id until the instant.
func (e *Engine) Reserve(id snipeford.AttemptID, n snipeford.Tokens, until snipeford.Instant) error {
	if old, ok := e.held[id]; ok {
		e.held[id] = reservation{old.tokens, until}
		return nil
	}
	if e.used+n > e.config.Memory {
		return ErrOutOfMemory
	}
	e.used += n
	e.held[id] = reservation{n, until}
	return nil
}

// Release frees what is reserved or held under the id and cancels its job.
func (e *Engine) Release(id snipeford.AttemptID) {
	e.Cancel(id)
	if r, ok := e.held[id]; ok {
		e.used -= r.tokens
		delete(e.held, id)
	}
}

// Reservations returns the ids that hold memory without a running job's end.
func (e *Engine) Reservations() []snipeford.AttemptID {
	ids := make([]snipeford.AttemptID, 0, len(e.held))
	for id := range e.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Expire frees reservations whose time has passed.
func (e *Engine) Expire(now snipeford.Instant) {
	for id, r := range e.held {
		if r.until <= now {
			e.Release(id)
		}
	}
}

// Cancel drops a job and frees its memory.
func (e *Engine) Cancel(id snipeford.AttemptID) {
	for i, j := range e.jobs {
		if j.ID != id {
			continue
		}
		e.jobs = slices.Delete(e.jobs, i, i+1)
		e.free(j)
		e.stepping = slices.DeleteFunc(e.stepping, func(s *Job) bool { return s == j })
		return
	}
}

func (e *Engine) free(j *Job) {
	_, reserved := e.held[j.ID]
	if j.admitted && !reserved {
		e.used -= j.Prompt + j.Output
	}
	j.admitted = false
}

// Load reports what an engine publishes of itself.
func (e *Engine) Load() snipeford.LoadReport {
	l := snipeford.LoadReport{MemoryUsed: e.used, MemorySize: e.config.Memory, Cold: e.cold}
	for _, j := range e.jobs {
		if !j.admitted {
			l.Waiting++
			l.PrefillBacklog += j.Prompt
			continue
		}
		l.Running++
		l.PrefillBacklog += j.prefill
	}
	return l
}

// BeginStep picks the work of the next step and returns how long it takes, or
// false where there is nothing to do.
func (e *Engine) BeginStep() (time.Duration, bool) {
	e.admit()
	budget := e.config.MaxStepTokens
	e.stepping = e.stepping[:0]
	for _, j := range e.jobs {
		if j.admitted && j.decoding && budget > 0 {
			j.step = 1
			budget--
			e.stepping = append(e.stepping, j)
		}
	}
	for _, j := range e.jobs {
		if !j.admitted || j.decoding || budget <= 0 {
			continue
		}
		j.step = min(j.prefill, budget)
		budget -= j.step
		e.stepping = append(e.stepping, j)
	}
	if len(e.stepping) == 0 {
		return 0, false
	}
	work := e.config.MaxStepTokens - budget
	d := e.config.StepTime + time.Duration(work)*e.config.StepTimePerToken
	if e.cold {
		d *= time.Duration(e.config.ColdSlowdown)
	}
	return d, true
}

// admit orders jobs by priority and arrival and gives memory to those it fits.
func (e *Engine) admit() {
	slices.SortFunc(e.jobs, func(a, b *Job) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	for _, j := range e.jobs {
		if j.admitted {
			continue
		}
		if !e.give(j) {
			return
		}
		hit := e.cache.match(j.Prefix)
		e.CacheHits += hit
		j.prefill = max(1, j.Prompt-snipeford.Tokens(hit)*BlockTokens)
		j.admitted = true
	}
}

func (e *Engine) give(j *Job) bool {
	if _, reserved := e.held[j.ID]; reserved {
		return true
	}
	need := j.Prompt + j.Output
	if e.used+need > e.config.Memory {
		return false
	}
	e.used += need
	return true
}

// EndStep applies the step that Begin picked and returns what it emitted.
func (e *Engine) EndStep() []Event {
	var out []Event
	for _, j := range e.stepping {
		e.processed += j.step
		if !j.decoding {
			j.prefill -= j.step
			if j.prefill > 0 {
				continue
			}
			j.decoding = true
			e.cache.add(j.Prefix)
		}
		out = append(out, e.emit(j))
	}
	if e.cold && e.processed >= e.config.WarmUpTokens {
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

// finish frees a done job. A held segment keeps its memory as a reservation.
func (e *Engine) finish(j *Job) {
	if _, reserved := e.held[j.ID]; j.PrefillOnly && !reserved {
		e.held[j.ID] = reservation{j.Prompt + j.Output, snipeford.Instant(math.MaxInt64)}
		return
	}
	e.free(j)
}

// Evicted returns the cache blocks that were dropped since the last call.
func (e *Engine) Evicted() []uint64 {
	out := e.cache.evicted
	e.cache.evicted = nil
	return out
}

// MemoryUsed returns the memory that jobs, reservations and exports take.
func (e *Engine) MemoryUsed() snipeford.Tokens { return e.used }
