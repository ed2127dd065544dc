package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/policy/pause"
	"snipeford/internal/upstream/connection"
)

// pauses keeps the pauses that upstreams have asked of this node. It is safe for
// concurrent use, and its zero value has none.
type pauses struct {
	mu     sync.Mutex
	keeper pause.Keeper
}

// ownNode is the key of this node in its own keeper.
const ownNode snipeford.NodeID = ""

func (p *pauses) report(now snipeford.Instant, id snipeford.UpstreamID, d time.Duration) (begins bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Report(now, ownNode, id, d)
}

// none reports whether there are no pauses. It forgets those that have ended.
func (p *pauses) none(now snipeford.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.Forget(now)
	return p.keeper.Len() == 0
}

func (p *pauses) left(now snipeford.Instant, id snipeford.UpstreamID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Left(now, ownNode, id)
}

func (p *pauses) takeTrial(now snipeford.Instant, id snipeford.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.TakeTrial(now, ownNode, id)
}

// KeepPause records that an upstream wants no requests from this node for d.
func (s *Server) KeepPause(id snipeford.UpstreamID, d time.Duration) {
	if s.pauses.report(s.Timer.Now(), id, d) {
		s.Metrics.PauseBegan()
		s.Log.Info("upstream asks for a pause, in a response to another node", "Upstream", id, "PauseMs", d.Milliseconds())
	}
}

// Paused reports whether an upstream wants no requests from this node now.
func (s *Server) Paused(id snipeford.UpstreamID) bool {
	return s.pauses.left(s.Timer.Now(), id) > 0
}

// PauseMetrics records the pauses that upstreams ask for.
type PauseMetrics interface {
	// PauseBegan records that an upstream wants no requests from this node for a time.
	PauseBegan()
	// Diverted records a request that was placed on an upstream with a pause, and is
	// placed anew.
	Diverted()
	// PauseTried records a request that is sent to an upstream in spite of its pause.
	PauseTried()
}

// pauseState is what a request has met of pauses.
type pauseState struct {
	// trial is an upstream with a pause to which the request may be sent, since no
	// other one can serve it.
	trial snipeford.UpstreamID
	// trialTaken is the upstream to which the present attempt goes as the trial of a pause.
	trialTaken snipeford.UpstreamID
	// turnedAway are excluded upstreams that did not run the request and asked for a
	// pause.
	turnedAway []snipeford.UpstreamID
	// displaced are the upstreams on which the request was placed in spite of a pause.
	displaced []snipeford.UpstreamID
}

// keepPause records that an upstream wants no requests from this node for d, and reports
// it to the home of a service with engines.
func (c *requestState) keepPause(service snipeford.ServiceName, id snipeford.UpstreamID, d time.Duration) {
	if d <= 0 {
		return
	}
	if c.pauses.report(c.Timer.Now(), id, d) {
		c.Metrics.PauseBegan()
		c.Log.Decided("upstream asks for a pause", c.head.RequestID, "Upstream", id, "PauseMs", d.Milliseconds())
	}
	if c.View().Plan.Service(service).Engine == nil {
		return
	}
	c.Placer.ReportDirectives(snipeford.DirectivesReport{
		Service: service, Upstream: id,
		Directives: snipeford.Directives{RequestLimit: snipeford.RequestLimit{Unreadable: true}, RetryAfter: d},
	})
}

// keepPauses records the pause that a response asks for. If the response names another
// upstream at fault, that one gets no requests either, nor does one whose row has the same
// address: what is sent to it reaches the upstream that responded.
func (c *requestState) keepPauses(service snipeford.ServiceName, id snipeford.UpstreamID, x *connection.Exchange) {
	d := x.Decoded.Directives.RetryAfter
	if d <= 0 {
		return
	}
	c.keepPause(service, id, d)
	if x.Decoded.NotRun {
		c.turnedAway = append(c.turnedAway, id)
	}
	upstream, known := c.findUpstream(service, id)
	for name, list := range c.view.Usable {
		for _, u := range list {
			atFault := name == service && x.Decoded.FaultAddress != "" && u.Address == x.Decoded.FaultAddress
			if u.ID != id && (atFault || known && u.Address == upstream.Address) {
				c.keepPause(name, u.ID, d)
				c.turnedAway = append(c.turnedAway, u.ID)
			}
		}
	}
}

// keepReservationPause records the pause that an engine asks for in response to a call
// about reserved memory. It may run beside the request.
func (c *requestState) keepReservationPause(u directory.Upstream, err error) {
	var unavailable *snipeford.UnavailableError
	if errors.As(err, &unavailable) {
		c.keepPause(u.Service, u.ID, unavailable.RetryAfter)
	}
}

// causedByPause reports whether an engine wanted no requests as memory was to be
// reserved, or does not since.
func causedByPause(err error) bool {
	var unavailable *snipeford.UnavailableError
	return errors.Is(err, errPaused) || errors.As(err, &unavailable)
}

func (c *requestState) paused(id snipeford.UpstreamID) bool { return c.Paused(id) }

// mayUse reports whether the request may be sent to an upstream now. It takes the trial
// of a pause.
func (c *requestState) mayUse(id snipeford.UpstreamID) bool {
	c.trialTaken = ""
	if !c.paused(id) {
		return true
	}
	if c.trial != id || !c.pauses.takeTrial(c.Timer.Now(), id) {
		return false
	}
	c.trialTaken = id
	c.Metrics.PauseTried()
	c.Log.Decided("upstream tried in its pause", c.head.RequestID, "Upstream", id)
	return true
}

// divert records that the request was placed on an upstream with a pause.
func (c *requestState) divert(id snipeford.UpstreamID) {
	c.displaced = append(c.displaced, id)
	c.Metrics.Diverted()
	c.Log.Decided("placed on an upstream with a pause", c.head.RequestID, "Upstream", id)
}

// withoutPaused returns the upstreams that must not be picked for the request: those
// that are excluded, and those with a pause. For a trial, these are all others.
func (c *requestState) withoutPaused(service snipeford.ServiceName) []snipeford.UpstreamID {
	now := c.Timer.Now()
	if c.pauses.none(now) {
		return c.excluded
	}
	c.pauses.mu.Lock()
	defer c.pauses.mu.Unlock()
	out := slices.Clone(c.excluded)
	for _, u := range c.view.Usable[service] {
		if c.trial == u.ID {
			continue
		}
		if c.trial != "" || c.pauses.keeper.Left(now, ownNode, u.ID) > 0 {
			out = append(out, u.ID)
		}
	}
	return out
}

// excludedAtHome returns the upstreams on which the home must not place the request. A
// home that knows of pauses needs no list of them, and one that does not has placed the
// request on one of them before.
func (c *requestState) excludedAtHome(service snipeford.ServiceName) []snipeford.UpstreamID {
	if c.trial != "" {
		return c.withoutPaused(service)
	}
	out := c.excluded
	for _, id := range c.displaced {
		if c.paused(id) {
			out = append(slices.Clip(out), id)
		}
	}
	return out
}

// pauseOutlook says what the pauses of a service leave to a request.
type pauseOutlook struct {
	// open is set if an upstream without a pause can serve the request, or if none has
	// a pause, or if the home decides on engines that have failed.
	open bool
	// first is the time until the first pause ends, and trial an upstream that may be
	// tried before.
	first time.Duration
	trial snipeford.UpstreamID
	// returned are upstreams that turned the request away before their pauses, which
	// have ended.
	returned []snipeford.UpstreamID
}

func (c *requestState) pauseOutlook(service snipeford.ServiceName) pauseOutlook {
	now, out := c.Timer.Now(), pauseOutlook{}
	if len(c.turnedAway) == 0 && c.pauses.none(now) {
		return pauseOutlook{open: true}
	}
	c.pauses.mu.Lock()
	defer c.pauses.mu.Unlock()
	keeper, failed := &c.pauses.keeper, false
	for _, u := range c.view.Usable[service] {
		excluded := slices.Contains(c.excluded, u.ID)
		turnedAway := excluded && slices.Contains(c.turnedAway, u.ID)
		if excluded && !turnedAway {
			failed = true
			continue
		}
		left := keeper.Left(now, ownNode, u.ID)
		switch {
		case left > 0:
			if out.first == 0 || left < out.first {
				out.first = left
			}
			if keeper.TrialAllowed(now, ownNode, u.ID) {
				out.trial = u.ID
			}
		case turnedAway:
			out.returned = append(out.returned, u.ID)
		default:
			return pauseOutlook{open: true}
		}
	}
	// A home knows whether engines on which the request has failed may be tried again.
	retried := failed && c.view.Plan.Service(service).Engine != nil && len(out.returned) == 0
	out.open = retried || out.first == 0 && len(out.returned) == 0
	return out
}

const (
	// minTimeAfterPause is the time that a request needs after the end of a pause to be
	// worth the wait.
	minTimeAfterPause = 300 * time.Millisecond
	// pauseCheckInterval is the time between two checks for other upstreams while a
	// request waits for the end of a pause.
	pauseCheckInterval = 200 * time.Millisecond
)

// awaitUpstream waits until an upstream without a pause can serve the request, if only
// the pauses are in the way and the first of them ends within the patience of the caller.
// Otherwise it selects an upstream for a trial, or refuses the request.
func (c *requestState) awaitUpstream(service snipeford.ServiceName, patience func() time.Duration) *refusal {
	c.trial = ""
	for c.ctx.Err() == nil {
		o := c.pauseOutlook(service)
		switch left := patience(); {
		case o.open:
			return nil
		case len(o.returned) > 0:
			returned := func(id snipeford.UpstreamID) bool { return slices.Contains(o.returned, id) }
			c.excluded = slices.DeleteFunc(slices.Clone(c.excluded), returned)
			// If one fails the request now, it has not turned it away.
			c.turnedAway = slices.DeleteFunc(c.turnedAway, returned)
			return nil
		case o.first+minTimeAfterPause <= left:
			c.Timer.Sleep(c.ctx, min(o.first, pauseCheckInterval))
			c.view = c.View()
		case o.trial != "":
			c.trial = o.trial
			c.excluded = slices.DeleteFunc(slices.Clone(c.excluded), func(id snipeford.UpstreamID) bool { return id == o.trial })
			return nil
		default:
			return allPaused(o.first, c.timeLeft())
		}
	}
	return nil
}

// allPaused returns the refusal of a request that only upstreams with pauses could serve.
// Other nodes may serve it sooner than the first pause of this node ends.
func allPaused(first, timeLeft time.Duration) *refusal {
	retryAfter := max(min(first, timeLeft/pauseRetryDivisor), defaultRetryAfter)
	return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseOverload, retryAfter: retryAfter, reason: "all upstreams asked for a pause"}
}

// pauseRetryDivisor sets the latest time to retry, as the time that the caller has left
// divided by it. Callers accept no later time.
const pauseRetryDivisor = 3

// maxDiversions limits how often a request is placed anew. A home that knows nothing of
// pauses may place it on the same upstreams again.
const maxDiversions = 8

// errPaused means that an upstream of a placement wants no requests now.
var errPaused = errors.New("upstream asked for a pause")

// patience returns how long the request may still wait for an upstream of a plain
// service.
func (c *requestState) patience() time.Duration {
	return min(c.timeLeft(), c.drainEnd().Sub(c.Timer.Now()))
}

// withdraw undoes the pick of an upstream whose pause has begun since.
func (c *requestState) withdraw(service snipeford.ServiceName, id snipeford.UpstreamID) {
	c.divert(id)
	c.Balancer.HoldBack(id, 0)
	c.reportWatched(service, false, c.Timer.Now())
}

// patience returns how long the caller still waits for the next event.
func (s *streamRequest) patience() time.Duration {
	return min(s.placementTimeLeft(), s.route.StreamIdleTimeout()-s.idleTime())
}

// anyPaused returns an engine of a placement that has a pause.
func (s *streamRequest) anyPaused(p snipeford.Placement) (snipeford.UpstreamID, bool) {
	for _, id := range append([]snipeford.UpstreamID{p.Upstream}, p.Helpers...) {
		if s.paused(id) {
			return id, true
		}
	}
	return "", false
}

// divertPlaced reports whether an engine of a placement has a pause, so that the request
// has to be placed anew. A trial is a request to one engine without reservations, which
// are requests, too.
func (s *streamRequest) divertPlaced(p snipeford.Placement) bool {
	id, paused := s.anyPaused(p)
	single := len(p.Helpers) == 0 && p.ReservedMemory == 0
	s.trialTaken = ""
	if !paused || single && s.mayUse(id) {
		return false
	}
	s.divert(id)
	if s.view.Plan.Service(s.service).Engine == nil {
		s.Balancer.HoldBack(id, 0)
		s.reportWatched(s.service, false, s.attemptStart)
		return true
	}
	s.reportEnd(p, false, "")
	return true
}

// reserveAt reserves or renews the memory at one engine, unless it wants no requests.
func (r *reservation) reserveAt(ctx context.Context, i int, u directory.Upstream) error {
	c := r.request
	if c.paused(u.ID) {
		return fmt.Errorf("%w: %s", errPaused, u.ID)
	}
	err := c.Reservations.Reserve(ctx, u.Upstream, r.ids[i], r.perEngine, reservationTTL)
	c.keepReservationPause(u, err)
	return err
}
