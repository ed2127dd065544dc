package virtual

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/control/reducer"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/experiment/arrival"
)

// Setup says what a run consists of.
type Setup struct {
	Queue, Route string
	Domains      []snipeford.FailureDomain
	Replicas     int
	Engine       batch.Config
	Rules        map[snipeford.Organisation]snipeford.OrganisationRule
	Requests     []arrival.Request
	Deadline     time.Duration
	// ShortWait and LongWait are what may wait, where the rules don't say.
	ShortWait, LongWait time.Duration
	// ReportLag is by how much load reports are late.
	ReportLag time.Duration
	// EventLag is by how much cache events are late; EventGap n loses each
	// n-th one, and 1 loses all.
	EventLag time.Duration
	EventGap int
	// NoPrefix hides the prefixes from the reducer.
	NoPrefix bool
}

// model is the name under which the engines are served.
const model snipeford.Model = "Model"

// Outcome is what became of one request.
type Outcome struct {
	Request    arrival.Request
	FirstToken time.Duration
	Took       time.Duration
	Waited     time.Duration
	Cause      snipeford.Cause
	Done       bool
	// Gaps holds the times between two tokens.
	Gaps []time.Duration
}

// Fleet is a run in progress.
type Fleet struct {
	setup    Setup
	clock    clock
	state    *reducer.State
	list     []snipeford.Upstream
	engines  map[snipeford.UpstreamID]*host
	ids      []snipeford.UpstreamID
	calls    map[snipeford.CallID]*call
	outcomes []Outcome
	version  snipeford.Version
	// Dispatches counts attempts, for the retry bound.
	Dispatches int
	// shared counts blocks that could have been hits, and hottest the requests
	// with the hottest prefix at each engine.
	shared  int
	hottest map[snipeford.UpstreamID]int
	// Steps counts the engines' steps.
	Steps int
}

// host is an engine with its place in virtual time.
type host struct {
	id      snipeford.UpstreamID
	engine  *batch.Engine
	busy    bool
	stopped bool
	jobs    map[*batch.Job]*attempt
}

// call is one request on its way.
type call struct {
	number  int
	request arrival.Request
	call    snipeford.Call
	started snipeford.Instant
	last    snipeford.Instant
	ended   bool
	running *attempt
}

// attempt is one dispatch of a call.
type attempt struct {
	call    *call
	effect  reducer.Dispatch
	id      snipeford.AttemptID
	part    int
	hosts   []*host
	ended   bool
	started bool
}

// New builds a fleet with warm engines.
func New(s Setup) *Fleet {
	f := &Fleet{
		setup:    s,
		state:    reducer.New(reducer.Settings{Member: snipeford.Member{Node: "node-1", Domain: s.Domains[0]}, QueuePolicy: s.Queue, RoutePolicy: s.Route, Standalone: true}),
		engines:  map[snipeford.UpstreamID]*host{},
		calls:    map[snipeford.CallID]*call{},
		hottest:  map[snipeford.UpstreamID]int{},
		outcomes: make([]Outcome, len(s.Requests)),
	}
	config := s.Engine.WithDefaults()
	for i := range s.Replicas {
		id := snipeford.UpstreamID(fmt.Sprintf("engine-%04d", i+1))
		f.ids = append(f.ids, id)
		f.list = append(f.list, snipeford.Upstream{ID: id, Kind: snipeford.KindEngine, Model: model, Domain: s.Domains[i%len(s.Domains)], Memory: config.Memory})
		f.engines[id] = &host{id: id, engine: batch.New(s.Engine, false), jobs: map[*batch.Job]*attempt{}}
	}
	f.apply(reducer.UpstreamsListed{Upstreams: f.list})
	f.Configure(nil)
	f.tick()
	for i, q := range s.Requests {
		f.clock.at(snipeford.Instant(q.At), func() { f.arrive(i, q) })
	}
	return f
}

// Configure puts the next configuration into force, with failure domains out.
func (f *Fleet) Configure(out []snipeford.FailureDomain) {
	f.version++
	c := snipeford.Configuration{Version: f.version, OutDomains: out}
	c.Rules.Organisations = f.setup.Rules
	c.Rules.Models = map[snipeford.Model]snipeford.ModelRule{model: {}}
	f.apply(reducer.ConfigurationRead{Configuration: c})
}

// At sets a thing to do at a time of the run.
func (f *Fleet) At(d time.Duration, do func()) { f.clock.at(snipeford.Instant(d), do) }

// Run lets the time pass until the instant and returns the outcomes so far.
func (f *Fleet) Run(until time.Duration) []Outcome {
	f.clock.run(snipeford.Instant(until))
	return f.outcomes
}

// State returns the reducer's state.
func (f *Fleet) State() *reducer.State { return f.state }

// Upstreams returns all engines' names.
func (f *Fleet) Upstreams() []snipeford.Upstream { return f.list }

// Excess returns how many requests engines got above what they bore.
func (f *Fleet) Excess() int {
	n := 0
	for _, id := range f.ids {
		n += f.engines[id].engine.ExcessRequests
	}
	return n
}

// Held returns the memory that engines hold, in tokens.
func (f *Fleet) Held() snipeford.Tokens {
	var n snipeford.Tokens
	for _, id := range f.ids {
		n += f.engines[id].engine.MemoryUsed()
	}
	return n
}

func (f *Fleet) tick() {
	f.apply(reducer.Ticked{})
	f.clock.at(f.clock.now.Add(reducer.TickInterval), f.tick)
}

// apply gives an event to the reducer and carries its effects out. What
// follows from an effect is applied later in the same instant.
func (f *Fleet) apply(e reducer.Event) {
	effects := append([]reducer.Effect(nil), f.state.Apply(f.clock.now, e)...)
	for _, effect := range effects {
		f.do(effect)
	}
}

func (f *Fleet) do(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Refuse:
		f.end(f.calls[e.Call], e.Refusal.Cause)
	case reducer.Forward:
		f.forward(e)
	case reducer.ReturnToEntry:
		f.later(reducer.CallReturned{Call: e.Call, Group: e.Group, Cause: e.Cause, Outcome: e.Outcome, RetryAfter: e.RetryAfter})
	case reducer.Dispatch:
		f.dispatch(e)
	case reducer.Cancel:
		f.cancel(e.Call)
	case reducer.Complete:
		f.end(f.calls[e.Call], "")
	case reducer.PollLoad:
		f.poll(e.Upstream.ID)
	}
}

// later applies an event at this instant, after what is going on.
func (f *Fleet) later(e reducer.Event) {
	f.clock.at(f.clock.now, func() { f.apply(e) })
}

func (f *Fleet) arrive(number int, q arrival.Request) {
	now := f.clock.now
	wait := f.setup.LongWait
	if q.Prompt <= snipeford.MaxShortPrompt {
		wait = f.setup.ShortWait
	}
	c := &call{number: number, request: q, started: now}
	c.call = snipeford.Call{
		ID: snipeford.CallID(fmt.Sprint("call-", number)), Organisation: q.Organisation, Model: model,
		Prompt: q.Prompt, MaxOutput: q.MaxOutput, Idempotent: true,
		QueueDeadline: now.Add(wait), Deadline: now.Add(f.setup.Deadline), Seed: uint64(number),
	}
	if !f.setup.NoPrefix {
		c.call.Prefix = q.Blocks()
	}
	f.calls[c.call.ID] = c
	f.outcomes[number].Request = q
	f.clock.at(c.call.Deadline, func() { f.deadline(c) })
	f.apply(reducer.CallArrived{Call: c.call})
}

func (f *Fleet) deadline(c *call) {
	if c.ended {
		return
	}
	f.apply(reducer.CallCancelled{Call: c.call.ID})
	f.end(c, snipeford.CauseDeadline)
}

func (f *Fleet) forward(e reducer.Forward) {
	c := f.calls[e.Call]
	if c == nil || c.ended {
		return
	}
	call := c.call
	call.Offset = e.Offset
	f.later(reducer.CallForwarded{Call: call, Group: e.Group})
}

func (f *Fleet) end(c *call, cause snipeford.Cause) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	o := &f.outcomes[c.number]
	o.Cause = cause
	o.Done = cause == ""
	o.Took = f.clock.now.Sub(c.started)
	delete(f.calls, c.call.ID)
	f.later(reducer.CallEnded{Call: c.call.ID})
}

// poll brings an engine's report after its lag.
func (f *Fleet) poll(id snipeford.UpstreamID) {
	h := f.engines[id]
	if h.stopped {
		return
	}
	load := h.engine.Load()
	load.Upstream = id
	load.Incarnation = snipeford.Incarnation(fmt.Sprint(h.engine.RestartCount()))
	f.clock.at(f.clock.now.Add(f.setup.ReportLag), func() { f.apply(reducer.LoadReported{Load: load}) })
	f.tellEvictions(h)
}

func (f *Fleet) tellEvictions(h *host) {
	for i, block := range h.engine.Evicted() {
		if f.setup.EventGap > 0 && i%f.setup.EventGap == 0 {
			continue
		}
		e := reducer.CacheEvicted{Upstream: h.id, BlockHash: block}
		f.clock.at(f.clock.now.Add(f.setup.EventLag), func() { f.apply(e) })
	}
}

// sharedBlocks is the length of a shared prefix in blocks.
const sharedBlocks = int(arrival.SharedTokens / batch.BlockTokens)

// HitRatio returns the part of the shared prefixes' blocks that engines found
// in their caches.
func (f *Fleet) HitRatio() float64 {
	hits := 0
	for _, id := range f.ids {
		hits += f.engines[id].engine.CacheHits
	}
	return float64(hits) / float64(max(f.shared, 1))
}

// HottestShare returns the largest part of the hottest prefix's requests that
// one engine got.
func (f *Fleet) HottestShare() float64 {
	all, most := 0, 0
	for _, n := range f.hottest {
		all += n
		most = max(most, n)
	}
	return float64(most) / float64(max(all, 1))
}
