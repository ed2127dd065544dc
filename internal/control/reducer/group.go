package reducer

import (
	"strings"
	"time"

	"snipeford"
	"snipeford/internal/policy/queue"
	"snipeford/internal/policy/retry"
	"snipeford/internal/policy/route"
	"snipeford/internal/policy/window"
)

// Constants of the home role.
const (
	// firstRate is the prefill speed assumed of an engine before it was seen.
	firstRate snipeford.TokensPerSecond = 50_000
	// rateSmoothing is the weight of the newest observed prefill speed.
	rateSmoothing = 0.1
	// rateFrom is the least prompt from which a prefill speed is learned.
	rateFrom snipeford.Tokens = 8_192
	// loadSmoothing is the weight of the newest second in a band's load.
	loadSmoothing = 0.2
	// paceSmoothing is the weight of the newest second in the group's pace.
	paceSmoothing = 0.1
	arrangeEvery  = 1 * time.Second
	// firstTokenGrace is what an idle engine takes beyond the prefill itself.
	firstTokenGrace = 50 * time.Millisecond
)

// group is the replicas of one model in one failure domain, as this node sees
// them. The home is set only while this node is the group's home.
type group struct {
	name    snipeford.Group
	row     snipeford.HomeRow
	summary snipeford.GroupSummary
	heard   snipeford.Instant
	// sent is the work that this entry sent since the last summary.
	sent      snipeford.Tokens
	sentCalls int
	// memory is the replicas' memory together, by the platform's list.
	memory     snipeford.Tokens
	dispatcher *dispatcher
}

// home is the state by which this node decides for a group.
type dispatcher struct {
	fence    snipeford.Fence
	queue    snipeford.Queue
	router   snipeford.Router
	affinity route.Affinity
	replicas []*replica
	views    []*snipeford.Replica
	running  map[snipeford.CallID]*running
	calls    map[snipeford.CallID]snipeford.Call
	arriving [snipeford.BandCount]snipeford.Tokens
	load     [snipeford.BandCount]snipeford.TokensPerSecond
	arranged snipeford.Instant
	// sent is the work of each band dispatched since arranged, and pace the
	// learned rate at which a band is served while some of it waits.
	sent [snipeford.BandCount]snipeford.Tokens
	pace [snipeford.BandCount]snipeford.TokensPerSecond
	// pressed counts the seconds for which some of a band has waited.
	pressed [snipeford.BandCount]int
	// usage is each organisation's offered work, halved every usageHalfLife.
	usage map[snipeford.Organisation]*usage
	// claimed holds the replicas that a prompt larger than one engine waits for.
	claimed  []*replica
	claimant *snipeford.Waiting
}

// replica is one upstream with what its home knows of it.
type replica struct {
	snipeford.Replica
	upstream    snipeford.Upstream
	window      snipeford.Window
	incarnation snipeford.Incarnation
	// foreign counts requests that an earlier home dispatched.
	foreign int
	own     int
	// failures counts failed attempts in a row; they pause the replica.
	failures    int
	pausedUntil snipeford.Instant
	// longs counts longer prompts before their first token, and longWork is
	// the estimate of their remaining prompt work as of worked.
	longs    int
	longWork float64
	worked   snipeford.Instant
}

// running is one dispatched call.
type running struct {
	w     *snipeford.Waiting
	parts []*replica
	// part is the index of the part that is being prefilled.
	part    int
	started snipeford.Instant
	first   bool
	alone   bool
}

func (s *State) newDispatcher(name snipeford.Group, fence snipeford.Fence) *dispatcher {
	queueName, routeName := s.settings.Queue, s.settings.Route
	if strings.HasPrefix(string(name.Model), "service/") {
		routeName = "LeastOutstanding"
	}
	// The settings were checked at the start, so that both names are known.
	q, _ := queue.New(queueName)
	r, _ := route.New(routeName)
	return &dispatcher{
		fence:   fence,
		queue:   q,
		router:  r,
		running: map[snipeford.CallID]*running{},
		calls:   map[snipeford.CallID]snipeford.Call{},
		usage:   map[snipeford.Organisation]*usage{},
	}
}

func (d *dispatcher) usable() int {
	n := 0
	for _, r := range d.replicas {
		if r.Usable {
			n++
		}
	}
	return n
}

// holds reports whether the group's replicas together have the memory.
func (g *group) holds(c snipeford.Call) bool {
	return g.memory == 0 || c.Prompt+c.MaxOutput <= g.memory
}

// cost returns the wait of a call in tokens of one replica's work.
func (g *group) cost(now snipeford.Instant, c snipeford.Call) snipeford.Tokens {
	summary := g.summary
	if g.dispatcher != nil {
		summary = g.summarize(now)
	}
	cost := summary.ShortCost
	if snipeford.BandOf(c.Prompt) != snipeford.BandShort {
		cost = (summary.Backlog + g.sent) / snipeford.Tokens(max(1, summary.Warm))
	}
	if summary.Free <= g.sentCalls {
		cost += fullWindow
	}
	if summary.Warm == 0 {
		// A cold engine is slow, the more so the longer the prompt.
		cost += c.Prompt
	}
	return cost
}

// summarize returns what the home tells the entries.
func (g *group) summarize(now snipeford.Instant) snipeford.GroupSummary {
	d := g.dispatcher
	out := snipeford.GroupSummary{Group: g.name, Fence: d.fence, Backlog: d.queue.Work()}
	lowest := snipeford.Tokens(-1)
	for _, r := range d.replicas {
		if !r.Usable {
			continue
		}
		r.refresh(now)
		out.Usable++
		out.Free += max(0, r.Window-r.Running)
		if !r.Cold {
			out.Warm++
		}
		out.Memory += r.Memory
		out.Largest = max(out.Largest, r.Memory)
		out.Rate += r.Rate
		out.Backlog += r.Prefill
		if wait := d.shortWait(r); lowest < 0 || wait < lowest {
			lowest = wait
		}
	}
	out.ShortCost = max(lowest, 0)
	return out
}

// fullWindow is what a short prompt is told to wait, in tokens, where the
// replica's window is full.
const fullWindow snipeford.Tokens = 50_000

// shortWait returns the wait of a short prompt at a replica, in tokens.
func (d *dispatcher) shortWait(r *replica) snipeford.Tokens {
	wait := d.router.ShortWait(&r.Replica)
	if r.Running >= r.Window {
		wait += fullWindow
	}
	return wait
}

// refresh brings the estimates that the policies see up to date.
func (r *replica) refresh(now snipeford.Instant) {
	elapsed := now.Sub(r.worked).Seconds()
	r.worked = now
	r.longWork = max(float64(r.longs), r.longWork-elapsed*float64(r.Rate))
	if r.longs == 0 {
		r.longWork = 0
	}
	r.Prefill = snipeford.Tokens(r.longWork) + r.ShortPrefill
	r.Running = r.own + r.foreign
	r.Window = r.window.Limit()
	r.Cold = r.window.State() == snipeford.StateCold
	if now < r.pausedUntil {
		r.Window = 0
	}
}

// offered takes a call into the group's queue, or sends it back.
func (s *State) offered(now snipeford.Instant, e Offered) {
	g := s.groups[e.Group]
	if g == nil || g.dispatcher == nil || !s.holds(now, g) {
		s.emit(Bounce{e.Call.ID, e.Group, snipeford.CauseNotHome, snipeford.NotRun, 0})
		return
	}
	d := g.dispatcher
	if d.usable() == 0 {
		s.emit(Bounce{e.Call.ID, e.Group, snipeford.CauseNoUpstream, snipeford.NotRun, comeBackSoon})
		return
	}
	w := s.waiting(now, e.Call)
	d.arriving[w.Band()] += w.Prompt
	w.Favoured = d.favoured(now, w)
	if late := g.late(now, w); late > 0 {
		s.emit(Bounce{e.Call.ID, e.Group, snipeford.CauseOverload, snipeford.NotRun, late})
		return
	}
	s.accept(g, e.Call)
	d.queue.Push(w)
	s.dispatch(now, g)
}

func (s *State) waiting(now snipeford.Instant, c snipeford.Call) *snipeford.Waiting {
	weight := s.configuration.Rules.Organisations[c.Organisation].Weight
	if weight <= 0 {
		weight = 1
	}
	return &snipeford.Waiting{
		Call:         c.ID,
		Organisation: c.Organisation,
		Weight:       weight,
		Prompt:       c.Prompt,
		Output:       s.expectedOutput(c),
		MaxOutput:    c.MaxOutput,
		Offset:       c.Offset,
		Prefix:       c.Prefix,
		Arrival:      now,
		GiveUp:       c.GiveUp,
	}
}

// late returns by how much the call's wait would exceed what it may wait, or
// zero. The wait is that of the band's backlog at the pace at which the band
// was served lately, with a margin for what is not known yet.
func (g *group) late(now snipeford.Instant, w *snipeford.Waiting) time.Duration {
	d := g.dispatcher
	pace := d.pace[w.Band()]
	if d.pressed[w.Band()] < leastPressed {
		// What was served lately is what came, not what could be served.
		pace = max(pace, g.summarize(now).Rate)
	}
	ahead := d.queue.Ahead(w)
	if ahead == 0 || pace <= 0 {
		return 0
	}
	wait := time.Duration(float64(ahead+w.Work()) / float64(pace) * float64(time.Second))
	return max(0, waitMargin*wait-w.GiveUp.Sub(now))
}

// leastPressed is for how many seconds a band has to have waited before its
// pace says what the group can do.
const leastPressed = 3

// waitMargin is by how much a wait is taken to be longer than estimated.
const waitMargin = 3

// dispatch sends what the policies place now.
func (s *State) dispatch(now snipeford.Instant, g *group) {
	d := g.dispatcher
	if d.queue.Len() == 0 || !s.holds(now, g) {
		return
	}
	for _, r := range d.replicas {
		r.refresh(now)
	}
	s.sendClaimant(now, g)
	for d.queue.Len() > 0 {
		var parts []*replica
		postponed := false
		w := d.queue.Next(now, func(w *snipeford.Waiting) bool {
			if postponed = s.postpone(now, w); postponed {
				return false
			}
			parts = d.pick(now, w)
			return parts != nil
		})
		if w == nil && postponed {
			continue
		}
		if w == nil {
			return
		}
		s.send(now, g, w, parts)
	}
}

// postpone puts a retry off where the budget has no room for it now.
func (s *State) postpone(now snipeford.Instant, w *snipeford.Waiting) bool {
	if w.Attempts == 0 || s.retries.Room() {
		return false
	}
	w.NotBefore = now.Add(retryPause)
	return true
}

// retryPause is the time after which a retry without budget is offered again.
const retryPause = 200 * time.Millisecond

// arrange learns from the last second and lets the router move its split with
// the load. It runs by the tick, after the queue was served, so that what still
// waits is what could not be served.
func (d *dispatcher) arrange(now snipeford.Instant) {
	elapsed := now.Sub(d.arranged)
	if elapsed < arrangeEvery {
		return
	}
	d.arranged = now
	for band, tokens := range d.arriving {
		rate := snipeford.TokensPerSecond(float64(tokens) / elapsed.Seconds())
		d.load[band] += loadSmoothing * (rate - d.load[band])
		d.arriving[band] = 0
	}
	for band, tokens := range d.sent {
		rate := snipeford.TokensPerSecond(float64(tokens) / elapsed.Seconds())
		waits := d.queue.Backlog(snipeford.LengthBand(band)) > 0
		if rate > d.pace[band] || waits {
			d.pace[band] += paceSmoothing * (rate - d.pace[band])
		}
		d.pressed[band]++
		if !waits {
			d.pressed[band] = 0
		}
		d.sent[band] = 0
	}
	d.router.Arrange(d.views, d.load)
}

// pick returns the replicas for a call, or nil where it has to wait.
func (d *dispatcher) pick(now snipeford.Instant, w *snipeford.Waiting) []*replica {
	if w.Memory() > 0 && w.Memory() > d.largest()-shortReserve {
		return d.pickReserved(now, w)
	}
	chosen := d.router.Pick(w, d.views, d.affinity.Cached(w.Prefix))
	if chosen == nil {
		if w.Band() == snipeford.BandHuge {
			return d.pickReserved(now, w)
		}
		return nil
	}
	d.unclaim(w.Call)
	for _, r := range d.replicas {
		if &r.Replica == chosen {
			return []*replica{r}
		}
	}
	return nil
}

func (d *dispatcher) largest() snipeford.Tokens {
	var n snipeford.Tokens
	for _, r := range d.replicas {
		if r.Usable {
			n = max(n, r.Memory)
		}
	}
	return n
}

// send makes a waiting call a running one.
func (s *State) send(now snipeford.Instant, g *group, w *snipeford.Waiting, parts []*replica) {
	d := g.dispatcher
	if w.Attempts > 0 {
		s.retries.Take()
	}
	w.Attempts++
	d.sent[w.Band()] += w.Work()
	run := &running{w: w, parts: parts, started: now, alone: true}
	effect := Dispatch{
		Call:     w.Call,
		Priority: priority(d.router, w, len(parts)),
		Fence:    d.fence,
		Until:    s.until(now),
		Offset:   w.Offset,
		Attempt:  w.Attempts,
		Waited:   now.Sub(w.Arrival),
	}
	memory := w.Memory() / snipeford.Tokens(len(parts))
	prompt := w.Prompt / snipeford.Tokens(len(parts))
	for i, r := range parts {
		run.alone = run.alone && r.longs == 0 && len(parts) == 1
		r.take(memory)
		from := prompt * snipeford.Tokens(i)
		to := from + prompt
		if i == len(parts)-1 {
			to = w.Prompt
		}
		effect.Parts = append(effect.Parts, Part{r.upstream, from, to})
	}
	parts[0].prefilling(w, prompt)
	if len(parts) == 1 {
		d.affinity.Remember(w.Prefix, parts[0].ID)
	}
	d.running[w.Call] = run
	s.emit(effect)
}

// priority returns the engine priority of a call: one that holds the memory of
// several engines goes before all others but the short ones.
func priority(router snipeford.Router, w *snipeford.Waiting, parts int) int {
	p := router.Priority(w)
	if parts > 1 {
		return min(p, severalPriority)
	}
	return p
}

// severalPriority is the engine priority of a prompt that spans several engines.
const severalPriority = 3

// take counts a dispatched call at a replica.
func (r *replica) take(memory snipeford.Tokens) {
	r.own++
	r.Committed += memory
	r.Running = r.own + r.foreign
}

// prefilling counts a call's prompt work as begun.
func (r *replica) prefilling(w *snipeford.Waiting, prompt snipeford.Tokens) {
	if w.Band() == snipeford.BandShort {
		r.ShortPrefill += prompt
	} else {
		r.longs++
		r.longWork += float64(prompt)
	}
	r.Prefill += prompt
}

// prefilled counts a call's prompt work as done.
func (r *replica) prefilled(w *snipeford.Waiting, prompt snipeford.Tokens) {
	if w.Band() == snipeford.BandShort {
		r.ShortPrefill -= prompt
		return
	}
	r.longs--
}

// partPrompt returns the prompt work of one part.
func (run *running) partPrompt() snipeford.Tokens {
	return run.w.Prompt / snipeford.Tokens(len(run.parts))
}

// partStarted moves a call's prompt work to its next part.
func (s *State) partStarted(e PartStarted) {
	_, run := s.find(e.Call)
	if run == nil || run.first || e.Part <= run.part || e.Part >= len(run.parts) {
		return
	}
	run.parts[run.part].prefilled(run.w, run.partPrompt())
	run.part = e.Part
	run.parts[run.part].prefilling(run.w, run.partPrompt())
}

// find returns the group that dispatches a call, and its running attempt.
func (s *State) find(id snipeford.CallID) (*group, *running) {
	g := s.homed[id]
	if g == nil {
		return nil, nil
	}
	return g, g.dispatcher.running[id]
}

// accept and forget keep the dispatcher's calls and the index of them.
func (s *State) accept(g *group, c snipeford.Call) {
	g.dispatcher.calls[c.ID] = c
	s.homed[c.ID] = g
}

func (s *State) forget(g *group, id snipeford.CallID) {
	g.dispatcher.unclaim(id)
	delete(g.dispatcher.calls, id)
	delete(s.homed, id)
}

func (s *State) firstToken(now snipeford.Instant, id snipeford.CallID) {
	g, run := s.find(id)
	if run == nil || run.first {
		return
	}
	run.first = true
	run.parts[run.part].prefilled(run.w, run.partPrompt())
	last := run.parts[len(run.parts)-1]
	took := now.Sub(run.started)
	if run.alone && run.w.Prompt >= rateFrom {
		seen := float64(run.w.Prompt) / took.Seconds()
		last.Rate += snipeford.TokensPerSecond(rateSmoothing * (seen - float64(last.Rate)))
	}
	expected := time.Duration(float64(run.w.Prompt)/float64(firstRate)*float64(time.Second)) + firstTokenGrace
	last.window.Succeeded(now, took, expected)
	last.failures, last.pausedUntil = 0, 0
	s.dispatch(now, g)
}

// release takes a call off its replicas.
func (g *group) release(run *running) {
	if !run.first {
		run.parts[run.part].prefilled(run.w, run.partPrompt())
	}
	memory := run.w.Memory() / snipeford.Tokens(len(run.parts))
	for _, r := range run.parts {
		r.own--
		r.Committed -= memory
	}
	delete(g.dispatcher.running, run.w.Call)
}

func (s *State) attemptEnded(now snipeford.Instant, e AttemptEnded) {
	g, run := s.find(e.Call)
	if run == nil {
		s.orphanEnded(e)
		return
	}
	g.release(run)
	w := run.w
	c := g.dispatcher.calls[e.Call]
	switch e.End {
	case snipeford.EndDone:
		s.learnOutput(w.Organisation, c.MaxOutput, e.Offset)
		s.forget(g, e.Call)
		s.emit(Complete{e.Call})
	case snipeford.EndCancelled:
		s.forget(g, e.Call)
	default:
		s.failed(now, g, run, c, e)
	}
	s.dispatch(now, g)
}

// orphanEnded ends a call whose group was handed over while it ran.
func (s *State) orphanEnded(e AttemptEnded) {
	switch e.End {
	case snipeford.EndDone:
		s.emit(Complete{e.Call})
	case snipeford.EndUnsent:
		s.emit(Bounce{e.Call, snipeford.Group{}, snipeford.CauseNotHome, snipeford.NotRun, 0})
	case snipeford.EndCancelled:
	default:
		s.emit(Bounce{e.Call, snipeford.Group{}, snipeford.CauseUpstreamFailed, snipeford.Unknown, comeBackSoon})
	}
}

// failed queues a lost call again where it may be, or sends it back.
func (s *State) failed(now snipeford.Instant, g *group, run *running, c snipeford.Call, e AttemptEnded) {
	w := run.w
	for _, r := range run.parts {
		if e.End == snipeford.EndRejected {
			r.window.Rejected(now)
			continue
		}
		r.window.Failed(now)
		r.pause(now)
	}
	unsent := e.End == snipeford.EndUnsent
	w.Offset = max(w.Offset, e.Offset)
	w.NotBefore = retry.At(now, w.Attempts, c.Seed)
	allowed := c.Idempotent || unsent
	if allowed && w.NotBefore < c.Deadline && g.dispatcher.usable() > 0 && retry.Allowed(w.Attempts) {
		w.GiveUp = max(w.GiveUp, min(now.Add(retryWait), c.Deadline))
		g.dispatcher.queue.Push(w)
		return
	}
	s.forget(g, e.Call)
	outcome := snipeford.Unknown
	if unsent && w.Attempts == 1 {
		outcome = snipeford.NotRun
	}
	s.emit(Bounce{e.Call, g.name, snipeford.CauseUpstreamFailed, outcome, comeBackSoon})
}

// Pauses of a replica after failed attempts, doubled by each in a row.
const (
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
)

// pause keeps new work from a replica whose attempt failed.
func (r *replica) pause(now snipeford.Instant) {
	r.pausedUntil = now.Add(min(firstPause<<min(r.failures, 10), longestPause))
	r.failures++
}

// retryWait is the least time that a retried call may wait in the queue.
const retryWait = 15 * time.Second

// withdrawn drops a call that nobody waits for any more.
func (s *State) withdrawn(id snipeford.CallID) {
	g := s.homed[id]
	if g != nil && g.dispatcher.queue.Remove(id) != nil {
		s.forget(g, id)
	}
	s.emit(Cancel{id})
}

// expire sends back the calls that waited too long.
func (s *State) expire(now snipeford.Instant, g *group) {
	for _, w := range g.dispatcher.queue.Expired(now) {
		s.forget(g, w.Call)
		s.emit(Bounce{w.Call, g.name, snipeford.CauseDeadline, outcomeOf(w), comeBackSoon})
	}
}

// outcomeOf says whether any upstream was sent a call that waits.
func outcomeOf(w *snipeford.Waiting) snipeford.Outcome {
	if w.Attempts > 0 {
		return snipeford.Unknown
	}
	return snipeford.NotRun
}

func (s *State) loadReported(now snipeford.Instant, l snipeford.Load) {
	u, ok := s.upstreams[l.Upstream]
	if !ok {
		return
	}
	g := s.groups[groupOf(u)]
	if g == nil || g.dispatcher == nil {
		return
	}
	for _, r := range g.dispatcher.replicas {
		if r.ID == l.Upstream {
			g.dispatcher.report(now, r, l)
		}
	}
	s.dispatch(now, g)
}

func (d *dispatcher) report(now snipeford.Instant, r *replica, l snipeford.Load) {
	if l.Incarnation != r.incarnation {
		d.affinity.Forget(r.ID)
		if r.incarnation == "" {
			r.foreign = l.Running + l.Waiting
		} else {
			r.foreign = 0
		}
		r.incarnation = l.Incarnation
	}
	r.foreign = min(r.foreign, l.Running+l.Waiting)
	if l.MemorySize > 0 {
		r.Memory = l.MemorySize
	}
	r.window.Reported(l, now)
}

func (s *State) cacheEvicted(e CacheEvicted) {
	u, ok := s.upstreams[e.Upstream]
	if !ok {
		return
	}
	if g := s.groups[groupOf(u)]; g != nil && g.dispatcher != nil {
		g.dispatcher.affinity.Evicted(e.Block, e.Upstream)
	}
}

// groupOf returns the group of an engine or of a plain service's replica.
func groupOf(u snipeford.Upstream) snipeford.Group {
	if u.Kind == snipeford.KindService {
		return snipeford.Group{Model: snipeford.ServiceModel(u.Service), Domain: u.Domain}
	}
	return u.Group()
}

func newReplica(u snipeford.Upstream) *replica {
	r := &replica{upstream: u, window: window.New()}
	r.ID = u.ID
	r.Memory = u.Memory
	r.Rate = firstRate
	return r
}
