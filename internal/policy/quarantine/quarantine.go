// Package quarantine finds prefix parts that crash engines, and keeps the requests
// with them from the other engines. Such a request is known as a poison request, or
// query of death; the quarantine is a circuit breaker for each part.
//
// State collects for each crash which parts it may be due to: those of the requests
// whose responses had begun shortly before, or not yet. A response that goes on clears
// its parts of the earlier crashes. Crashes count one after another for a part, each by
// a request that was placed after the one before, so that many engines that end
// together count once. A part that is suspect gets one engine at a time, and one that
// explains more crashes than any other is quarantined. At long intervals one request
// is tried.
//
// State does no I/O and reads no clock. Its zero value is empty and ready to use.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"snipeford"
)

const (
	// SurvivalTime is the time after the first event of a response from which on its
	// parts are cleared.
	SurvivalTime = time.Second
	// suspectCrashes is the number of successive crashes that make a part suspect,
	// and convictingCrashes the number at which it is quarantined, if no other part
	// explains as many. From decidingCrashes on, of the parts that explain as many,
	// the one whose last response is longest ago is quarantined.
	suspectCrashes    = 2
	convictingCrashes = 3
	decidingCrashes   = 4
	// provenCrashes is the number of successive crashes that do not count against a
	// part for provenTime after the start of a response to it that went on. Parts of
	// many sound requests are often beside several poisons.
	provenCrashes = 2
	provenTime    = 2500 * time.Millisecond
	// settleTime is how long after the first report of a crash the others arrive. A
	// crash counts against a part from then on.
	settleTime = 300 * time.Millisecond
	// crashMergeTime is the time within which reports of an engine's end are those
	// of one crash. An engine may start again under the same id.
	crashMergeTime = 2 * time.Second
	// crashMaxAge is how long a crash is kept as evidence.
	crashMaxAge = 10 * time.Minute
	// maxCrashes, maxPartsPerCrash and maxQuarantines bound the memory. A candidate has
	// a bit for each crash.
	maxCrashes       = 64
	maxPartsPerCrash = 512
	maxQuarantines   = 64
	// maxWatched bounds the keys of requests that Watched returns.
	maxWatched = 256
	// maxEvidence is the number of engines that a quarantine names.
	maxEvidence = 5
)

// Times of the circuit breaker.
const (
	// initialTrialInterval is the time from the quarantine to the first trial. Each
	// trial multiplies it by trialBackoff, up to maxTrialInterval.
	initialTrialInterval = 30 * time.Second
	trialBackoff         = 4
	maxTrialInterval     = time.Hour
	// requestTrialInterval takes the place of initialTrialInterval for a whole request.
	// Fewer callers miss one request than a part.
	requestTrialInterval = 5 * time.Minute
	// suspectRetryAfter is the Retry-After of a request with a suspect part. One
	// response takes some seconds.
	suspectRetryAfter = 1 * time.Second
	// mixedSuspectPause is the time without a crash after which a request with
	// several suspect parts is accepted. Until then those with one of them show
	// which part it is.
	mixedSuspectPause = 2 * time.Second
	// maxRunTime is how long a request counts as running if its end is not reported.
	maxRunTime = 30 * time.Second
)

// crash is the end of an engine.
type crash struct {
	upstream snipeford.UpstreamID
	at       snipeford.Instant
	// placedAt holds the parts that may have caused the crash, with the time at which
	// the first request with the part was placed on the engine. With the last one, the
	// other parts of a poison request could count more crashes than the poison, by
	// sound requests that were placed beside it.
	placedAt map[snipeford.PrefixPart]snipeford.Instant
	// index is the crash's index in State.crashes.
	index int
}

// record is a decision with the times that only this node knows.
type record struct {
	snipeford.Quarantine
	// decidedAt is when the decision was made or became known to this node, and
	// namedAt when a request last had the part.
	decidedAt snipeford.Instant
	namedAt   snipeford.Instant
	// evidenceAt is the time of the last crash that led to the quarantine, as far as
	// this node knows. Only a response that began later refutes it.
	evidenceAt snipeford.Instant
}

// run is a running request that counts as the one request of its suspect parts.
type run struct {
	parts []snipeford.PrefixPart
	since snipeford.Instant
}

// State holds the evidence and the decisions for one service.
type State struct {
	Service snipeford.ServiceName
	crashes []*crash
	records map[snipeford.PrefixPart]*record
	runs    map[snipeford.RequestID]run
	history history
	// crashesOf holds the crashes that each part may have caused, by time.
	crashesOf map[snipeford.PrefixPart][]*crash
	// suspects are the suspect parts.
	suspects map[snipeford.PrefixPart]candidate
	// someExplained is set if a quarantine explained some crashes when all suspects were
	// recomputed last.
	someExplained bool
	// unsettled is set if crashes may come to count without a further event.
	unsettled bool
	changes   []snipeford.Quarantine
	// watched is what Watched returned last, and watchChanged is set if it may return
	// other keys now.
	watched      []snipeford.PrefixPart
	watchChanged bool
}

// Crashed records that a request ran on an engine that ended at an instant. The request
// was placed there at placedAt. The same report may come several times.
func (s *State) Crashed(at snipeford.Instant, upstream snipeford.UpstreamID, parts []snipeford.PrefixPart, placedAt snipeford.Instant) {
	c := s.crash(at, upstream)
	changed := make([]snipeford.PrefixPart, 0, len(parts))
	for _, part := range parts {
		if s.history.lastBegan(part) > c.at {
			continue
		}
		if s.addPart(c, part, placedAt) {
			changed = append(changed, part)
		}
	}
	if len(changed) == 0 {
		return
	}
	s.unsettled = true
	s.updateSuspectsOf(changed)
}

// crash returns the crash that a report belongs to.
func (s *State) crash(at snipeford.Instant, upstream snipeford.UpstreamID) *crash {
	for _, c := range s.crashes {
		if c.upstream == upstream && max(at.Sub(c.at), c.at.Sub(at)) < crashMergeTime {
			return c
		}
	}
	if len(s.crashes) >= maxCrashes {
		s.forgetFirst()
	}
	c := &crash{upstream: upstream, at: at, placedAt: map[snipeford.PrefixPart]snipeford.Instant{}}
	i, _ := slices.BinarySearchFunc(s.crashes, at, func(c *crash, at snipeford.Instant) int { return cmp.Compare(c.at, at) })
	s.crashes = slices.Insert(s.crashes, i, c)
	s.renumber()
	return c
}

// Decoding records that a response has gone on for SurvivalTime: the parts of its
// prompt did not cause the crashes before it began.
func (s *State) Decoding(parts []snipeford.PrefixPart, began snipeford.Instant) {
	var cleared []snipeford.PrefixPart
	for _, part := range parts {
		if part.IsRequest() && s.lastCrash(part) == 0 {
			// Most requests come once. Their keys would displace the parts in the history.
			continue
		}
		s.history.record(part, began)
		if s.clearBefore(part, began) {
			cleared = append(cleared, part)
		}
	}
	if len(cleared) > 0 {
		s.unsettled = true
		s.updateSuspectsOf(cleared)
	}
}

// Survived records that a response that began at an instant is complete, or went on
// for SurvivalTime, as its entry node reports. Like Decoding it clears the parts, and
// it releases those that are quarantined.
func (s *State) Survived(now snipeford.Instant, parts []snipeford.PrefixPart, began snipeford.Instant) {
	s.Decoding(parts, began)
	for _, part := range parts {
		r := s.records[part]
		if r != nil && !r.Released && began > max(r.evidenceAt, s.lastCrash(part)) {
			s.decide(now, r, true)
		}
	}
}

// lastCrash returns the time of the last crash that the part may have caused, or zero.
func (s *State) lastCrash(part snipeford.PrefixPart) snipeford.Instant {
	if list := s.crashesOf[part]; len(list) > 0 {
		return list[len(list)-1].at
	}
	return 0
}

// clearBefore removes a part from the crashes before an instant, and reports whether
// there were any.
func (s *State) clearBefore(part snipeford.PrefixPart, before snipeford.Instant) bool {
	cleared := false
	for _, c := range slices.Clone(s.crashesOf[part]) {
		if c.at < before {
			s.removePart(c, part)
			cleared = true
		}
	}
	return cleared
}

// Tick forgets old crashes and quarantines the parts that explain the others, those
// that explain most first.
func (s *State) Tick(now snipeford.Instant) {
	if len(s.crashes) > 0 && now.Sub(s.crashes[0].at) > crashMaxAge {
		s.forgetFirst()
	}
	if !s.unsettled {
		return
	}
	settled := now.Add(-settleTime)
	ranked := s.ranking(now, settled, convictingCrashes)
	for {
		part, ok := guilty(ranked)
		if !ok {
			break
		}
		s.quarantine(now, part)
		ranked = s.ranking(now, settled, convictingCrashes)
	}
	waiting := slices.ContainsFunc(ranked, func(c candidate) bool { return c.successive >= convictingCrashes })
	s.unsettled = waiting || len(s.crashes) > 0 && s.crashes[len(s.crashes)-1].at > settled
}

// guilty returns the candidate that is to be quarantined next. Of a request and a part
// of its prompt that explain the same crashes, that is the request: fewer callers miss it.
func guilty(ranked []candidate) (snipeford.PrefixPart, bool) {
	var first *candidate
	for i, c := range ranked {
		switch {
		case first != nil && c.score < first.score:
			return first.part, true
		case c.score < convictingCrashes:
			return "", false
		case c.dominated(ranked), first != nil && first.part.IsRequest() && c.crashes&^first.crashes == 0:
		case first != nil && first.score < decidingCrashes:
			return "", false
		case first == nil:
			first = &ranked[i]
		}
	}
	if first == nil {
		return "", false
	}
	return first.part, true
}

func (s *State) quarantine(now snipeford.Instant, part snipeford.PrefixPart) {
	r := s.records[part]
	if r == nil {
		r = s.addRecord(part)
	}
	r.Trials, r.Upstreams, r.namedAt, r.evidenceAt = 0, nil, now, s.lastCrash(part)
	for _, c := range s.crashesOf[part] {
		if len(r.Upstreams) < maxEvidence {
			r.Upstreams = append(r.Upstreams, c.upstream)
		}
	}
	s.decide(now, r, false)
}

// addRecord adds a record of a part, in place of the one whose part was named least
// recently if there are too many.
func (s *State) addRecord(part snipeford.PrefixPart) *record {
	if s.records == nil {
		s.records = map[snipeford.PrefixPart]*record{}
	}
	if len(s.records) >= maxQuarantines {
		var oldest *record
		for _, r := range s.records {
			if oldest == nil || r.namedAt < oldest.namedAt || r.namedAt == oldest.namedAt && r.Part < oldest.Part {
				oldest = r
			}
		}
		delete(s.records, oldest.Part)
	}
	r := &record{Quarantine: snipeford.Quarantine{Service: s.Service, Part: part}}
	s.records[part] = r
	return r
}

// decide makes a new decision on a part.
func (s *State) decide(now snipeford.Instant, r *record, released bool) {
	r.Generation++
	r.Released = released
	r.decidedAt = now
	s.changes = append(s.changes, r.Quarantine)
	s.updateSuspects()
}

// trialAt returns when the next trial may start.
func (r *record) trialAt() snipeford.Instant {
	interval := initialTrialInterval
	if r.Part.IsRequest() {
		interval = requestTrialInterval
	}
	for range r.Trials {
		interval = min(trialBackoff*interval, maxTrialInterval)
		if interval == maxTrialInterval {
			break
		}
	}
	return r.decidedAt.Add(interval)
}

// Merge adopts a decision of another node, unless a later one is known. Of two of the
// same generation, which two nodes made at once, the quarantine is adopted. It reports
// whether it adopted the decision.
func (s *State) Merge(now snipeford.Instant, q snipeford.Quarantine) bool {
	r := s.records[q.Part]
	if r != nil && (r.Generation > q.Generation || r.Generation == q.Generation && (q.Released || !r.Released)) {
		return false
	}
	if r == nil {
		r = s.addRecord(q.Part)
	}
	r.Quarantine, r.decidedAt, r.namedAt, r.evidenceAt = q, now, now, now
	if q.Released {
		s.clearBefore(q.Part, now)
	}
	s.updateSuspects()
	return true
}

// Changes returns the decisions made since the last call.
func (s *State) Changes() []snipeford.Quarantine {
	out := s.changes
	s.changes = nil
	return out
}

// Quarantines returns all decisions, by part.
func (s *State) Quarantines() []snipeford.Quarantine {
	out := make([]snipeford.Quarantine, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, r.Quarantine)
	}
	slices.SortFunc(out, func(a, b snipeford.Quarantine) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
