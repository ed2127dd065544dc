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

// Constants of the entry role.
const (
	// spill and shortSpill are the longer waits, in tokens of prompt work, up
	// to which a call stays with its first choice of failure domain.
	spill      snipeford.Tokens = 2_000
	shortSpill snipeford.Tokens = 200
	// bounceLimit is how often one call may be sent to a home.
	bounceLimit = 8
	// defaultOutputShare is the assumed length of an answer, as a part of its
	// allowed length, before anything was learned.
	defaultOutputShare = 0.5
	outputSmoothing    = 0.05
	comeBackSoon       = 1 * time.Second
)

// call is one request at its entry node.
type call struct {
	snipeford.Call
	account   *limit.Limiter
	bounces   int
	avoid     snipeford.Group
	notBefore snipeford.Instant
	// mayHaveRun is set once an upstream may have received the call.
	mayHaveRun bool
}

// outcome returns what may be said of a call that goes nowhere else.
func (k *call) outcome() snipeford.Outcome {
	if k.mayHaveRun {
		return snipeford.Unknown
	}
	return snipeford.NotRun
}

// arrived admits a call under its organisation's limits and places it.
func (s *State) arrived(now snipeford.Instant, c snipeford.Call) {
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
	// A resumed call ran before, elsewhere.
	k := &call{Call: c, account: account, mayHaveRun: c.Offset > 0}
	s.calls[c.ID] = k
	s.place(now, k)
}

func refusal(status int, cause snipeford.Cause, outcome snipeford.Outcome, wait time.Duration, text string) *snipeford.Refusal {
	return &snipeford.Refusal{Status: status, Cause: cause, Outcome: outcome, RetryAfter: wait, Message: text}
}

// checkCall refuses what can never be served.
func (s *State) checkCall(c snipeford.Call) *snipeford.Refusal {
	if s.configuration.Version == 0 {
		return refusal(http.StatusServiceUnavailable, snipeford.CauseNotReady, snipeford.NotRun, comeBackSoon, "no configuration in force yet")
	}
	rule, ok := s.configuration.Rules.Organisations[c.Organisation]
	if !ok {
		return refusal(http.StatusUnauthorized, snipeford.CauseUnknownKey, snipeford.NotRun, 0, "organisation is not in the rules")
	}
	if rule.MaxPrompt > 0 && c.Prompt > rule.MaxPrompt {
		return refusal(http.StatusRequestEntityTooLarge, snipeford.CausePromptTooLong, snipeford.NotRun, 0, "prompt is longer than the organisation may send")
	}
	if s.largerThanAll(c) {
		return refusal(http.StatusRequestEntityTooLarge, snipeford.CauseTooLarge, snipeford.NotRun, 0, "prompt is larger than the largest group of engines")
	}
	return nil
}

// largerThanAll reports whether no group's replicas together hold the call.
func (s *State) largerThanAll(c snipeford.Call) bool {
	known := false
	for _, g := range s.byModel[c.Model] {
		if g.memory == 0 || c.Prompt+c.MaxOutput <= g.memory {
			return false
		}
		known = true
	}
	return known
}

// expectedOutput returns the expected rest of a call's answer.
func (s *State) expectedOutput(c snipeford.Call) snipeford.Tokens {
	share, ok := s.outputs[c.Organisation]
	if !ok {
		share = defaultOutputShare
	}
	return snipeford.Tokens(share * float64(c.MaxOutput-c.Offset))
}

// learnOutput moves the expected answer length towards an observed one.
func (s *State) learnOutput(o snipeford.Organisation, allowed, got snipeford.Tokens) {
	if allowed <= 0 {
		return
	}
	old, ok := s.outputs[o]
	if !ok {
		old = defaultOutputShare
	}
	s.outputs[o] = old + outputSmoothing*(float64(got)/float64(allowed)-old)
}

// place forwards a call to the home of the group that serves it soonest, or
// keeps it until there is one.
func (s *State) place(now snipeford.Instant, k *call) {
	if now >= k.QueueDeadline {
		s.refuseCall(k, refusal(http.StatusServiceUnavailable, snipeford.CauseNoUpstream, k.outcome(), comeBackSoon, "no home could take the call in time"))
		return
	}
	g := s.chooseGroup(now, k)
	if g == nil {
		s.pending = append(s.pending, k)
		return
	}
	g.sent += k.Prompt
	g.sentCalls++
	s.emit(Forward{k.ID, g.name, g.row.Node, k.Offset})
}

// chooseGroup returns the group with the least wait. Calls with one prefix,
// and calls of one node, prefer the same failure domain while that costs little.
func (s *State) chooseGroup(now snipeford.Instant, k *call) *group {
	var best, first *group
	var lowest, firstCost snipeford.Tokens
	var top uint64
	for _, g := range s.byModel[k.Model] {
		if !s.reachable(now, g) || g.name == k.avoid || !g.holds(k.Call) {
			continue
		}
		cost := g.cost(now, k.Call)
		if best == nil || cost < lowest {
			best, lowest = g, cost
		}
		if score := s.preference(k, g); first == nil || score > top {
			first, firstCost, top = g, cost, score
		}
	}
	if first != nil && firstCost <= lowest+spillOf(k) {
		return first
	}
	return best
}

// spillOf returns by how much longer a call may wait at its first choice.
func spillOf(k *call) snipeford.Tokens {
	if snipeford.BandOf(k.Prompt) == snipeford.BandShort {
		return shortSpill
	}
	return spill
}

// preference ranks the groups of a model for a call, the highest first: by its
// prefix, so that calls with one prefix meet, or else this node's own domain.
func (s *State) preference(k *call, g *group) uint64 {
	if len(k.Prefix) > 0 {
		return xxhash.Sum64String(g.name.String()) ^ (k.Prefix[0] * 0x9e3779b97f4a7c15)
	}
	if g.name.Domain == s.settings.Member.Domain {
		return 1
	}
	return 0
}

// reachable reports whether the group has a home that this node hears from and
// at least one usable replica.
func (s *State) reachable(now snipeford.Instant, g *group) bool {
	if g.dispatcher != nil {
		return s.holds(now, g) && g.dispatcher.usable() > 0
	}
	p, ok := s.peers[g.row.Node]
	return ok && now.Sub(p.heard) < peerFresh && g.summary.Fence == g.row.Fence && g.summary.UsableReplicas > 0 && !s.domainOut(g.name.Domain)
}

func (s *State) domainOut(d snipeford.FailureDomain) bool {
	return slices.Contains(s.configuration.OutDomains, d)
}

// retryPending places again the calls that found no home.
func (s *State) retryPending(now snipeford.Instant) {
	waiting := s.pending
	s.pending = nil
	for _, k := range waiting {
		if s.calls[k.ID] != k {
			continue
		}
		if now < k.notBefore {
			s.pending = append(s.pending, k)
			continue
		}
		k.avoid = snipeford.Group{}
		s.place(now, k)
	}
}

// bounced places a call that a home sent back again, or refuses it.
func (s *State) bounced(now snipeford.Instant, e CallReturned) {
	k := s.calls[e.Call]
	if k == nil {
		return
	}
	k.bounces++
	k.Offset = max(k.Offset, e.Offset)
	k.mayHaveRun = k.mayHaveRun || e.Outcome != snipeford.NotRun
	if refused := s.finalBounce(k, e); refused != nil {
		s.refuseCall(k, refused)
		return
	}
	if k.mayHaveRun {
		k.QueueDeadline = max(k.QueueDeadline, min(now.Add(retryWait), k.Deadline))
	}
	k.avoid = e.Group
	k.notBefore = retry.NextAttemptTime(now, k.bounces, k.Seed)
	s.place(now, k)
}

// finalBounce returns the refusal of a call that goes nowhere else.
func (s *State) finalBounce(k *call, e CallReturned) *snipeford.Refusal {
	status := http.StatusServiceUnavailable
	if e.Cause == snipeford.CauseUpstreamFailed {
		status = http.StatusBadGateway
	}
	r := refusal(status, e.Cause, k.outcome(), max(e.RetryAfter, comeBackSoon), "not served")
	if k.mayHaveRun && !k.Idempotent {
		r.RetryAfter = 0
		return r
	}
	switch e.Cause {
	case snipeford.CauseNotHome, snipeford.CauseNodeLeaving, snipeford.CauseNoUpstream:
		if k.bounces < bounceLimit {
			return nil
		}
	case snipeford.CauseUpstreamFailed:
		// The node that broke the call off cost an attempt elsewhere, too.
		if e.Outcome == snipeford.Unknown && k.bounces < bounceLimit && s.retries.Take() {
			return nil
		}
	}
	return r
}

func (s *State) refuseCall(k *call, r *snipeford.Refusal) {
	s.ended(k.ID)
	s.emit(Refuse{k.ID, *r})
}

// ended counts a call out of its organisation's limits.
func (s *State) ended(id snipeford.CallID) {
	k := s.calls[id]
	if k == nil {
		return
	}
	k.account.Done()
	delete(s.calls, id)
}
