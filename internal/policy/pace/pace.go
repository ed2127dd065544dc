// Package pace limits the requests to upstreams that have just started, have turned cold or
// have failed, by how they respond. The pace of an upstream is a number of requests in
// flight and a rate. It starts at a floor, grows with each response that keeps up, and
// halves with failures and slow responses. It ends at the normal capacity: an upstream
// without a pace has no limit here. A Keeper holds the paces of one service for all nodes.
// It does no I/O and reads no clock.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

const (
	// Floor is the least number of requests in flight. One is needed to learn from the
	// response.
	Floor = 1
	// floorPerSecond is the least rate: an upstream that fails all requests fails no more
	// than one of them in a second.
	floorPerSecond = 1
	// coldShare is the share of the operators' bound for cold upstreams that the rate may
	// reach. Two homes that coexist for a moment stay within 1.5 times the bound.
	coldShare = 0.75
	// failuresToFloor is the number of failures in a row after which the pace is at its
	// floor. A single one may be the fault of the request.
	failuresToFloor = 2
	// slowGrowth is added by a response above the level at which the upstream has been too
	// slow before, a quarter of what it adds below that level.
	slowGrowth = 0.25
	// quietTime is how long fewer requests than allowed must have been in flight, without a
	// failure or a slow response, until a pace ends below the normal capacity: the load
	// needs no more. It is twice the age of 5 s up to which upstreams count as young.
	quietTime = 10 * time.Second
	// permitTTL is how long a permitted request counts as in flight if its response is not
	// reported. It is several times the latency targets of plain services, 120 to 200 ms.
	permitTTL = time.Second
	// maxStatedAge limits the age of the paces that are reported to a new home. An upstream
	// may have restarted since.
	maxStatedAge = 30 * time.Second
)

// Capacity is what a sound and warm upstream takes. Cold upstreams get at most
// ColdPerSecond requests in a second from all nodes together, if it is positive.
type Capacity struct {
	InFlight      float64
	ColdPerSecond float64
	// LeastInFlight is where a pace starts and what it never falls below, or zero for Floor.
	LeastInFlight float64
}

func (c Capacity) floor() float64 { return max(Floor, c.LeastInFlight) }

// Cause says why a pace has changed.
type Cause string

const (
	CauseStarted Cause = "Started"
	CauseFailed  Cause = "Failed"
	CauseSlow    Cause = "Slow"
	CauseTimely  Cause = "Timely"
	// CauseQuiet ends a pace that the load did not need for quietTime.
	CauseQuiet Cause = "Quiet"
)

// Change is a change of a pace that operators may want to know: its start, its end, a
// reduction, or growth by a factor of two. InFlight is zero if it has ended. Request is the
// request whose response led to it, or empty.
type Change struct {
	Upstream snipeford.UpstreamID
	Cause    Cause
	InFlight float64
	Request  snipeford.RequestID
}

// Keeper holds the paces of the upstreams of a service. The zero value has none.
type Keeper struct {
	paces   map[snipeford.UpstreamID]*pace
	changes []Change
}

type pace struct {
	capacity  Capacity
	coldUntil snipeford.Instant
	// level is the number of requests in flight that the upstream may have, and threshold
	// the level above which it grows more slowly.
	level, threshold float64
	// loggedLevel is the level of the latest Change.
	loggedLevel float64
	failures    int
	timely      int
	// reducedAt is the time of the start or of the latest reduction. Responses to requests
	// that were sent before tell nothing about the level.
	reducedAt snipeford.Instant
	// knownAt is when the level was last stated by the home, started or reduced.
	knownAt snipeford.Instant
	// strainedAt is when as many requests as allowed were last in flight, or the pace was
	// reduced.
	strainedAt snipeford.Instant
	// tokens is the number of requests that may be sent at filledAt.
	tokens   float64
	filledAt snipeford.Instant
	// permits are the times of the permitted requests without a reported response.
	permits []snipeford.Instant
}

// Len returns the number of upstreams with a pace.
func (k *Keeper) Len() int { return len(k.paces) }

// Level returns how many requests an upstream may have in flight, and false if it has no
// pace.
func (k *Keeper) Level(id snipeford.UpstreamID) (float64, bool) {
	p := k.paces[id]
	if p == nil {
		return 0, false
	}
	return p.level, true
}

// Paced returns the upstreams with a pace, sorted.
func (k *Keeper) Paced() []snipeford.UpstreamID {
	out := make([]snipeford.UpstreamID, 0, len(k.paces))
	for id := range k.paces {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// TakeChanges returns the changes since the last call.
func (k *Keeper) TakeChanges() []Change {
	out := k.changes
	k.changes = nil
	return out
}

// Start sets the pace of an upstream that has started or turned cold to the floor.
func (k *Keeper) Start(now snipeford.Instant, id snipeford.UpstreamID, c Capacity, coldUntil snipeford.Instant) {
	p := k.add(now, id, c)
	p.level, p.threshold, p.coldUntil = c.floor(), c.InFlight, coldUntil
	p.failures, p.timely = 0, 0
	k.reduced(now, id, p, CauseStarted, "")
}

// add returns the pace of an upstream, which begins at the normal capacity.
func (k *Keeper) add(now snipeford.Instant, id snipeford.UpstreamID, c Capacity) *pace {
	if k.paces == nil {
		k.paces = map[snipeford.UpstreamID]*pace{}
	}
	p := k.paces[id]
	if p == nil {
		p = &pace{level: c.InFlight, threshold: c.InFlight, tokens: 1, filledAt: now}
		k.paces[id] = p
	}
	p.capacity = c
	return p
}

func (k *Keeper) reduced(now snipeford.Instant, id snipeford.UpstreamID, p *pace, cause Cause, request snipeford.RequestID) {
	p.fill(now)
	p.reducedAt, p.knownAt, p.strainedAt = now, now, now
	k.note(id, p, cause, request)
}

func (k *Keeper) note(id snipeford.UpstreamID, p *pace, cause Cause, request snipeford.RequestID) {
	p.loggedLevel = p.level
	k.changes = append(k.changes, Change{id, cause, p.level, request})
}

// Refused records a refusal of a request sent at sentAt that says that it has not run. Those
// of requests that were sent before the latest reduction do not count: an upstream that is
// full refuses several at once.
func (k *Keeper) Refused(now, sentAt snipeford.Instant, id snipeford.UpstreamID, c Capacity, request snipeford.RequestID) {
	if p := k.paces[id]; p != nil && sentAt <= p.reducedAt {
		return
	}
	k.Failed(now, sentAt, id, c, request)
}

// Failed records a reset or another failure of a request sent at sentAt. The first one of a
// sound upstream gives it a pace of half its capacity. Several at once are those of an
// upstream that has ended.
func (k *Keeper) Failed(now, sentAt snipeford.Instant, id snipeford.UpstreamID, c Capacity, request snipeford.RequestID) {
	known := k.paces[id] != nil
	p := k.add(now, id, c)
	p.failures++
	switch {
	case p.failures >= failuresToFloor && p.level > c.floor():
		p.level = c.floor()
	case !known:
		p.level = max(c.floor(), p.level/2)
	case sentAt > p.reducedAt:
		p.halve()
	default:
		return
	}
	p.timely = 0
	k.reduced(now, id, p, CauseFailed, request)
}

// halve halves the level. The upstream has been too slow or too full at twice the new one,
// and grows with care from there. At the floor, that tells nothing about higher levels.
func (p *pace) halve() {
	if floor := p.capacity.floor(); p.level > floor {
		p.level = max(floor, p.level/2)
		p.threshold = p.level
	}
}

// Slow records a response that came late against its prediction, or against the recent
// level of its upstream. A sound upstream gets no pace for it: the prediction may be wrong.
func (k *Keeper) Slow(now, sentAt snipeford.Instant, id snipeford.UpstreamID, request snipeford.RequestID) {
	p := k.paces[id]
	if p == nil || sentAt <= p.reducedAt {
		return
	}
	p.failures = 0
	p.halve()
	k.reduced(now, id, p, CauseSlow, request)
}

// Timely records a response that kept up, to a request sent at sentAt, with the number of
// requests in flight then. Without half of its level in flight, a response tells nothing
// about a higher one.
func (k *Keeper) Timely(now, sentAt snipeford.Instant, id snipeford.UpstreamID, inFlight int, request snipeford.RequestID) {
	p := k.paces[id]
	if p == nil || sentAt <= p.reducedAt {
		return
	}
	p.failures = 0
	p.timely++
	if float64(inFlight) < p.level/2 {
		return
	}
	p.fill(now)
	if p.level < p.threshold {
		p.level++
	} else {
		p.level += slowGrowth
	}
	p.level = min(p.level, p.capacity.InFlight)
	switch {
	case p.level >= p.capacity.InFlight && p.coldUntil <= now:
		k.end(id, CauseTimely, request)
	case p.level >= 2*p.loggedLevel:
		k.note(id, p, CauseTimely, request)
	}
}

func (k *Keeper) end(id snipeford.UpstreamID, cause Cause, request snipeford.RequestID) {
	delete(k.paces, id)
	k.changes = append(k.changes, Change{Upstream: id, Cause: cause, Request: request})
}

// perSecond returns the rate of an upstream. While it fails again and again it is the least
// one: failures come fast, and requests in flight do not limit them.
func (p *pace) perSecond(now snipeford.Instant) float64 {
	switch {
	case p.failures >= failuresToFloor:
		return floorPerSecond
	case p.capacity.ColdPerSecond <= 0 || p.coldUntil <= now:
		return math.Inf(1)
	}
	return max(floorPerSecond, coldShare*p.capacity.ColdPerSecond)
}

// fill adds the tokens since the last call.
func (p *pace) fill(now snipeford.Instant) {
	rate := p.perSecond(now)
	if math.IsInf(rate, 1) {
		p.tokens, p.filledAt = 1, now
		return
	}
	if elapsed := now.Sub(p.filledAt); elapsed > 0 {
		p.tokens = min(1, p.tokens+rate*elapsed.Seconds())
		p.filledAt = now
	}
}

// Wait returns how long it takes until a request may be sent to an upstream with a number
// of requests in flight, or zero if it may be sent now. That time is a guess if too many are
// in flight.
func (k *Keeper) Wait(now snipeford.Instant, id snipeford.UpstreamID, inFlight int) time.Duration {
	p := k.paces[id]
	if p == nil {
		return 0
	}
	p.fill(now)
	wait := time.Duration(0)
	if p.tokens < 1 {
		wait = time.Duration((1 - p.tokens) / p.perSecond(now) * float64(time.Second))
	}
	if float64(inFlight+1) > p.level {
		wait, p.strainedAt = max(wait, fullWait), now
	}
	return wait
}

// fullWait is the time after which a request may be tried again while as many are in flight
// as the pace allows. Responses of plain services take about that long.
const fullWait = 50 * time.Millisecond

// Sent counts a request that is sent to an upstream.
func (k *Keeper) Sent(now snipeford.Instant, id snipeford.UpstreamID) {
	if p := k.paces[id]; p != nil {
		p.fill(now)
		p.tokens = max(p.tokens-1, -1)
	}
}

// Permitted counts a permitted request as in flight until Returned.
func (k *Keeper) Permitted(now snipeford.Instant, id snipeford.UpstreamID) {
	if p := k.paces[id]; p != nil {
		p.permits = append(p.permits, now)
	}
}

// Returned records the end of the request that was permitted first.
func (k *Keeper) Returned(id snipeford.UpstreamID) {
	if p := k.paces[id]; p != nil && len(p.permits) > 0 {
		p.permits = p.permits[1:]
	}
}

// InFlight returns the number of permitted requests whose responses are not reported.
func (k *Keeper) InFlight(now snipeford.Instant, id snipeford.UpstreamID) int {
	p := k.paces[id]
	if p == nil {
		return 0
	}
	for len(p.permits) > 0 && now.Sub(p.permits[0]) >= permitTTL {
		p.permits = p.permits[1:]
	}
	return len(p.permits)
}

// Tick ends the paces that the load does not need, of upstreams that respond and are not
// cold.
func (k *Keeper) Tick(now snipeford.Instant) {
	for _, id := range k.Paced() {
		if p := k.paces[id]; p.timely > 0 && p.coldUntil <= now && now.Sub(p.strainedAt) >= quietTime {
			k.end(id, CauseQuiet, "")
		}
	}
}

// Retain forgets the paces of upstreams that are not listed.
func (k *Keeper) Retain(listed func(snipeford.UpstreamID) bool) {
	for id := range k.paces {
		if !listed(id) {
			delete(k.paces, id)
		}
	}
}

// Stated is the pace of an upstream, as a node reports it to a new home of the service.
type Stated struct {
	Upstream snipeford.UpstreamID
	InFlight float64
	// Ago is the time since the home stated it or the node reduced it.
	Ago time.Duration
}

// Stated returns the paces to report to a new home.
func (k *Keeper) Stated(now snipeford.Instant) []Stated {
	var out []Stated
	for id, p := range k.paces {
		if ago := now.Sub(p.knownAt); ago <= maxStatedAge {
			out = append(out, Stated{id, p.level, ago})
		}
	}
	slices.SortFunc(out, func(a, b Stated) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Merge adopts a pace that another node has stated, if it is more recent than what is known.
// Of two equally recent ones, the lower counts.
func (k *Keeper) Merge(now snipeford.Instant, stated Stated, c Capacity) {
	at := now.Add(-max(stated.Ago, 0))
	known := k.paces[stated.Upstream]
	if known != nil && (known.knownAt > at || known.knownAt == at && known.level <= stated.InFlight) {
		return
	}
	p := k.add(now, stated.Upstream, c)
	p.fill(now)
	if known == nil {
		// The earlier home may just have sent a request.
		p.tokens, p.strainedAt, p.reducedAt = 0, now, at
	}
	p.level = min(max(stated.InFlight, c.floor()), max(c.InFlight, c.floor()))
	p.loggedLevel, p.knownAt = p.level, at
}

// Adopt records the pace that the home has stated with a placement, which is zero if the
// upstream has none.
func (k *Keeper) Adopt(now snipeford.Instant, id snipeford.UpstreamID, inFlight float64, c Capacity) {
	if inFlight > 0 {
		k.Merge(now, Stated{Upstream: id, InFlight: inFlight}, c)
		return
	}
	if p := k.paces[id]; p != nil && p.coldUntil <= now {
		delete(k.paces, id)
	}
}
