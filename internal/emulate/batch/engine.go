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
	// ErrMemory says that the request is larger than the engine's memory.
	ErrMemory = errors.New("larger than engine memory")
	// ErrCollapsed says that the engine fell over and lost all its requests.
	ErrCollapsed = errors.New("engine collapsed")
)

// BlockTokens is the length of one prefix cache block.
const BlockTokens snipeford.Tokens = 512

// Config gives an engine's speed and size. Its zero values stand for defaults.
type Config struct {
	StepBase     time.Duration
	StepPerToken time.Duration
	StepBudget   snipeford.Tokens
	Memory       snipeford.Tokens
	CacheTokens  snipeford.Tokens
	ColdBears    int
	WarmBears    int
	WarmTokens   snipeford.Tokens
	ColdSlowdown int
}

// WithDefaults fills the zero fields: 77,000 prefill tokens a second, and a
// memory that a prompt of a million tokens exceeds more than twice.
func (c Config) WithDefaults() Config {
	c.StepBase = orDefault(c.StepBase, 8*time.Millisecond)
	c.StepPerToken = orDefault(c.StepPerToken, 9*time.Microsecond)
	c.StepBudget = orDefault(c.StepBudget, 2_048)
	c.Memory = orDefault(c.Memory, 400_000)
	c.CacheTokens = orDefault(c.CacheTokens, 100_000)
	c.ColdBears = orDefault(c.ColdBears, 2)
	c.WarmBears = orDefault(c.WarmBears, 64)
	c.WarmTokens = orDefault(c.WarmTokens, 200_000)
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
	step := c.StepBase + time.Duration(c.StepBudget)*c.StepPerToken
	return snipeford.TokensPerSecond(float64(c.StepBudget) / step.Seconds())
}

// IdleFirstToken returns the time to first token on an idle engine.
func (c Config) IdleFirstToken(prompt snipeford.Tokens) time.Duration {
	steps := (prompt + c.StepBudget - 1) / c.StepBudget
	return time.Duration(steps)*c.StepBase + time.Duration(prompt)*c.StepPerToken
}

// Job is one request inside the engine.
type Job struct {
	ID       snipeford.AttemptID
	Prompt   snipeford.Tokens
	Output   snipeford.Tokens
	Offset   snipeford.Tokens
	Priority int
	Prefix   []uint64
	// Hold keeps the memory after the prefill until Release: a segment of a
	// prompt that spans several engines.
	Hold bool

	arrival  uint64
	admitted bool
	prefill  snipeford.Tokens
	step     snipeford.Tokens
	decoding bool
}

// Emission is one token, or the end of a job.
type Emission struct {
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
	// Hits counts prefix blocks that were found in the cache.
	Hits int
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

// Bears returns how many requests the engine bears now.
func (e *Engine) Bears() int {
	if !e.cold {
		return e.config.WarmBears
	}
	share := float64(e.processed) / float64(e.config.WarmTokens)
	span := float64(e.config.WarmBears - e.config.ColdBears)
	return e.config.ColdBears + int(share*share*span)
}

// Chill makes the engine cold without a new incarnation.
func (e *Engine) Chill() {
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
	e.Chill()
	return lost
}

// Submit takes a job. A cold engine above what it bears rejects it, and far
// above falls over: the caller then fails the jobs that Restart returned.
func (e *Engine) Submit(j *Job) ([]*Job, error) {
	if j.Prompt+j.Output > e.config.Memory {
		return nil, ErrMemory
	}
	if len(e.jobs) >= e.Bears() {
		e.Excess++
		if len(e.jobs) >= 2*e.Bears() {
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
		return ErrMemory
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

// Begin picks the work of the next step and returns how long it takes, or
// false where there is nothing to do.
func (e *Engine) Begin() (time.Duration, bool) {
	e.admit()
	budget := e.config.StepBudget
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
	work := e.config.StepBudget - budget
	d := e.config.StepBase + time.Duration(work)*e.config.StepPerToken
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
		e.Hits += hit
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

// End applies the step that Begin picked and returns what it emitted.
func (e *Engine) End() []Emission {
	var out []Emission
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
	if e.cold && e.processed >= e.config.WarmTokens {
		e.cold = false
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *Job) bool {
		done := j.decoding && (j.Hold || j.Offset >= j.Output)
		if done {
			e.finish(j)
		}
		return done
	})
	return out
}

func (e *Engine) emit(j *Job) Emission {
	if j.Hold || j.Offset >= j.Output {
		return Emission{Job: j, Offset: j.Offset, Done: true}
	}
	j.Offset++
	return Emission{Job: j, Offset: j.Offset - 1, Done: j.Offset >= j.Output}
}

// finish frees a done job. A held segment keeps its memory as a reservation.
func (e *Engine) finish(j *Job) {
	if _, reserved := e.held[j.ID]; j.Hold && !reserved {
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

// Held returns the memory that jobs, reservations and exports take.
func (e *Engine) Held() snipeford.Tokens { return e.used }
