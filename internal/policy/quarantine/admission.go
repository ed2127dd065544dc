package quarantine

import (
	"slices"
	"time"

	"snipeford"
)

// Request is what State needs to know of a request.
type Request struct {
	ID    snipeford.RequestID
	Parts []snipeford.PrefixPart
	// Repeated is set if an engine has already failed the request.
	Repeated bool
	// MayBeTrial is set if the request may be sent to an engine to try a quarantined
	// part. Only one node may make trials.
	MayBeTrial bool
	// Alone is set if no request with a suspect key of its own may run at the same time.
	// Two such requests that always crash together could not be told apart.
	Alone bool
}

// Refusal says why a request is refused. Its zero value means that it is accepted.
type Refusal struct {
	Cause      snipeford.Cause
	Part       snipeford.PrefixPart
	RetryAfter time.Duration
	// Quarantine is the decision on the part, or nil if the part is only suspect.
	Quarantine *snipeford.Quarantine
}

// Admit accepts or refuses a request. The end of an accepted one must be reported
// with Ended.
func (s *State) Admit(now snipeford.Instant, r Request) Refusal {
	if refusal, decided := s.admitQuarantined(now, r); decided {
		return refusal
	}
	return s.admitSuspect(now, r)
}

// admitQuarantined refuses a request with a quarantined part, or accepts it as a
// trial. It returns false if there is no such part.
func (s *State) admitQuarantined(now snipeford.Instant, r Request) (Refusal, bool) {
	var found []*record
	for _, part := range r.Parts {
		if s.quarantined(part) {
			found = append(found, s.records[part])
			s.records[part].namedAt = now
		}
	}
	if len(found) == 0 {
		return Refusal{}, false
	}
	first := found[0]
	if len(found) == 1 && r.MayBeTrial && !r.Repeated && now >= first.trialAt() && !s.isRunning(now, r.ID, []snipeford.PrefixPart{first.Part}) {
		// The trial counts from its start: a node that ends meanwhile leaves no
		// report, and the next one must not try again at once.
		first.Trials++
		s.decide(now, first, false)
		s.start(now, r.ID, []snipeford.PrefixPart{first.Part})
		return Refusal{}, true
	}
	return Refuse(first.Quarantine), true
}

// Refuse returns the refusal of a request with a quarantined part. It is the same for
// all: of the callers who return at the next trial, one would be served at best.
func Refuse(q snipeford.Quarantine) Refusal {
	return Refusal{Cause: snipeford.CauseQuarantined, Part: q.Part, Quarantine: &q, RetryAfter: initialTrialInterval}
}

// admitSuspect accepts one request at a time for each suspect part, and no repeats. Whole
// requests run one at a time from their first crash on: their copies come at any node.
func (s *State) admitSuspect(now snipeford.Instant, r Request) Refusal {
	suspects := s.suspectsAmong(r.Parts)
	if len(suspects) == 0 {
		return s.admitCopy(now, r)
	}
	if r.Alone && s.isSuspectRunning(now, r.ID) {
		return Refusal{Cause: snipeford.CauseSuspectPrompt, Part: suspects[0], RetryAfter: suspectRetryAfter}
	}
	mixed := len(suspects) > 1 && now.Sub(s.crashes[len(s.crashes)-1].at) < mixedSuspectPause
	if r.Repeated || mixed || s.isRunning(now, r.ID, suspects) {
		return Refusal{Cause: snipeford.CauseSuspectPrompt, Part: suspects[0], RetryAfter: suspectRetryAfter}
	}
	s.start(now, r.ID, suspects)
	return Refusal{}
}

// admitCopy accepts one request at a time with a key that may have caused one crash.
func (s *State) admitCopy(now snipeford.Instant, r Request) Refusal {
	for _, part := range r.Parts {
		if !part.IsRequest() || !s.hasCrashed(part) {
			continue
		}
		keys := []snipeford.PrefixPart{part}
		if s.isRunning(now, r.ID, keys) {
			return Refusal{Cause: snipeford.CauseSuspectPrompt, Part: part, RetryAfter: suspectRetryAfter}
		}
		s.start(now, r.ID, keys)
	}
	return Refusal{}
}

func (s *State) start(now snipeford.Instant, id snipeford.RequestID, parts []snipeford.PrefixPart) {
	if s.runs == nil {
		s.runs = map[snipeford.RequestID]run{}
	}
	s.runs[id] = run{parts, now}
}

// isRunning reports whether another request than id with one of the parts is running.
// It forgets requests whose end was never reported.
func (s *State) isRunning(now snipeford.Instant, id snipeford.RequestID, parts []snipeford.PrefixPart) bool {
	return s.anyRunning(now, id, func(part snipeford.PrefixPart) bool { return slices.Contains(parts, part) })
}

// isSuspectRunning does the same for requests with any suspect part.
func (s *State) isSuspectRunning(now snipeford.Instant, id snipeford.RequestID) bool {
	return s.anyRunning(now, id, func(part snipeford.PrefixPart) bool { _, ok := s.suspects[part]; return ok })
}

func (s *State) anyRunning(now snipeford.Instant, id snipeford.RequestID, matches func(snipeford.PrefixPart) bool) bool {
	found := false
	for running, r := range s.runs {
		if now.Sub(r.since) > maxRunTime {
			delete(s.runs, running)
			continue
		}
		if running == id {
			// The entry node asks again after its connection was lost.
			continue
		}
		found = found || slices.ContainsFunc(r.parts, matches)
	}
	return found
}

// Ended records the end of a request.
func (s *State) Ended(id snipeford.RequestID) { delete(s.runs, id) }
