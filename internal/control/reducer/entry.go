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
	account *limit.Limiter
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
func (k *entryCall) outcome() snipeford.Outcome {
	if k.mayHaveRun {
		return snipeford.Unknown
	}
	return snipeford.NotRun
}

// callArrived admits a call under its organisation's limits and places it.
func (s *State) callArrived(now snipeford.Instant, c snipeford.Call) {
	s.retries.RecordRequest()
	if refused := s.checkCall(c); refused != nil {
		s.emit(Refuse{c.ID, *refused})
		return
	}
	account := s.account(now, c.Organisation)
	cause, wait := account.Admit(now, c.Prompt+s.expectedOutput(c))
	if cause != "" {
		s.emit(Refuse{c.ID, *refusal(http.StatusTooManyRequests, cause, snipeford.NotRun, wait, "organisation is at its limit")})
		return
	}
	// A resumed call ran before, through another entry call.
	k := &entryCall{Call: c, account: account, mayHaveRun: c.Offset > 0}
	s.entryCalls[c.ID] = k
	s.place(now, k)
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

// place forwards a call to the home of the chosen group, or keeps it pending
// until a group is reachable.
func (s *State) place(now snipeford.Instant, k *entryCall) {
	if now >= k.QueueDeadline {
		s.refuseCall(k, refusal(http.StatusServiceUnavailable, snipeford.CauseNoUpstream, k.outcome(), defaultRetryAfter, "no home could take the call in time"))
		return
	}
	g := s.chooseGroup(now, k)
	if g == nil {
		s.pending = append(s.pending, k)
		return
	}
	g.sentTokens += k.Prompt
	g.sentCalls++
	s.emit(Forward{k.ID, g.name, g.homeRow.Node, k.Offset})
}

// chooseGroup returns the group with the lowest cost, or the call's preferred
// group if its cost is at most affinityCostLimit higher.
func (s *State) chooseGroup(now snipeford.Instant, k *entryCall) *group {
	var best, preferred *group
	var lowestCost, preferredCost snipeford.Tokens
	var highestScore uint64
	for _, g := range s.groupsByModel[k.Model] {
		if !s.reachable(now, g) || g.name == k.excludedGroup || !g.fits(k.Call) {
			continue
		}
		cost := g.cost(now, k.Call)
		if best == nil || cost < lowestCost {
			best, lowestCost = g, cost
		}
		if score := s.preference(k, g); preferred == nil || score > highestScore {
			preferred, preferredCost, highestScore = g, cost, score
		}
	}
	if preferred != nil && preferredCost <= lowestCost+affinityCostLimit(k) {
		return preferred
	}
	return best
}

// affinityCostLimit returns the additional cost that a call accepts at its
// preferred group.
func affinityCostLimit(k *entryCall) snipeford.Tokens {
	if snipeford.BandOf(k.Prompt) == snipeford.BandShort {
		return maxShortAffinityCost
	}
	return maxAffinityCost
}

// preference returns the score of a group for a call; the highest is preferred.
// Calls with a prefix are ranked by rendezvous hashing of the prefix, so that
// calls with the same prefix share a cache; other calls prefer this node's
// failure domain. The multiplier of the prefix hash is 2^64 divided by the golden
// ratio, as in Fibonacci hashing.
func (s *State) preference(k *entryCall, g *group) uint64 {
	if len(k.Prefix) > 0 {
		return xxhash.Sum64String(g.name.String()) ^ (k.Prefix[0] * 0x9e3779b97f4a7c15)
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

// retryPending places the pending calls whose notBefore has passed. The others
// stay pending.
func (s *State) retryPending(now snipeford.Instant) {
	pending := s.pending
	s.pending = nil
	for _, k := range pending {
		if s.entryCalls[k.ID] != k {
			continue
		}
		if now < k.notBefore {
			s.pending = append(s.pending, k)
			continue
		}
		k.excludedGroup = snipeford.Group{}
		s.place(now, k)
	}
}

// callReturned places a call again that a home returned, or refuses it.
func (s *State) callReturned(now snipeford.Instant, e CallReturned) {
	k := s.entryCalls[e.Call]
	if k == nil {
		return
	}
	k.returns++
	k.Offset = max(k.Offset, e.Offset)
	k.mayHaveRun = k.mayHaveRun || e.Outcome != snipeford.NotRun
	if refused := s.finalRefusal(k, e); refused != nil {
		s.refuseCall(k, refused)
		return
	}
	if k.mayHaveRun {
		k.QueueDeadline = max(k.QueueDeadline, min(now.Add(minRetryQueueTime), k.Deadline))
	}
	k.excludedGroup = e.Group
	k.notBefore = retry.NextAttemptTime(now, k.returns, k.Seed)
	s.place(now, k)
}

// finalRefusal returns the refusal of a returned call that may not be placed
// again, or nil.
func (s *State) finalRefusal(k *entryCall, e CallReturned) *snipeford.Refusal {
	status := http.StatusServiceUnavailable
	if e.Cause == snipeford.CauseUpstreamFailed {
		status = http.StatusBadGateway
	}
	r := refusal(status, e.Cause, k.outcome(), max(e.RetryAfter, defaultRetryAfter), "not served")
	if k.mayHaveRun && !k.Idempotent {
		r.RetryAfter = 0
		return r
	}
	switch e.Cause {
	case snipeford.CauseNotHome, snipeford.CauseNodeLeaving, snipeford.CauseNoUpstream:
		if k.returns < maxReturns {
			return nil
		}
	case snipeford.CauseUpstreamFailed:
		// The home that lost the call may already have used an attempt, so
		// placing it again counts as a retry.
		if e.Outcome == snipeford.Unknown && k.returns < maxReturns && s.retries.Take() {
			return nil
		}
	}
	return r
}

func (s *State) refuseCall(k *entryCall, r *snipeford.Refusal) {
	s.callEnded(k.ID)
	s.emit(Refuse{k.ID, *r})
}

// callEnded removes a call and its use of the organisation's concurrency limit.
func (s *State) callEnded(id snipeford.CallID) {
	k := s.entryCalls[id]
	if k == nil {
		return
	}
	k.account.Done()
	delete(s.entryCalls, id)
}
