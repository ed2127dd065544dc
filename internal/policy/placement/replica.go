package placement

import (
	"slices"
	"time"

	"snipeford"
)

// stage is how far a job has come.
type stage int

const (
	reading stage = iota
	writing
)

// job is one request that was placed.
type job struct {
	ask     snipeford.PlacementRequest
	placed  snipeford.Placement
	start   snipeford.Instant
	stage   stage
	firstAt snipeford.Instant
	// due is the predicted instant of the first event.
	due snipeford.Instant
	// part is the reading time of each of its parts, in milliseconds.
	part float64
	// late jobs have missed their target; nothing more is lost with them.
	late bool
}

// replica is one engine with the jobs that it works on.
type replica struct {
	id     snipeford.UpstreamID
	domain snipeford.FailureDomain
	// rank is the place in the order of engines.
	rank      int
	coldUntil snipeford.Instant
	// jobs write here, or will; parts are the jobs that it helps to read.
	jobs  map[snipeford.RequestID]*job
	parts map[snipeford.RequestID]*job
	// reads is the reading that was placed here and should not be done yet, in
	// the engine's order: helpers' parts go ahead. It stands as of readsAt.
	reads   []read
	readsAt snipeford.Instant
	// suspectUntil is until when it gets no request, after failures in a row.
	suspectUntil snipeford.Instant
	failures     int
	// foreign is how many requests the engine had that are not in the books, as
	// of foreignAt: those of nodes that could not tell.
	foreign   int
	foreignAt snipeford.Instant
	// sent are the instants of the last requests, for the cold rate.
	sent []snipeford.Instant
}

// Failures and suspicion of a replica.
const (
	// firstSuspicion is how long a replica gets no request after a failure, and
	// longestSuspicion bounds its doubling.
	firstSuspicion   = 300 * time.Millisecond
	longestSuspicion = 4 * time.Second
)

func newReplica(id snipeford.UpstreamID, domain snipeford.FailureDomain) *replica {
	return &replica{
		id: id, domain: domain,
		jobs:  map[snipeford.RequestID]*job{},
		parts: map[snipeford.RequestID]*job{},
	}
}

// read is the reading of one job's part, with what is left in milliseconds.
type read struct {
	job    *job
	helper bool
	left   float64
}

// advance takes off the reading that the engine has done by now.
func (r *replica) advance(now snipeford.Instant) {
	spent := ms(now.Sub(r.readsAt))
	r.readsAt = max(now, r.readsAt)
	for len(r.reads) > 0 && spent > 0 {
		if r.reads[0].left > spent {
			r.reads[0].left -= spent
			return
		}
		spent -= r.reads[0].left
		r.reads = r.reads[1:]
	}
}

// backlog returns the reading that is still to be done, in milliseconds, all
// of it and that of helpers' parts.
func (r *replica) backlog(now snipeford.Instant) (all, parts float64) {
	r.advance(now)
	for _, one := range r.reads {
		all += one.left
		if one.helper {
			parts += one.left
		}
	}
	return all, parts
}

// addReading adds a job's part to the reading.
func (r *replica) addReading(now snipeford.Instant, j *job, helper bool) {
	r.advance(now)
	one := read{j, helper, j.part}
	at := len(r.reads)
	if helper {
		at = slices.IndexFunc(r.reads, func(o read) bool { return !o.helper })
		if at < 0 {
			at = len(r.reads)
		}
	}
	r.reads = slices.Insert(slices.Clone(r.reads), at, one)
}

// dropReading takes a job's part off.
func (r *replica) dropReading(now snipeford.Instant, j *job) {
	r.advance(now)
	r.reads = slices.DeleteFunc(slices.Clone(r.reads), func(o read) bool { return o.job == j })
}

func duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// writers returns how many jobs write here, with the sum of their contexts.
func (r *replica) writers() (int, snipeford.Tokens) {
	n, context := 0, snipeford.Tokens(0)
	for _, j := range r.jobs {
		if j.stage == writing {
			n++
			context += j.ask.Prompt
		}
	}
	return n, context
}

// memory returns what the jobs take at most.
func (r *replica) memory() snipeford.Tokens {
	var sum snipeford.Tokens
	for _, j := range r.jobs {
		sum += j.memory()
	}
	for _, j := range r.parts {
		sum += j.placed.ReservedMemory
	}
	return sum
}

// memory returns what a job takes at its first engine.
func (j *job) memory() snipeford.Tokens {
	if j.placed.ReservedMemory > 0 {
		return j.placed.ReservedMemory
	}
	return j.ask.Prompt + j.ask.ExpectedOutput
}

// overdueGrace is by how many milliseconds a first event may miss its
// prediction before its engine counts as overdue: three passes without reading.
const overdueGrace = 200

// foreignFresh is how long an engine's own word on its load counts.
const foreignFresh = time.Second

// reported takes in the engine's own word on its load.
func (r *replica) reported(now snipeford.Instant, l snipeford.EngineLoad) {
	if l.Known {
		r.foreign, r.foreignAt = max(0, l.Running+l.Waiting-len(r.jobs)), now
	}
}

// overdue returns by how many milliseconds the most overdue first event misses
// its prediction: the engine has work that is not in the books.
func (r *replica) overdue(now snipeford.Instant) float64 {
	most := 0.0
	for _, j := range r.jobs {
		if j.stage == reading && j.due > 0 {
			most = max(most, ms(now.Sub(j.due))-overdueGrace)
		}
	}
	return most
}

// strangers returns how many requests run here that are not in the books.
func (r *replica) strangers(now snipeford.Instant) int {
	if now.Sub(r.foreignAt) > foreignFresh {
		return 0
	}
	return r.foreign
}

// failed notes a failure.
func (r *replica) failed(now snipeford.Instant) {
	wait := min(firstSuspicion<<min(r.failures, 10), longestSuspicion)
	r.failures++
	r.suspectUntil = now.Add(wait)
}

// succeeded notes a sign of life.
func (r *replica) succeeded() {
	r.failures, r.suspectUntil = 0, 0
}

// sentLately counts the requests of the last second.
func (r *replica) sentLately(now snipeford.Instant) int {
	for len(r.sent) > 0 && now.Sub(r.sent[0]) >= time.Second {
		r.sent = r.sent[1:]
	}
	return len(r.sent)
}
