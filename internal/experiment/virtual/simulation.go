package virtual

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/control/reducer"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/experiment/arrival"
)

// Config describes a run: the engines, the policies under test and the requests.
type Config struct {
	QueuePolicy, RoutePolicy string
	Domains                  []snipeford.FailureDomain
	Engines                  int
	Engine                   batch.Config
	Rules                    map[snipeford.Organisation]snipeford.OrganisationRule
	Requests                 []arrival.Request
	Deadline                 time.Duration
	// ShortQueueTimeout and LongQueueTimeout are the maximum times in the queue
	// for short and for longer prompts, unless the rules set others.
	ShortQueueTimeout, LongQueueTimeout time.Duration
	// LoadReportDelay is the delay of load reports.
	LoadReportDelay time.Duration
	// CacheEventDelay is the delay of cache eviction events. If
	// CacheEventLossInterval is n, the first and then every n-th event of each load
	// report are lost; 1 loses all, and zero none.
	CacheEventDelay        time.Duration
	CacheEventLossInterval int
	// HidePrefixes withholds the prefix hashes from the reducer.
	HidePrefixes bool
}

// model is the name of the model that all engines serve.
const model snipeford.Model = "Model"

// Result is the outcome of a request.
type Result struct {
	Request          arrival.Request
	TimeToFirstToken time.Duration
	// Duration is the time from arrival to the end of the request.
	Duration time.Duration
	// Waited is the time from arrival to the last dispatch, which includes any
	// earlier attempts.
	Waited time.Duration
	// Cause is the reason why the request did not complete, and empty if Done is
	// set.
	Cause snipeford.Cause
	Done  bool
	// Gaps holds the times between consecutive tokens.
	Gaps []time.Duration
}

// Simulation is a run in progress.
type Simulation struct {
	config    Config
	clock     clock
	state     *reducer.State
	upstreams []snipeford.Upstream
	engines   map[snipeford.UpstreamID]*engineState
	engineIDs []snipeford.UpstreamID
	requests  map[snipeford.CallID]*requestState
	results   []Result
	version   snipeford.Version
	// Dispatches counts the dispatches by the reducer, including those of requests
	// that had already ended.
	Dispatches int
	// cacheableBlocks counts the blocks that could have been cache hits, and
	// hottestRequests the requests with the most frequent prefix per engine.
	cacheableBlocks int
	hottestRequests map[snipeford.UpstreamID]int
	// Steps counts the steps that ran out on all engines, including those during
	// which the engine was stopped or restarted.
	Steps int
}

// engineState is an engine and its state in the simulation.
type engineState struct {
	id      snipeford.UpstreamID
	engine  *batch.Engine
	busy    bool
	stopped bool
	jobs    map[*batch.Job]*attempt
}

// requestState is the state of a request. Simulation.requests holds the requests that
// have not ended.
type requestState struct {
	index          int
	request        arrival.Request
	call           snipeford.Call
	started        snipeford.Instant
	lastTokenAt    snipeford.Instant
	ended          bool
	currentAttempt *attempt
}

// attempt is one dispatch of a request.
type attempt struct {
	state   *requestState
	effect  reducer.Dispatch
	id      snipeford.AttemptID
	part    int
	engines []*engineState
	ended   bool
	started bool
}

// New creates a simulation with warm engines.
func New(c Config) *Simulation {
	sim := &Simulation{
		config:          c,
		state:           reducer.New(reducer.Settings{Member: snipeford.Member{Node: "node-1", Domain: c.Domains[0]}, QueuePolicy: c.QueuePolicy, RoutePolicy: c.RoutePolicy, Standalone: true}),
		engines:         map[snipeford.UpstreamID]*engineState{},
		requests:        map[snipeford.CallID]*requestState{},
		hottestRequests: map[snipeford.UpstreamID]int{},
		results:         make([]Result, len(c.Requests)),
	}
	engineConfig := c.Engine.WithDefaults()
	for i := range c.Engines {
		id := snipeford.UpstreamID(fmt.Sprintf("engine-%04d", i+1))
		sim.engineIDs = append(sim.engineIDs, id)
		sim.upstreams = append(sim.upstreams, snipeford.Upstream{ID: id, Kind: snipeford.KindEngine, Model: model, Domain: c.Domains[i%len(c.Domains)], Memory: engineConfig.Memory})
		sim.engines[id] = &engineState{id: id, engine: batch.New(c.Engine, false), jobs: map[*batch.Job]*attempt{}}
	}
	sim.apply(reducer.UpstreamsListed{Upstreams: sim.upstreams})
	sim.Configure(nil)
	sim.tick()
	for i, q := range c.Requests {
		sim.clock.schedule(snipeford.Instant(q.At), func() { sim.arrive(i, q) })
	}
	return sim
}

// Configure applies a new configuration that takes the given failure domains out
// of service.
func (s *Simulation) Configure(outDomains []snipeford.FailureDomain) {
	s.version++
	c := snipeford.Configuration{Version: s.version, OutDomains: outDomains}
	c.Rules.Organisations = s.config.Rules
	c.Rules.Models = map[snipeford.Model]snipeford.ModelRule{model: {}}
	s.apply(reducer.ConfigurationRead{Configuration: c})
}

// At calls do at the given time of the run.
func (s *Simulation) At(d time.Duration, do func()) { s.clock.schedule(snipeford.Instant(d), do) }

// Run advances the time to the given instant and returns the results so far.
func (s *Simulation) Run(until time.Duration) []Result {
	s.clock.run(snipeford.Instant(until))
	return s.results
}

// State returns the reducer's state.
func (s *Simulation) State() *reducer.State { return s.state }

// Upstreams returns all engines.
func (s *Simulation) Upstreams() []snipeford.Upstream { return s.upstreams }

// Excess returns the number of requests that engines got above their concurrency
// limit, which is lower for cold engines.
func (s *Simulation) Excess() int {
	n := 0
	for _, id := range s.engineIDs {
		n += s.engines[id].engine.ExcessRequests
	}
	return n
}

// UsedMemory returns the memory in use on all engines, in tokens.
func (s *Simulation) UsedMemory() snipeford.Tokens {
	var n snipeford.Tokens
	for _, id := range s.engineIDs {
		n += s.engines[id].engine.MemoryUsed()
	}
	return n
}

func (s *Simulation) tick() {
	s.apply(reducer.Ticked{})
	s.clock.schedule(s.clock.now.Add(reducer.TickInterval), s.tick)
}

// apply passes an event to the reducer and executes the effects. Events that
// follow from an effect are applied later in the same instant.
func (s *Simulation) apply(e reducer.Event) {
	effects := append([]reducer.Effect(nil), s.state.Apply(s.clock.now, e)...)
	for _, effect := range effects {
		s.execute(effect)
	}
}

func (s *Simulation) execute(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Refuse:
		s.end(s.requests[e.Call], e.Refusal.Cause)
	case reducer.Forward:
		s.forward(e)
	case reducer.ReturnToEntry:
		s.applyLater(reducer.CallReturned{Call: e.Call, Group: e.Group, Cause: e.Cause, Outcome: e.Outcome, RetryAfter: e.RetryAfter})
	case reducer.Dispatch:
		s.dispatch(e)
	case reducer.Cancel:
		s.cancel(e.Call)
	case reducer.Complete:
		s.end(s.requests[e.Call], "")
	case reducer.PollLoad:
		s.reportLoad(e.Upstream.ID)
	}
}

// applyLater applies an event at the current instant, after the current timer.
func (s *Simulation) applyLater(e reducer.Event) {
	s.clock.schedule(s.clock.now, func() { s.apply(e) })
}

func (s *Simulation) arrive(index int, q arrival.Request) {
	now := s.clock.now
	wait := s.config.LongQueueTimeout
	if q.Prompt <= snipeford.MaxShortPrompt {
		wait = s.config.ShortQueueTimeout
	}
	c := &requestState{index: index, request: q, started: now}
	c.call = snipeford.Call{
		ID: snipeford.CallID(fmt.Sprint("call-", index)), Organisation: q.Organisation, Model: model,
		Prompt: q.Prompt, MaxOutput: q.MaxOutput, Idempotent: true,
		QueueDeadline: now.Add(wait), Deadline: now.Add(s.config.Deadline), Seed: uint64(index),
	}
	if !s.config.HidePrefixes {
		c.call.Prefix = q.BlockHashes()
	}
	s.requests[c.call.ID] = c
	s.results[index].Request = q
	s.clock.schedule(c.call.Deadline, func() { s.expire(c) })
	s.apply(reducer.CallArrived{Call: c.call})
}

func (s *Simulation) expire(c *requestState) {
	if c.ended {
		return
	}
	s.apply(reducer.CallCancelled{Call: c.call.ID})
	s.end(c, snipeford.CauseDeadline)
}

func (s *Simulation) forward(e reducer.Forward) {
	c := s.requests[e.Call]
	if c == nil || c.ended {
		return
	}
	call := c.call
	call.Offset = e.Offset
	s.applyLater(reducer.CallForwarded{Call: call, Group: e.Group})
}

func (s *Simulation) end(c *requestState, cause snipeford.Cause) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	o := &s.results[c.index]
	o.Cause = cause
	o.Done = cause == ""
	o.Duration = s.clock.now.Sub(c.started)
	delete(s.requests, c.call.ID)
	s.applyLater(reducer.CallEnded{Call: c.call.ID})
}

// reportLoad delivers the load report of an engine after LoadReportDelay.
func (s *Simulation) reportLoad(id snipeford.UpstreamID) {
	r := s.engines[id]
	if r.stopped {
		return
	}
	load := r.engine.Load()
	load.Upstream = id
	load.Incarnation = snipeford.Incarnation(fmt.Sprint(r.engine.RestartCount()))
	s.clock.schedule(s.clock.now.Add(s.config.LoadReportDelay), func() { s.apply(reducer.LoadReported{Load: load}) })
	s.reportEvictions(r)
}

func (s *Simulation) reportEvictions(r *engineState) {
	for i, block := range r.engine.Evicted() {
		if s.config.CacheEventLossInterval > 0 && i%s.config.CacheEventLossInterval == 0 {
			continue
		}
		e := reducer.CacheEvicted{Upstream: r.id, BlockHash: block}
		s.clock.schedule(s.clock.now.Add(s.config.CacheEventDelay), func() { s.apply(e) })
	}
}

// sharedPrefixBlocks is the length of a shared prefix in blocks.
const sharedPrefixBlocks = int(arrival.SharedPrefixTokens / batch.BlockTokens)

// HitRatio returns the share of the blocks of shared prefixes that engines found
// in their caches.
func (s *Simulation) HitRatio() float64 {
	hits := 0
	for _, id := range s.engineIDs {
		hits += s.engines[id].engine.CacheHits
	}
	return float64(hits) / float64(max(s.cacheableBlocks, 1))
}

// HottestPrefixShare returns the largest share of the requests with the most
// frequent prefix that one engine got.
func (s *Simulation) HottestPrefixShare() float64 {
	total, largest := 0, 0
	for _, n := range s.hottestRequests {
		total += n
		largest = max(largest, n)
	}
	return float64(largest) / float64(max(total, 1))
}
