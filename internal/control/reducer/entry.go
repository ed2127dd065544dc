package reducer

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipeford"
	"snipeford/internal/policy/limit"
	"snipeford/internal/policy/retry"
)

// Constants of entry nodes.
const (
	// maxAffinityCost and maxShortAffinityCost bound the additional cost, in
	// tokens of prompt work, that a call accepts to stay with its preferred
	// group; the second is for short prompts.
	maxAffinityCost      snipeford.Tokens = 2_000
	maxShortAffinityCost snipeford.Tokens = 200
	// maxReturns bounds how often one call may be sent to a home.
	maxReturns = 8
	// defaultOutputShare is the assumed ratio of a response's length to its
	// allowed length before any response of the organisation was observed.
	defaultOutputShare = 0.5
	// outputSmoothing is the weight of the newest response in that ratio.
	outputSmoothing = 0.05
	// defaultRetryAfter is the Retry-After time of refusals without a better
	// estimate.
	defaultRetryAfter = 1 * time.Second
)

// entryCall is a call at its entry node.
type entryCall struct {
	snipeford.Call
	limiter *limit.Limiter
	// returns counts how often a home returned the call.
	returns int
	// excludedGroup is the group that returned the call last, and notBefore the
	// time until which the call stays pending if no other group was reachable.
	excludedGroup snipeford.Group
	notBefore     snipeford.Instant
	// mayHaveRun is set once an upstream may have received the call.
	mayHaveRun bool
}

// outcome returns the outcome to report if the call is refused.
func (call *entryCall) outcome() snipeford.Outcome {
	if call.mayHaveRun {
		return snipeford.Unknown
	}
	return snipeford.NotRun
}

// callArrived admits a call under its organisation's limits and forwards
// it to the home of a group.
func (s *State) callArrived(now snipeford.Instant, c snipeford.Call) {
	s.retries.RecordRequest()
	if refused := s.checkCall(c); refused != nil {
		s.emit(Refuse{c.ID, *refused})
		return
	}
	limiter := s.limiter(c.Organisation)
	cause, wait := limiter.Admit(now, c.Prompt+s.expectedOutput(c))
	if cause != "" {
		s.emit(Refuse{c.ID, *refusal(http.StatusTooManyRequests, cause, snipeford.NotRun, wait, "organisation is at its limit")})
		return
	}
	// A resumed call ran before, through another entry call.
	call := &entryCall{Call: c, limiter: limiter, mayHaveRun: c.Offset > 0}
	s.entryCalls[c.ID] = call
	s.forwardToHome(now, call)
}

func refusal(status int, cause snipeford.Cause, outcome snipeford.Outcome, wait time.Duration, message string) *snipeford.Refusal {
	return &snipeford.Refusal{Status: status, Cause: cause, Outcome: outcome, RetryAfter: wait, Message: message}
}

// checkCall returns a refusal for a call that can't be served at all, or nil.
func (s *State) checkCall(c snipeford.Call) *snipeford.Refusal {
	if s.configuration.Version == 0 {
		return refusal(http.StatusServiceUnavailable, snipeford.CauseNotReady, snipeford.NotRun, defaultRetryAfter, "no configuration in force yet")
	}
	rule, ok := s.configuration.Rules.Organisations[c.Organisation]
	if !ok {
		return refusal(http.StatusUnauthorized, snipeford.CauseUnknownKey, snipeford.NotRun, 0, "organisation is not in the rules")
	}
	if rule.MaxPrompt > 0 && c.Prompt > rule.MaxPrompt {
		return refusal(http.StatusRequestEntityTooLarge, snipeford.CausePromptTooLong, snipeford.NotRun, 0, "prompt is longer than the organisation may send")
	}
	if s.exceedsAllGroups(c) {
		return refusal(http.StatusRequestEntityTooLarge, snipeford.CauseTooLarge, snipeford.NotRun, 0, "prompt is larger than the largest group of engines")
	}
	return nil
}

// exceedsAllGroups reports whether the call needs more memory than any group of
// its model has.
func (s *State) exceedsAllGroups(c snipeford.Call) bool {
	known := false
	for _, g := range s.groupsByModel[c.Model] {
		if g.memory == 0 || c.Prompt+c.MaxOutput <= g.memory {
			return false
		}
		known = true
	}
	return known
}

// expectedOutput returns the expected number of response tokens still to come.
func (s *State) expectedOutput(c snipeford.Call) snipeford.Tokens {
	share, ok := s.outputShares[c.Organisation]
	if !ok {
		share = defaultOutputShare
	}
	return snipeford.Tokens(share * float64(c.MaxOutput-c.Offset))
}

// learnOutput moves the organisation's expected response length towards an
// observed one.
func (s *State) learnOutput(o snipeford.Organisation, allowed, actual snipeford.Tokens) {
	if allowed <= 0 {
		return
	}
	old, ok := s.outputShares[o]
	if !ok {
		old = defaultOutputShare
	}
	s.outputShares[o] = old + outputSmoothing*(float64(actual)/float64(allowed)-old)
}

// forwardToHome forwards a call to the home of the chosen group, or keeps it pending
// until a group is reachable.
func (s *State) forwardToHome(now snipeford.Instant, call *entryCall) {
	if now >= call.QueueDeadline {
		s.refuseCall(call, refusal(http.StatusServiceUnavailable, snipeford.CauseNoUpstream, call.outcome(), defaultRetryAfter, "no home could take the call in time"))
		return
	}
	g := s.chooseGroup(now, call)
	if g == nil {
		s.pending = append(s.pending, call)
		return
	}
	g.sentTokens += call.Prompt
	g.sentCalls++
	s.emit(Forward{call.ID, g.name, g.homeRow.Node, call.Offset})
}

// chooseGroup returns the group with the lowest cost, or the call's preferred
// group if its cost is at most affinityCostLimit higher.
func (s *State) chooseGroup(now snipeford.Instant, call *entryCall) *group {
	var best, preferred *group
	var lowestCost, preferredCost snipeford.Tokens
	var highestScore uint64
	for _, g := range s.groupsByModel[call.Model] {
		if !s.reachable(now, g) || g.name == call.excludedGroup || !g.fits(call.Call) {
			continue
		}
		cost := g.cost(now, call.Call)
		if best == nil || cost < lowestCost {
			best, lowestCost = g, cost
		}
		if score := s.preference(call, g); preferred == nil || score > highestScore {
			preferred, preferredCost, highestScore = g, cost, score
		}
	}
	if preferred != nil && preferredCost <= lowestCost+affinityCostLimit(call) {
		return preferred
	}
	return best
}

// affinityCostLimit returns the additional cost that a call accepts at its
// preferred group.
func affinityCostLimit(call *entryCall) snipeford.Tokens {
	if snipeford.BandOf(call.Prompt) == snipeford.BandShort {
		return maxShortAffinityCost
	}
	return maxAffinityCost
}

// preference returns the score of a group for a call; the highest is preferred.
// Calls with a prefix are ranked by rendezvous hashing of the prefix, so that
// calls with the same prefix share a cache; other calls prefer this node's
// failure domain. The multiplier of the prefix hash is 2^64 divided by the golden
// ratio, as in Fibonacci hashing.
func (s *State) preference(call *entryCall, g *group) uint64 {
	if len(call.Prefix) > 0 {
		return xxhash.Sum64String(g.name.String()) ^ (call.Prefix[0] * 0x9e3779b97f4a7c15)
	}
	if g.name.Domain == s.settings.Member.Domain {
		return 1
	}
	return 0
}

// reachable reports whether the group has a home that this node receives
// heartbeats from, and at least one usable replica.
func (s *State) reachable(now snipeford.Instant, g *group) bool {
	if g.dispatcher != nil {
		return s.mayDispatch(now, g) && g.dispatcher.usableCount() > 0
	}
	p, ok := s.peers[g.homeRow.Node]
	return ok && now.Sub(p.receivedAt) < peerTimeout && g.summary.Fence == g.homeRow.Fence && g.summary.UsableReplicas > 0 && !s.domainOut(g.name.Domain)
}

func (s *State) domainOut(d snipeford.FailureDomain) bool {
	return slices.Contains(s.configuration.OutDomains, d)
}

// retryPending forwards the pending calls whose notBefore has passed. The others
// stay pending.
func (s *State) retryPending(now snipeford.Instant) {
	pending := s.pending
	s.pending = nil
	for _, call := range pending {
		if s.entryCalls[call.ID] != call {
			continue
		}
		if now < call.notBefore {
			s.pending = append(s.pending, call)
			continue
		}
		call.excludedGroup = snipeford.Group{}
		s.forwardToHome(now, call)
	}
}

// callReturned forwards a call again that a home returned, or refuses it.
func (s *State) callReturned(now snipeford.Instant, e CallReturned) {
	call := s.entryCalls[e.Call]
	if call == nil {
		return
	}
	call.returns++
	call.Offset = max(call.Offset, e.Offset)
	call.mayHaveRun = call.mayHaveRun || e.Outcome != snipeford.NotRun
	if refused := s.finalRefusal(call, e); refused != nil {
		s.refuseCall(call, refused)
		return
	}
	if call.mayHaveRun {
		call.QueueDeadline = max(call.QueueDeadline, min(now.Add(minRetryQueueTime), call.Deadline))
	}
	call.excludedGroup = e.Group
	call.notBefore = retry.NextAttemptTime(now, call.returns, call.Seed)
	s.forwardToHome(now, call)
}

// finalRefusal returns the refusal of a returned call that may not be forwarded
// again, or nil.
func (s *State) finalRefusal(call *entryCall, e CallReturned) *snipeford.Refusal {
	status := http.StatusServiceUnavailable
	if e.Cause == snipeford.CauseUpstreamFailed {
		status = http.StatusBadGateway
	}
	r := refusal(status, e.Cause, call.outcome(), max(e.RetryAfter, defaultRetryAfter), "not served")
	if call.mayHaveRun && !call.Idempotent {
		r.RetryAfter = 0
		return r
	}
	switch e.Cause {
	case snipeford.CauseNotHome, snipeford.CauseNodeLeaving, snipeford.CauseNoUpstream:
		if call.returns < maxReturns {
			return nil
		}
	case snipeford.CauseUpstreamFailed:
		// The home that lost the call may already have used an attempt, so
		// forwarding it again counts as a retry.
		if e.Outcome == snipeford.Unknown && call.returns < maxReturns && s.retries.Take() {
			return nil
		}
	}
	return r
}

func (s *State) refuseCall(call *entryCall, r *snipeford.Refusal) {
	s.callEnded(call.ID)
	s.emit(Refuse{call.ID, *r})
}

// callEnded removes a call and its use of the organisation's concurrency limit.
func (s *State) callEnded(id snipeford.CallID) {
	call := s.entryCalls[id]
	if call == nil {
		return
	}
	call.limiter.Done()
	delete(s.entryCalls, id)
}
