// Package placing simulates requests on modelled engines under virtual time and
// measures the placement policies by the latency that callers see. An event is one
// streamed chunk of a response. It carries the tokens that an engine decodes for the
// request in one pass: at most DecodeStepsPerPass, which is 51 in Profile.
package placing

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"snipeford"
	"snipeford/internal/emulate/pass"
	"snipeford/internal/policy/placement"
)

// Class describes a class of requests.
type Class struct {
	Name             string
	PerSecond        float64
	MeanPrompt       float64
	PromptSigma      float64
	MaxPrompt        float64
	MeanEvents       float64
	FirstEventTarget time.Duration
	EventGapTarget   time.Duration
	Timeout          time.Duration
	// A credit is a score without a unit. TimelyCredit is the credit for a complete
	// response that meets FirstEventTarget and EventGapTarget, and LateCredit for one
	// that misses either; an unserved request gets none. Both apply to a prompt of
	// mean length and are weighted by the length of the prompt: the factor is
	// 0.3 + 0.7 * length / MeanPrompt, but at most 4.
	TimelyCredit, LateCredit float64
	// Organisation sends the requests, and Priority is theirs; 0 goes first.
	Organisation snipeford.Organisation
	Priority     int
}

// disconnectTimeout returns the time without an event after which callers
// disconnect.
func (c *Class) disconnectTimeout() time.Duration {
	return max(2*time.Second, 4*c.FirstEventTarget, 8*c.EventGapTarget)
}

// Burst multiplies the rate of each class by a factor for a time.
type Burst struct {
	From, To time.Duration
	Factors  []float64
}

// Scenario describes the requests that callers send and the engines that serve
// them.
type Scenario struct {
	Classes  []Class
	Bursts   []Burst
	Duration time.Duration
	Engines  int
	Profile  snipeford.EngineProfile
	// IsolatedShare is the share of the requests that a second placer places. It
	// learns of the other requests only through the load reports of the engines.
	IsolatedShare float64
	// Restarts end and start engines, see RunRestarts. ColdPerSecond is the bound for cold
	// engines, or zero.
	Restarts      []Restart
	ColdPerSecond float64
	// SlowEngines are the first engines, which take Slowdown times as long as their profile.
	SlowEngines int
	Slowdown    float64
}

// Result aggregates the requests of one class as seen by their callers.
type Result struct {
	Class                            string
	Requests, Timely, Late, Unserved int
	LateFirstEvent, LateGap          int
	// Refusals counts the refused attempts, and MeanRefusalTime is the mean time from
	// the arrival of such an attempt to its refusal.
	Refusals                                    int
	MeanRefusalTime                             time.Duration
	Credit, MaxCredit                           float64
	FirstEventP50, FirstEventP90, LongestGapP90 time.Duration
}

// Placer is the policy under test. Ask places, queues or refuses a request, and
// Next returns placements of queued requests. First records the first event of a
// request, and End its end. If failed is set, the failure counts against the engine
// named by faulty, or against the one that the request was placed on if faulty is
// empty.
type Placer interface {
	Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement
	Next(now snipeford.Instant) []snipeford.Placement
	First(now snipeford.Instant, id snipeford.RequestID, load snipeford.EngineLoad)
	End(now snipeford.Instant, id snipeford.RequestID, failed bool, faulty snipeford.UpstreamID)
}

type request struct {
	class        int
	arrival      snipeford.Instant
	prompt       snipeford.Tokens
	output       snipeford.Tokens
	job          *pass.Job
	firstEventAt snipeford.Instant
	lastEventAt  snipeford.Instant
	longestGap   time.Duration
	done         bool
	// placer places the request.
	placer Placer
	// disconnected is set if the caller left before the response was complete.
	disconnected bool
	// retried is set if the request was refused once. Callers retry only once.
	retried bool
	// askedAt is when the current attempt arrived, and refusalTimes holds the time to
	// the refusal of each refused attempt.
	askedAt      snipeford.Instant
	refusalTimes []time.Duration
	// upstream is the engine of the current attempt, and excluded those that failed it.
	upstream snipeford.UpstreamID
	excluded []snipeford.UpstreamID
}

type engine = pass.Engine

// timer is a function to call at an instant.
type timer struct {
	at snipeford.Instant
	do func()
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// drainTime is how long the simulation continues after the last arrival.
const drainTime = 20 * time.Second

// networkDelay is the one-way delay between a caller and an engine.
const networkDelay = 4 * time.Millisecond

type simulation struct {
	scenario Scenario
	placers  []Placer
	timers   timerHeap
	now      snipeford.Instant
	engines  map[snipeford.UpstreamID]*pass.Engine
	busy     map[*pass.Engine]bool
	requests map[snipeford.RequestID]*request
	restarts restarts
}

// Candidates returns n engines as placement candidates.
func Candidates(n int) []placement.Candidate {
	var out []placement.Candidate
	for i := range n {
		out = append(out, placement.Candidate{ID: snipeford.UpstreamID("e" + strconv.Itoa(i))})
	}
	return out
}

// Run simulates the scenario with a seed and returns the results by class. A second
// placer places the requests of Scenario.IsolatedShare.
func Run(scenario Scenario, seed uint64, placers ...Placer) []Result {
	return newSimulation(scenario, placers...).run(seed)
}

func newSimulation(scenario Scenario, placers ...Placer) *simulation {
	s := &simulation{scenario: scenario, placers: placers, engines: map[snipeford.UpstreamID]*pass.Engine{}, busy: map[*pass.Engine]bool{}, requests: map[snipeford.RequestID]*request{}}
	for _, c := range Candidates(scenario.Engines) {
		s.engines[c.ID] = &pass.Engine{Profile: scenario.Profile}
		if len(s.engines) <= scenario.SlowEngines {
			s.engines[c.ID].Slowdown = scenario.Slowdown
		}
	}
	return s
}

func (s *simulation) run(seed uint64) []Result {
	s.scheduleArrivals(rand.New(rand.NewPCG(seed, 1)))
	s.schedule(0, s.tick)
	for len(s.timers) > 0 && s.now < snipeford.Instant(s.scenario.Duration+drainTime) {
		next := heap.Pop(&s.timers).(timer)
		s.now = next.at
		next.do()
	}
	return s.results()
}

func (s *simulation) schedule(at snipeford.Instant, do func()) { heap.Push(&s.timers, timer{at, do}) }

func (s *simulation) scheduleArrivals(rng *rand.Rand) {
	for i, class := range s.scenario.Classes {
		at := 0.0
		for n := 0; ; n++ {
			at += rng.ExpFloat64() / (class.PerSecond * s.rateFactor(i, at))
			if at > s.scenario.Duration.Seconds() {
				break
			}
			id := snipeford.RequestID(class.Name + "-" + strconv.Itoa(n))
			req := &request{class: i, arrival: snipeford.Instant(at * 1e9), prompt: logNormal(rng, class.MeanPrompt, class.PromptSigma, class.MaxPrompt), output: 51 * logNormal(rng, class.MeanEvents, 0.6, 2.5*class.MeanEvents)}
			req.placer = s.placers[0]
			if s.scenario.IsolatedShare > 0 && rng.Float64() < s.scenario.IsolatedShare {
				req.placer = s.placers[1]
			}
			s.requests[id] = req
			s.schedule(req.arrival.Add(networkDelay), func() { s.arrive(id, req) })
		}
	}
}

func (s *simulation) rateFactor(class int, at float64) float64 {
	for _, b := range s.scenario.Bursts {
		if at >= b.From.Seconds() && at < b.To.Seconds() {
			return b.Factors[class]
		}
	}
	return 1
}

// logNormal draws a size from a log-normal distribution with the given mean,
// limited to maximum.
func logNormal(rng *rand.Rand, mean, sigma, maximum float64) snipeford.Tokens {
	d := distuv.LogNormal{Mu: math.Log(mean) - sigma*sigma/2, Sigma: sigma, Src: rng}
	return snipeford.Tokens(max(1, min(d.Rand(), maximum)))
}

func (s *simulation) arrive(id snipeford.RequestID, req *request) {
	class := s.scenario.Classes[req.class]
	waited := s.now.Sub(req.arrival)
	if waited > class.Timeout {
		return
	}
	req.askedAt = s.now
	// A placer does not know that a request is a repeat, so it gets the whole target.
	s.place(req.placer.Ask(s.now, snipeford.PlacementRequest{
		RequestID: id, Prompt: req.prompt, ExpectedOutput: req.output, FirstEventTarget: class.FirstEventTarget, EventGapTarget: class.EventGapTarget, TimeLeft: class.Timeout - waited,
		StreamIdleTimeout: class.disconnectTimeout(), FirstEventTimeout: class.disconnectTimeout(), Excluded: req.excluded,
		Organisation: class.Organisation, Priority: class.Priority, HasPriority: class.Organisation != "" || class.Priority != 0,
	}))
}

// place executes placements.
func (s *simulation) place(list []snipeford.Placement) {
	for _, p := range list {
		s.start(p.RequestID, s.requests[p.RequestID], p)
	}
}

func (s *simulation) start(id snipeford.RequestID, req *request, p snipeford.Placement) {
	if p.Refused {
		req.refusalTimes = append(req.refusalTimes, s.now.Sub(req.askedAt))
		if req.retried {
			return
		}
		req.retried = true
		s.schedule(s.now.Add(max(p.RetryAfter, 50*time.Millisecond)), func() { s.arrive(id, req) })
		return
	}
	req.upstream = p.Upstream
	if s.restarts.down[p.Upstream] {
		s.schedule(s.now.Add(2*networkDelay), func() { s.failAttempt(id, req) })
		return
	}
	s.noteYoung(req, p.Upstream)
	req.job = &pass.Job{ID: id, Prompt: req.prompt, Output: req.output}
	var helpers []*pass.Engine
	for _, h := range p.Helpers {
		helpers = append(helpers, s.engines[h])
	}
	s.schedule(req.askedAt.Add(s.scenario.Classes[req.class].disconnectTimeout()), func() { s.disconnect(id, req, req.firstEventAt == 0) })
	s.schedule(req.arrival.Add(s.scenario.Classes[req.class].Timeout), func() { s.disconnect(id, req, true) })
	first := s.engines[p.Upstream]
	first.Submit(req.job, helpers, p.ReservedMemory)
	for _, e := range append(helpers, first) {
		s.startPass(e)
	}
}

// disconnect cancels a request if its caller has timed out and its response is
// not complete.
func (s *simulation) disconnect(id snipeford.RequestID, req *request, timedOut bool) {
	if !timedOut || req.done || req.disconnected {
		return
	}
	req.disconnected = true
	if req.job != nil {
		req.job.Cancel()
	}
	req.placer.End(s.now, id, false, "")
}

// startPass starts the next pass of an engine that is not running one and has
// work.
func (s *simulation) startPass(e *pass.Engine) {
	if s.busy[e] || e.Idle() {
		return
	}
	s.busy[e] = true
	took, events := e.RunPass()
	s.schedule(s.now.Add(max(took, time.Microsecond)), func() {
		s.busy[e] = false
		for _, event := range events {
			s.handleEvent(event)
		}
		s.startPass(e)
	})
}

func (s *simulation) handleEvent(e pass.Event) {
	req := s.requests[e.Job.ID]
	if req.disconnected || req.job != e.Job {
		return
	}
	seen := s.now.Add(networkDelay)
	if req.firstEventAt == 0 {
		req.firstEventAt = seen
		req.placer.First(seen, e.Job.ID, e.Load)
	} else {
		req.longestGap = max(req.longestGap, seen.Sub(req.lastEventAt))
	}
	req.lastEventAt = seen
	if e.Done {
		req.done = true
		req.placer.End(seen, e.Job.ID, false, "")
	}
	s.place(req.placer.Next(seen))
}

// tick lets the placers place queued requests.
func (s *simulation) tick() {
	for _, p := range s.placers {
		s.place(p.Next(s.now))
	}
	s.schedule(s.now.Add(tickInterval), s.tick)
}

// tickInterval is the interval at which nodes place queued requests, as in package
// placer.
const tickInterval = 25 * time.Millisecond

func (s *simulation) results() []Result {
	out := make([]Result, len(s.scenario.Classes))
	firstEvents := make([][]time.Duration, len(out))
	gaps := make([][]time.Duration, len(out))
	for _, req := range s.requests {
		class := s.scenario.Classes[req.class]
		result := &out[req.class]
		result.Class = class.Name
		result.Requests++
		for _, took := range req.refusalTimes {
			result.Refusals++
			result.MeanRefusalTime += (took - result.MeanRefusalTime) / time.Duration(result.Refusals)
		}
		size := min(4, 0.3+0.7*float64(req.prompt)/class.MeanPrompt)
		result.MaxCredit += size * class.TimelyCredit
		first := req.firstEventAt.Sub(req.arrival)
		if !req.done || req.lastEventAt.Sub(req.arrival) > class.Timeout || max(req.firstEventAt.Sub(req.askedAt), req.longestGap) > class.disconnectTimeout() {
			result.Unserved++
			continue
		}
		firstEvents[req.class] = append(firstEvents[req.class], first)
		gaps[req.class] = append(gaps[req.class], req.longestGap)
		switch {
		case first > class.FirstEventTarget:
			result.LateFirstEvent++
		case req.longestGap > class.EventGapTarget:
			result.LateGap++
		default:
			result.Timely++
			result.Credit += size * class.TimelyCredit
			continue
		}
		result.Late++
		result.Credit += size * class.LateCredit
	}
	for i := range out {
		out[i].FirstEventP50, out[i].FirstEventP90, out[i].LongestGapP90 = quantile(firstEvents[i], 0.5), quantile(firstEvents[i], 0.9), quantile(gaps[i], 0.9)
	}
	return out
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return list[int(q*float64(len(list)-1))]
}

// CreditShare returns the credit of all classes as a share of the maximum credit.
func CreditShare(list []Result) float64 {
	credit, maxCredit := 0.0, 0.0
	for _, result := range list {
		credit += result.Credit
		maxCredit += result.MaxCredit
	}
	return credit / maxCredit
}
