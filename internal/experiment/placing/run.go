// Package placing plays a load on modelled engines under virtual time and
// measures what a placement makes of it, from what callers would see.
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

// Class is one kind of request.
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
	// TimelyCredit is what a timely answer of mean size counts, LateCredit what a late one
	// does.
	TimelyCredit, LateCredit float64
}

// abandoned returns the pause after which callers leave, as the users' pages
// say.
func (c *Class) abandoned() time.Duration {
	return max(2*time.Second, 4*c.FirstEventTarget, 8*c.EventGapTarget)
}

// Burst multiplies the rate of each class for a time.
type Burst struct {
	From, To time.Duration
	Factors  []float64
}

// Load is what callers send.
type Load struct {
	Classes  []Class
	Bursts   []Burst
	Duration time.Duration
	Engines  int
	Profile  snipeford.EngineProfile
	// IsolatedShare is the share of the requests that a second placer places, which
	// learns of the others from the engines alone.
	IsolatedShare float64
}

// Result is what callers of one class saw.
type Result struct {
	Class                                       string
	Requests, Timely, Late, Unserved            int
	LateFirstEvent, LateGap                     int
	Credit, MaxCredit                           float64
	FirstEventP50, FirstEventP90, LongestGapP90 time.Duration
}

// Placer is the policy under test.
type Placer interface {
	Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement
	Next(now snipeford.Instant) []snipeford.Placement
	First(now snipeford.Instant, call snipeford.RequestID, load snipeford.EngineLoad)
	End(now snipeford.Instant, call snipeford.RequestID, failed bool, fault snipeford.UpstreamID)
}

type request struct {
	class   int
	at      snipeford.Instant
	prompt  snipeford.Tokens
	output  snipeford.Tokens
	job     *pass.Job
	first   snipeford.Instant
	last    snipeford.Instant
	longest time.Duration
	done    bool
	// placer is who places the request.
	placer Placer
	// gone callers have left without a whole answer.
	gone bool
	// returned requests have been refused once; callers come back no more.
	returned bool
}

// action is something that happens at an instant.
type action struct {
	at snipeford.Instant
	do func()
}

type agenda []action

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(action)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// overtime is how long after the last arrival the engines go on.
const overtime = 20 * time.Second

// hop is the time between a caller and an engine, one way.
const hop = 4 * time.Millisecond

type run struct {
	load     Load
	placers  []Placer
	agenda   agenda
	now      snipeford.Instant
	engines  map[snipeford.UpstreamID]*pass.Engine
	working  map[*pass.Engine]bool
	requests map[snipeford.RequestID]*request
}

// Candidates names the engines of a load.
func Candidates(n int) []placement.Candidate {
	var out []placement.Candidate
	for i := range n {
		out = append(out, placement.Candidate{ID: snipeford.UpstreamID("e" + strconv.Itoa(i))})
	}
	return out
}

// Run plays the load of a seed. A second placer places the requests of
// Load.Apart.
func Run(load Load, seed uint64, placers ...Placer) []Result {
	r := &run{load: load, placers: placers, engines: map[snipeford.UpstreamID]*pass.Engine{}, working: map[*pass.Engine]bool{}, requests: map[snipeford.RequestID]*request{}}
	for _, c := range Candidates(load.Engines) {
		r.engines[c.ID] = &pass.Engine{Profile: load.Profile}
	}
	r.arrivals(rand.New(rand.NewPCG(seed, 1)))
	r.schedule(0, r.tick)
	for len(r.agenda) > 0 && r.now < snipeford.Instant(load.Duration+overtime) {
		next := heap.Pop(&r.agenda).(action)
		r.now = next.at
		next.do()
	}
	return r.results()
}

func (r *run) schedule(at snipeford.Instant, do func()) { heap.Push(&r.agenda, action{at, do}) }

func (r *run) arrivals(rng *rand.Rand) {
	for i, class := range r.load.Classes {
		at := 0.0
		for n := 0; ; n++ {
			at += rng.ExpFloat64() / (class.PerSecond * r.factor(i, at))
			if at > r.load.Duration.Seconds() {
				break
			}
			id := snipeford.RequestID(class.Name + "-" + strconv.Itoa(n))
			req := &request{class: i, at: snipeford.Instant(at * 1e9), prompt: draw(rng, class.MeanPrompt, class.PromptSigma, class.MaxPrompt), output: 51 * draw(rng, class.MeanEvents, 0.6, 2.5*class.MeanEvents)}
			req.placer = r.placers[0]
			if r.load.IsolatedShare > 0 && rng.Float64() < r.load.IsolatedShare {
				req.placer = r.placers[1]
			}
			r.requests[id] = req
			r.schedule(req.at.Add(hop), func() { r.arrive(id, req) })
		}
	}
}

func (r *run) factor(class int, at float64) float64 {
	for _, b := range r.load.Bursts {
		if at >= b.From.Seconds() && at < b.To.Seconds() {
			return b.Factors[class]
		}
	}
	return 1
}

// draw returns a size of a log-normal distribution with the mean.
func draw(rng *rand.Rand, mean, spread, longest float64) snipeford.Tokens {
	d := distuv.LogNormal{Mu: math.Log(mean) - spread*spread/2, Sigma: spread, Src: rng}
	return snipeford.Tokens(max(1, min(d.Rand(), longest)))
}

func (r *run) arrive(id snipeford.RequestID, req *request) {
	class := r.load.Classes[req.class]
	waited := r.now.Sub(req.at)
	if waited > class.Timeout {
		return
	}
	r.place(req.placer.Ask(r.now, snipeford.PlacementRequest{
		RequestID: id, Prompt: req.prompt, ExpectedOutput: req.output, FirstEventTarget: max(0, class.FirstEventTarget-waited), EventGapTarget: class.EventGapTarget, TimeLeft: class.Timeout - waited,
		StreamIdleTimeout: class.abandoned(), FirstEventTimeout: class.abandoned(),
	}))
}

// place carries placements out.
func (r *run) place(list []snipeford.Placement) {
	for _, p := range list {
		r.start(p.RequestID, r.requests[p.RequestID], p)
	}
}

func (r *run) start(id snipeford.RequestID, req *request, p snipeford.Placement) {
	if p.Refused {
		if req.returned {
			return
		}
		req.returned = true
		r.schedule(r.now.Add(max(p.RetryAfter, 50*time.Millisecond)), func() { r.arrive(id, req) })
		return
	}
	req.job = &pass.Job{ID: id, Prompt: req.prompt, Output: req.output}
	var helpers []*pass.Engine
	for _, h := range p.Helpers {
		helpers = append(helpers, r.engines[h])
	}
	r.schedule(req.at.Add(r.load.Classes[req.class].abandoned()), func() { r.leave(id, req, req.first == 0) })
	r.schedule(req.at.Add(r.load.Classes[req.class].Timeout), func() { r.leave(id, req, true) })
	first := r.engines[p.Upstream]
	first.Submit(req.job, helpers, p.ReservedMemory)
	for _, e := range append(helpers, first) {
		r.work(e)
	}
}

// leave lets a caller go who has no whole answer and waits no longer.
func (r *run) leave(id snipeford.RequestID, req *request, waited bool) {
	if !waited || req.done || req.gone {
		return
	}
	req.gone = true
	req.job.Cancel()
	req.placer.End(r.now, id, false, "")
}

// work lets an idle engine start.
func (r *run) work(e *pass.Engine) {
	if r.working[e] || e.Idle() {
		return
	}
	r.working[e] = true
	took, events := e.Pass()
	r.schedule(r.now.Add(max(took, time.Microsecond)), func() {
		r.working[e] = false
		for _, event := range events {
			r.event(event)
		}
		r.work(e)
	})
}

func (r *run) event(e pass.Event) {
	req := r.requests[e.Job.ID]
	if req.gone {
		return
	}
	seen := r.now.Add(hop)
	if req.first == 0 {
		req.first = seen
		req.placer.First(seen, e.Job.ID, e.Load)
	} else {
		req.longest = max(req.longest, seen.Sub(req.last))
	}
	req.last = seen
	if e.Done {
		req.done = true
		req.placer.End(seen, e.Job.ID, false, "")
	}
	r.place(req.placer.Next(seen))
}

// tick lets the placer look at what waits.
func (r *run) tick() {
	for _, p := range r.placers {
		r.place(p.Next(r.now))
	}
	r.schedule(r.now.Add(tickEvery), r.tick)
}

// tickEvery is how often nodes do the same.
const tickEvery = 25 * time.Millisecond

func (r *run) results() []Result {
	out := make([]Result, len(r.load.Classes))
	firsts := make([][]time.Duration, len(out))
	pauses := make([][]time.Duration, len(out))
	for _, req := range r.requests {
		class := r.load.Classes[req.class]
		one := &out[req.class]
		one.Class = class.Name
		one.Requests++
		size := min(4, 0.3+0.7*float64(req.prompt)/class.MeanPrompt)
		one.MaxCredit += size * class.TimelyCredit
		first := req.first.Sub(req.at)
		if !req.done || req.last.Sub(req.at) > class.Timeout || max(first, req.longest) > class.abandoned() {
			one.Unserved++
			continue
		}
		firsts[req.class] = append(firsts[req.class], first)
		pauses[req.class] = append(pauses[req.class], req.longest)
		switch {
		case first > class.FirstEventTarget:
			one.LateFirstEvent++
		case req.longest > class.EventGapTarget:
			one.LateGap++
		default:
			one.Timely++
			one.Credit += size * class.TimelyCredit
			continue
		}
		one.Late++
		one.Credit += size * class.LateCredit
	}
	for i := range out {
		out[i].FirstEventP50, out[i].FirstEventP90, out[i].LongestGapP90 = quantile(firsts[i], 0.5), quantile(firsts[i], 0.9), quantile(pauses[i], 0.9)
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

// CreditShare returns the credit of all classes over what is owed.
func CreditShare(list []Result) float64 {
	credit, owed := 0.0, 0.0
	for _, one := range list {
		credit += one.Credit
		owed += one.MaxCredit
	}
	return credit / owed
}
