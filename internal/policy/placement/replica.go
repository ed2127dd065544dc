package placement

import (
	"math"
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
	ask     snipeford.PlaceAsk
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
	id        snipeford.UpstreamID
	domain    snipeford.FailureDomain
	coldUntil snipeford.Instant
	// jobs write here, or will; parts are the jobs that it helps to read.
	jobs  map[snipeford.RequestID]*job
	parts map[snipeford.RequestID]*job
	// busyUntil is when all reading that was placed here should be done.
	busyUntil snipeford.Instant
	// pace is the measured time of first events over the predicted one.
	pace float64
	// suspectUntil is until when it gets no request, after failures in a row.
	suspectUntil snipeford.Instant
	failures     int
	// heard is when an event of any of its streams came last.
	heard snipeford.Instant
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
		id: id, domain: domain, pace: 1,
		jobs:  map[snipeford.RequestID]*job{},
		parts: map[snipeford.RequestID]*job{},
	}
}

// backlog returns the reading that is still to be done, in milliseconds.
func (r *replica) backlog(now snipeford.Instant) float64 {
	return math.Max(0, ms(r.busyUntil.Sub(now)))
}

// addReading adds to the backlog.
func (r *replica) addReading(now snipeford.Instant, milliseconds float64) {
	r.busyUntil = max(r.busyUntil, now).Add(duration(milliseconds))
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
		sum += j.placed.Reserve
	}
	return sum
}

// memory returns what a job takes at its first engine.
func (j *job) memory() snipeford.Tokens {
	if j.placed.Reserve > 0 {
		return j.placed.Reserve
	}
	return j.ask.Prompt + j.ask.Output
}

// failed notes a failure.
func (r *replica) failed(now snipeford.Instant) {
	wait := min(firstSuspicion<<min(r.failures, 10), longestSuspicion)
	r.failures++
	r.suspectUntil = now.Add(wait)
}

// succeeded notes a sign of life.
func (r *replica) succeeded(now snipeford.Instant) {
	r.failures, r.suspectUntil, r.heard = 0, 0, now
}

// sentLately counts the requests of the last second.
func (r *replica) sentLately(now snipeford.Instant) int {
	for len(r.sent) > 0 && now.Sub(r.sent[0]) >= time.Second {
		r.sent = r.sent[1:]
	}
	return len(r.sent)
}
