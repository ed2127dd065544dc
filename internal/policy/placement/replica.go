package placement

import (
	"slices"
	"time"

	"snipeford"
)

// stage is the progress of a job.
type stage int

const (
	stagePrefill stage = iota
	stageDecode
)

// job is a placed request.
type job struct {
	req       snipeford.PlacementRequest
	placement snipeford.Placement
	start     snipeford.Instant
	stage     stage
	// expectedFirstEventAt is the predicted time of the first event.
	expectedFirstEventAt snipeford.Instant
	// partPrefill is the prefill time of each part of the prompt.
	partPrefill float64
	// decodesSince is when the first event arrived, at the latest.
	decodesSince snipeford.Instant
	// sample is what sampleOf returned for the job.
	sample float64
	// longLoad is what the job added to State.longLoad at its start.
	longLoad float64
	// lasting is set once TakeLasting has returned the job.
	lasting bool
	// missedTarget is set if the first event came after its target. The job is
	// late then, and has no further cost unless its caller disconnects.
	missedTarget bool
	// short is set if the prompt is short.
	short bool
	// level is the usage level of the organisation at the placement.
	level int
	// charged is the usage that the job was charged, as stored since chargedBase.
	charged     float64
	chargedBase snipeford.Instant
}

// replica is an engine with the jobs placed on it.
type replica struct {
	id     snipeford.UpstreamID
	domain snipeford.FailureDomain
	// rank is the engine's index among the candidates without a pause, and higher for the
	// others.
	rank      int
	coldUntil snipeford.Instant
	// jobs are the jobs of which this is the primary engine, and helperJobs those that it
	// helps to prefill, both in the order in which they were added, so that sums over them
	// are equal in all runs.
	jobs       []*job
	helperJobs []*job
	// prefillQueue is the prefill work placed here that the engine should not
	// have finished by prefillQueueAt, in the order in which the engine does it:
	// parts of helper jobs come first.
	prefillQueue   []prefillPart
	prefillQueueAt snipeford.Instant
	// suspectUntil is when the engine stops being suspect after consecutive
	// failures. A suspect engine gets requests only if no other engine is usable.
	suspectUntil snipeford.Instant
	failures     int
	reliability  reliability
	speed        speed
	// latestServedStart is the latest start of a job that has got its first event.
	latestServedStart snipeford.Instant
	// untracked is the number of requests that the engine had at untrackedAt
	// beyond those tracked here. They come from nodes that could not report them.
	untracked   int
	untrackedAt snipeford.Instant
	// lostMemory is the memory of the requests of lost nodes, until lostUntil.
	lostMemory snipeford.Tokens
	lostUntil  snipeford.Instant
	// sent holds the latest requests by time, to limit the request rate.
	sent []sentRequest
}

// sentRequest is a request that was sent to an engine.
type sentRequest struct {
	id snipeford.RequestID
	at snipeford.Instant
}

// Backoff after failures of an engine.
const (
	// initialSuspectTime is how long an engine is suspect after its first failure.
	// The time doubles with each further failure, up to maxSuspectTime.
	initialSuspectTime = 300 * time.Millisecond
	maxSuspectTime     = 4 * time.Second
)

func newReplica(id snipeford.UpstreamID, domain snipeford.FailureDomain) *replica {
	return &replica{id: id, domain: domain}
}

// prefillPart is one job's part in a prefill queue, with its remaining time.
type prefillPart struct {
	job       *job
	helper    bool
	remaining float64
}

// advancePrefill removes the work that the engine should have done by now from
// the prefill queue.
func (r *replica) advancePrefill(now snipeford.Instant) {
	spent := ms(now.Sub(r.prefillQueueAt))
	r.prefillQueueAt = max(now, r.prefillQueueAt)
	for len(r.prefillQueue) > 0 && spent > 0 {
		if r.prefillQueue[0].remaining > spent {
			r.prefillQueue[0].remaining -= spent
			return
		}
		spent -= r.prefillQueue[0].remaining
		r.prefillQueue = r.prefillQueue[1:]
	}
}

// prefillBacklog returns the remaining prefill time, of all parts and of helper
// jobs alone.
func (r *replica) prefillBacklog(now snipeford.Instant) (all, helperParts float64) {
	r.advancePrefill(now)
	for _, part := range r.prefillQueue {
		all += part.remaining
		if part.helper {
			helperParts += part.remaining
		}
	}
	return all, helperParts
}

// addPrefill adds a job's part to the prefill queue.
func (r *replica) addPrefill(now snipeford.Instant, j *job, helper bool) {
	r.advancePrefill(now)
	part := prefillPart{j, helper, j.partPrefill}
	i := len(r.prefillQueue)
	if helper {
		i = slices.IndexFunc(r.prefillQueue, func(o prefillPart) bool { return !o.helper })
		if i < 0 {
			i = len(r.prefillQueue)
		}
	}
	r.prefillQueue = slices.Insert(slices.Clone(r.prefillQueue), i, part)
}

// setPrefill changes the remaining time of a job's part in the prefill queue.
func (r *replica) setPrefill(now snipeford.Instant, j *job, remaining float64) {
	r.advancePrefill(now)
	for i := range r.prefillQueue {
		if r.prefillQueue[i].job == j {
			r.prefillQueue[i].remaining = remaining
		}
	}
}

// removePrefill removes a job's part from the prefill queue.
func (r *replica) removePrefill(now snipeford.Instant, j *job) {
	r.advancePrefill(now)
	r.prefillQueue = slices.DeleteFunc(slices.Clone(r.prefillQueue), func(o prefillPart) bool { return o.job == j })
}

func duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// decodeLoad returns the number of decoding jobs and the sum of their contexts.
func (r *replica) decodeLoad() (int, snipeford.Tokens) {
	n, context := 0, snipeford.Tokens(0)
	for _, j := range r.jobs {
		if j.stage == stageDecode {
			n++
			context += j.req.Prompt
		}
	}
	return n, context
}

// committedMemory returns the most memory that the jobs can take.
func (r *replica) committedMemory() snipeford.Tokens {
	var sum snipeford.Tokens
	for _, j := range r.jobs {
		sum += j.primaryMemory()
	}
	for _, j := range r.helperJobs {
		sum += j.placement.ReservedMemory
	}
	return sum
}

// primaryMemory returns the memory that a job takes on its primary engine.
func (j *job) primaryMemory() snipeford.Tokens {
	if j.placement.ReservedMemory > 0 {
		return j.placement.ReservedMemory
	}
	return j.req.Prompt + j.req.ExpectedOutput
}

// overdueGraceMs is how far a first event may exceed its prediction, in
// milliseconds, before the engine counts as overdue: the time of three passes
// without prefill.
const overdueGraceMs = 200

// loadReportTTL is how long an engine's load report is used.
const loadReportTTL = time.Second

// recordLoad stores an engine's load report.
func (r *replica) recordLoad(now snipeford.Instant, l snipeford.EngineLoad) {
	if l.Known {
		r.untracked, r.untrackedAt = max(0, l.Running+l.Waiting-len(r.jobs)), now
		if r.untracked == 0 {
			r.lostUntil = 0
		}
	}
}

// overdueTime returns how long the most overdue first event exceeds its
// prediction, in milliseconds. A job is not overdue if one that started later has got its
// first event: not the engine is slow then, but the link of the job's node.
func (r *replica) overdueTime(now snipeford.Instant) float64 {
	most := 0.0
	for _, j := range r.jobs {
		if j.stage == stagePrefill && j.expectedFirstEventAt > 0 && j.start >= r.latestServedStart {
			most = max(most, ms(now.Sub(j.expectedFirstEventAt))-overdueGraceMs)
		}
	}
	return most
}

// untrackedRequests returns the number of requests on the engine that are not
// tracked here, by its latest load report.
func (r *replica) untrackedRequests(now snipeford.Instant) int {
	if now.Sub(r.untrackedAt) > loadReportTTL {
		return 0
	}
	return r.untracked
}

// recordFailure marks the engine as suspect, for longer after each failure.
func (r *replica) recordFailure(now snipeford.Instant) {
	period := min(initialSuspectTime<<min(r.failures, 10), maxSuspectTime)
	r.failures++
	r.suspectUntil = now.Add(period)
	r.reliability.record(now, true)
}

// recordSuccess clears the suspect state and the failure count.
func (r *replica) recordSuccess() {
	r.failures, r.suspectUntil = 0, 0
}

// removeHelperJob removes a job that the engine helps to prefill.
func (r *replica) removeHelperJob(j *job) {
	r.helperJobs = slices.DeleteFunc(r.helperJobs, func(o *job) bool { return o == j })
}

// addSent records a request that was sent some time ago. One with an age may have been
// recorded before: other nodes report their requests again to a new connection or home.
func (r *replica) addSent(now snipeford.Instant, id snipeford.RequestID, age time.Duration) {
	r.forgetSent(now)
	known := age > 0 && slices.ContainsFunc(r.sent, func(s sentRequest) bool { return s.id == id })
	if known || age >= time.Second {
		return
	}
	at := now.Add(-age)
	i := len(r.sent)
	for i > 0 && r.sent[i-1].at > at {
		i--
	}
	r.sent = slices.Insert(r.sent, i, sentRequest{id, at})
}

// sentLastSecond returns the number of requests sent in the last second.
func (r *replica) sentLastSecond(now snipeford.Instant) int {
	r.forgetSent(now)
	return len(r.sent)
}

// forgetSent removes the requests that were not sent within the last second.
func (r *replica) forgetSent(now snipeford.Instant) {
	for len(r.sent) > 0 && now.Sub(r.sent[0].at) >= time.Second {
		r.sent = r.sent[1:]
	}
}
