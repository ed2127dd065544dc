package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

// Figures of the choice. Losses are counted in requests of usual size.
const (
	// longReading is the reading, in milliseconds, from which a prompt counts
	// as long.
	longReading = 150
	// weightTokens is the prompt length that doubles what a late request
	// loses: its caller has to send and wait for as much again.
	weightTokens = 10_000
	// softness is the width, as a share of a limit, in which a predicted time
	// near the limit counts as partly late. Predictions err by about a pass.
	softness = 0.15
	// certain is the distance from a limit, in half widths, from which a chance
	// is taken as none or one: it differs by less than a hundred-thousandth.
	certain = 12
	// safety is the share of a limit that a prediction may use up.
	safety = 0.85
	// hastening is what a first event at its target costs beside one at once.
	hastening = 0.08
	// lateWorth is what a late answer gains beside a timely one: a quarter on
	// both users' sheets, less what its reading takes from requests to come.
	lateWorth = 0.15
	// lostShare is what a stream whose caller leaves loses beyond being late: the
	// caller has to come back.
	lostShare = 1
	// otherDomain is what an engine in another failure domain costs.
	otherDomain = 0.004
	// giantReading is the reading, in milliseconds, from which a prompt gets as
	// few engines as can serve it in time: it would hold up all others.
	giantReading = 12_000
	// giantPatience is the share of its caller's patience that its reading may
	// take.
	giantPatience = 0.75
	// leastPart is the shortest part, in tokens, that a helper reads: engines
	// help few requests at once, until their ends.
	leastPart = 6_000
	// memoryUse is the share of an engine's memory that is given away.
	memoryUse = 0.96
	// coldLoss is what a cold engine costs.
	coldLoss = 0.3
	// overdueFactor is how much longer an engine is expected to be busy with
	// what is not in the books, as a multiple of the time that it already was.
	overdueFactor = 2
	// callerHop is the time from the engine's event to the caller and from the
	// caller to the engine, in milliseconds.
	callerHop = 8
)

// helperCounts are the numbers of helpers that are weighed.
var helperCounts = []int{0, 1, 2, 3, 5, 7, 9, 11, 13, 15}

// option is one engine as seen by one request.
type option struct {
	r *replica
	// finish is when its part would be read if it helps, in milliseconds from
	// now, and base the time of a pass of token steps.
	finish float64
	base   float64
	// first is when the first event would come if it wrote the answer.
	first float64
	harm  float64
	score float64
}

// lateness returns the chance that a time misses its limit.
func lateness(time, limit float64) float64 {
	if limit <= 0 {
		return 1
	}
	x := 2 * (time - safety*limit) / (softness * limit)
	switch {
	case x > certain:
		return 1
	case x < -certain:
		return 0
	}
	return 1 / (1 + math.Exp(-x))
}

func weight(prompt snipeford.Tokens) float64 { return 1 + float64(prompt)/weightTokens }

// choose finds the placement of least loss among the engines. Due is when the
// first event should come, in milliseconds from now.
func (s *State) choose(now snipeford.Instant, ask snipeford.PlacementRequest, engines []*replica) (best snipeford.Placement, loss, due float64) {
	loss = math.Inf(1)
	looks := make([]look, len(engines))
	for i, r := range engines {
		looks[i] = s.look(now, ask, r)
	}
	for _, helpers := range helperCounts {
		if !s.fair(ask, helpers) {
			continue
		}
		if ask.AvoidHelpers && helpers > 0 && s.fits(ask) {
			break
		}
		if helpers+1 > len(engines) || helpers > 0 && !s.model.SharedPrefill {
			break
		}
		if helpers > 0 && ask.Prompt/snipeford.Tokens(helpers+1) < leastPart {
			break
		}
		p, l, first, ok := s.weigh(now, ask, looks, helpers)
		if ok && l < loss {
			best, loss, due = p, l, first
		}
	}
	return best, loss, due
}

// fits reports whether one engine's memory holds the request.
func (s *State) fits(ask snipeford.PlacementRequest) bool {
	return ask.Prompt+ask.ExpectedOutput <= snipeford.Tokens(memoryUse*float64(s.model.Memory))
}

// fair reports whether a prompt may have that many helpers: a giant gets the
// fewest that serve it in time.
func (s *State) fair(ask snipeford.PlacementRequest, helpers int) bool {
	whole := s.model.reading(ask.Prompt)
	if whole <= giantReading || ask.AvoidHelpers && s.fits(ask) {
		return true
	}
	limit := giantPatience * ms(remaining(ask))
	for _, fewest := range helperCounts {
		if whole/float64(fewest+1) <= limit {
			return helpers == fewest
		}
	}
	return helpers == helperCounts[len(helperCounts)-1]
}

// retryLater is when a caller may come back that no engine can take.
const retryLater = 500 * time.Millisecond

// usable returns the engines that may get the request. Suspects are left out
// as long as others are there.
func (s *State) usable(now snipeford.Instant, ask snipeford.PlacementRequest) []*replica {
	var good, rest []*replica
	for _, r := range s.order {
		if slices.Contains(ask.Excluded, r.id) || s.coldFull(now, r) {
			continue
		}
		if r.suspectUntil > now {
			rest = append(rest, r)
			continue
		}
		good = append(good, r)
	}
	if len(good) == 0 {
		return rest
	}
	return good
}

// coldFull reports whether the engine got as many requests in the last second
// as a cold one bears. Engines turn cold without notice, so that it holds for
// all of them.
func (s *State) coldFull(now snipeford.Instant, r *replica) bool {
	return s.coldRate > 0 && float64(r.sentLately(now)+1) > s.coldRate
}

// weigh finds the best engines for a number of helpers.
func (s *State) weigh(now snipeford.Instant, ask snipeford.PlacementRequest, looks []look, helpers int) (snipeford.Placement, float64, float64, bool) {
	part := s.model.reading(ask.Prompt) / float64(helpers+1)
	options := make([]option, 0, len(looks))
	w := weight(ask.Prompt)
	for _, l := range looks {
		o := s.option(now, l, part)
		o.score = o.harm + w*lateness(o.first, ms(ask.FirstEventTarget)) + w*hastening*o.first/math.Max(ms(ask.FirstEventTarget), 1)
		options = append(options, o)
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.score, b.score) })
	chosen := options[:helpers+1]
	lead := s.lead(ask, chosen)
	if lead < 0 {
		return s.weighSpread(ask, chosen, w)
	}
	chosen[0], chosen[lead] = chosen[lead], chosen[0]
	return placed(ask, chosen, 0), s.loss(ask, chosen), finish(chosen), true
}

// look is what of an engine does not depend on the part of a prompt that it
// would read. Times are in milliseconds.
type look struct {
	r *replica
	// base is the time of a pass of token steps with the newcomer, and residual
	// what the running one still takes.
	base, residual float64
	// backlog is the reading that is still to be done, parts that of helpers.
	backlog, parts float64
	// turns is the wait for a slot, and side what the engine costs by its side of
	// the split, its cold cache and its failure domain.
	turns, side float64
}

// look takes an engine's state in for one request.
func (s *State) look(now snipeford.Instant, ask snipeford.PlacementRequest, r *replica) look {
	n, context := r.writers()
	strangers := r.strangers(now)
	n += strangers
	l := look{r: r, base: s.model.pass(n+1, context+ask.Prompt), side: s.split(ask, r)}
	l.backlog, l.parts = r.backlog(now)
	if n > 0 || l.backlog > 0 {
		l.residual = l.base / 2
	}
	l.residual += overdueFactor * r.overdue(now)
	if waiting := len(r.jobs) + strangers - s.model.Slots; waiting >= 0 && s.model.Slots > 0 {
		l.turns = float64(waiting+1) * l.base * slotTurn
	}
	if r.coldUntil > now {
		l.side += coldLoss
	}
	if r.domain != ask.Domain {
		l.side += otherDomain
	}
	return l
}

// option predicts what a part of the prompt does at one engine.
func (s *State) option(now snipeford.Instant, l look, part float64) option {
	return option{
		r: l.r, base: l.base,
		finish: callerHop + l.residual + l.parts + part,
		first:  callerHop + l.residual + l.backlog + part + l.base + l.turns,
		harm:   s.harm(now, l.r, l.base+l.backlog, part) + l.side,
	}
}

const (
	// slotTurn is how many passes a full engine takes to end one request.
	slotTurn = 3
)

// harm returns what the streams at an engine lose where the next pass takes
// pass milliseconds and part more.
func (s *State) harm(now snipeford.Instant, r *replica, pass, part float64) float64 {
	sum := 0.0
	var pause, silence rise
	for _, j := range r.jobs {
		w := weight(j.ask.Prompt)
		if j.stage == writing {
			sum += w * lostShare * silence.at(ms(j.ask.StreamIdleTimeout), pass, part)
		}
		if j.late {
			continue
		}
		if j.stage == writing {
			sum += w * pause.at(ms(j.ask.EventGapTarget), pass, part)
			continue
		}
		limit := ms(j.start.Add(j.ask.FirstEventTarget).Sub(now))
		eta := math.Max(ms(j.due.Sub(now)), 0)
		sum += w * (lateness(eta+part, limit) - lateness(eta, limit))
	}
	return sum
}

// rise remembers by how much the chance of lateness rises for a limit: the
// streams of an engine share few limits.
type rise struct{ limit, value float64 }

func (r *rise) at(limit, pass, part float64) float64 {
	if r.limit != limit {
		r.limit, r.value = limit, lateness(pass+part, limit)-lateness(pass, limit)
	}
	return r.value
}

// lead returns the chosen engine that writes: the first by its own time whose
// memory holds the whole prompt, or -1.
func (s *State) lead(ask snipeford.PlacementRequest, chosen []option) int {
	limit := snipeford.Tokens(memoryUse * float64(s.model.Memory))
	lead := -1
	for i, o := range chosen {
		if o.r.memory()+ask.Prompt+ask.ExpectedOutput > limit {
			continue
		}
		if lead < 0 || o.first < chosen[lead].first {
			lead = i
		}
	}
	return lead
}

// weighSpread places a prompt whose memory no chosen engine has alone: each
// sets aside an even part of it.
func (s *State) weighSpread(ask snipeford.PlacementRequest, chosen []option, w float64) (snipeford.Placement, float64, float64, bool) {
	if len(chosen) < 2 || s.fits(ask) {
		return snipeford.Placement{}, 0, 0, false
	}
	need := ask.Prompt + ask.ExpectedOutput
	share := need/snipeford.Tokens(len(chosen)) + s.model.PrefillChunk
	limit := snipeford.Tokens(memoryUse * float64(s.model.Memory))
	for _, o := range chosen {
		if o.r.memory()+share > limit {
			return snipeford.Placement{}, 0, 0, false
		}
	}
	return placed(ask, chosen, share), s.loss(ask, chosen), finish(chosen), true
}

func placed(ask snipeford.PlacementRequest, chosen []option, reserve snipeford.Tokens) snipeford.Placement {
	p := snipeford.Placement{RequestID: ask.RequestID, EntryNode: ask.EntryNode, Upstream: chosen[0].r.id, ReservedMemory: reserve}
	for _, o := range chosen[1:] {
		p.Helpers = append(p.Helpers, o.r.id)
	}
	return p
}

// finish returns when the first event comes: after the last part.
func finish(chosen []option) float64 {
	last := chosen[0].first
	for _, o := range chosen[1:] {
		last = math.Max(last, o.finish+chosen[0].base)
	}
	return last
}

// loss adds up what a placement costs its own caller and the others.
func (s *State) loss(ask snipeford.PlacementRequest, chosen []option) float64 {
	sum := 0.0
	for _, o := range chosen {
		sum += o.harm
	}
	return sum + s.own(ask, finish(chosen))
}

// own returns what a request loses whose first event comes at an instant.
func (s *State) own(ask snipeford.PlacementRequest, first float64) float64 {
	target := ms(ask.FirstEventTarget)
	return weight(ask.Prompt) * (lateness(first, target) + hastening*first/math.Max(target, 1))
}
