package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/upstream/connection"
)

// streamRequest is the state of one streamed request. Its response may be
// assembled from the streams of several upstreams.
type streamRequest struct {
	*requestState
	service    snipeford.ServiceName
	controller *http.ResponseController
	// headWritten is set once the status and header have been written to the
	// caller.
	headWritten bool
	// lastEventID is the id of the last event that the caller has received, and
	// lastEventNumber is the id as a number, or -1.
	lastEventID     string
	lastEventNumber int64
	// truncated is set while the last event that an upstream sent broke off.
	truncated        bool
	eventCount       int
	timeToFirstEvent time.Duration
	// expectedFirstEvent is the time to the first event that the last placement before it
	// predicted.
	expectedFirstEvent time.Duration
	maxEventGap        time.Duration
	lastEventAt        snipeford.Instant
	// attemptStart is when the current attempt was placed.
	attemptStart snipeford.Instant
	// helperFailures counts the attempts that did not run because of a fault at a
	// helper.
	helperFailures int
	// reserved is the memory reserved for the current attempt, or nil.
	reserved *reservation
}

// maxHelperFailures is the number of helper failures after which a request is
// placed without helpers.
const maxHelperFailures = 2

func newStreamRequest(c *requestState, service snipeford.ServiceName) *streamRequest {
	s := &streamRequest{requestState: c, service: service, controller: http.NewResponseController(c.w), lastEventID: c.head.LastEventID, lastEventNumber: -1}
	s.setLastEventNumber(c.head.LastEventID)
	return s
}

func (s *streamRequest) setLastEventNumber(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastEventNumber = n
	}
}

// serve makes attempts at upstreams until one of them ends with the final response.
// It gives up after maxSelectedUpstreams attempts, when the deadline has passed or the caller
// has disconnected, when the retry budget is exhausted, when no upstream can be
// placed, and when the request may have run and must not be sent again.
func (s *streamRequest) serve() {
	for s.selectedUpstreams < maxSelectedUpstreams {
		if s.ctx.Err() != nil {
			break
		}
		if s.noWay(s.service) {
			s.finish(unreachable())
			return
		}
		p, refused := s.place()
		if refused != nil {
			s.finish(refused)
			return
		}
		if !s.allowSend(s.service) {
			s.reportEnd(p, false, "")
			break
		}
		if s.divertPlaced(p) {
			if len(s.displaced) >= maxDiversions {
				s.finish(overloaded(defaultRetryAfter))
				return
			}
			continue
		}
		if s.attempt(p) {
			return
		}
		if s.possibleRuns > 0 && !s.mayRetry() {
			break
		}
	}
	s.finish(nil)
}

// place selects an engine for the next attempt, or an upstream from the balancer
// if the service has no engines.
func (s *streamRequest) place() (snipeford.Placement, *refusal) {
	s.view = s.View()
	if s.view.Plan.Service(s.service).Engine == nil {
		id, ok := s.pick(s.service)
		if !ok && s.suspected != nil {
			return snipeford.Placement{}, s.suspected
		}
		if !ok {
			return snipeford.Placement{}, overloaded(s.retryAfterLimit(s.service))
		}
		return snipeford.Placement{RequestID: s.head.RequestID, Upstream: id}, nil
	}
	if refused := s.awaitUpstream(s.service, s.patience); refused != nil {
		return snipeford.Placement{}, refused
	}
	waiting, stop := s.Pool.WhileReachable(s.ctx, func() []string { return addressesOf(s.View(), s.service)() })
	defer stop()
	p, by := s.Placer.Place(waiting, snipeford.PlacementRequest{
		RequestID: s.head.RequestID, Domain: s.Domain, Service: s.service, Organisation: s.org,
		Prompt: s.head.Prompt, ExpectedOutput: s.expectedOutput(),
		FirstEventTarget: s.nextEventTarget(), EventGapTarget: s.route.EventGapTarget,
		StreamIdleTimeout: s.route.StreamIdleTimeout(), FirstEventTimeout: s.route.StreamIdleTimeout() - s.idleTime(),
		TimeLeft: s.placementTimeLeft(), Priority: s.priority, HasPriority: s.view.Plan.HasPriorities(s.service), Excluded: s.excludedAtHome(s.service), Trial: s.trial, AvoidHelpers: s.helperFailures >= maxHelperFailures,
		PrefixParts: s.crashKeys(),
	})
	// The request may have waited, and the home may have placed it on a new engine.
	s.view = s.View()
	if p.Refused && errors.Is(context.Cause(waiting), connection.ErrNoWay) {
		return p, unreachable()
	}
	contended := s.contended(p)
	if p.Refused && p.Cause != "" {
		s.Log.Decided("prompt refused", s.head.RequestID, "By", by, "Cause", p.Cause, "Part", p.Part)
		reason := "requests with part " + string(p.Part) + " of the prompt crashed engines"
		if p.Part.IsRequest() {
			reason = reasonSameRequest
		}
		return p, &refusal{status: http.StatusServiceUnavailable, cause: p.Cause, retryAfter: p.RetryAfter, reason: reason}
	}
	if p.Refused {
		s.Log.Decided("no place", s.head.RequestID, append([]any{"By", by, "PromptTokens", s.head.Prompt, "Excluded", s.excluded, "IdleMs", s.idleTime().Milliseconds()}, contended...)...)
		return p, overloaded(max(p.RetryAfter, defaultRetryAfter))
	}
	if s.selectedUpstreams > 0 || len(p.Helpers) > 0 || contended != nil {
		s.Log.Decided("placed", s.head.RequestID, append([]any{"By", by, "Upstream", p.Upstream, "Helpers", p.Helpers, "PromptTokens", s.head.Prompt, "Try", s.selectedUpstreams + 1, "ExpectedMs", p.ExpectedFirstEvent.Milliseconds()}, contended...)...)
	}
	return p, nil
}

// placementTimeLeft returns the time until the deadline or, if the response has not
// begun, until the end of the drain.
func (s *streamRequest) placementTimeLeft() time.Duration {
	if s.headWritten {
		return s.timeLeft()
	}
	return min(s.timeLeft(), s.drainEnd().Sub(s.Timer.Now()))
}

// idleTime returns the time since the last event, or since the start of the
// request if there was none.
func (s *streamRequest) idleTime() time.Duration {
	if s.headWritten {
		return s.Timer.Now().Sub(s.lastEventAt)
	}
	return s.Timer.Now().Sub(s.start)
}

// expectedOutput returns the output length to plan for: twice the caller's hint,
// which is often far off, and at most the caller's limit.
func (s *streamRequest) expectedOutput() snipeford.Tokens {
	if s.head.OutputHint > 0 {
		return min(2*s.head.OutputHint, s.head.MaxOutput)
	}
	return s.head.MaxOutput
}

// nextEventTarget returns how long the next event may take to meet the route's
// targets.
func (s *streamRequest) nextEventTarget() time.Duration {
	if s.headWritten {
		return s.route.EventGapTarget
	}
	return max(s.route.LatencyTarget-s.Timer.Now().Sub(s.start), 0)
}

// attempt sends the request to the placed upstream and relays its stream. It
// returns true once the request has its final response.
func (s *streamRequest) attempt(p snipeford.Placement) bool {
	s.selectedUpstreams++
	s.attemptStart = s.Timer.Now()
	if !s.headWritten {
		s.expectedFirstEvent = s.attemptStart.Sub(s.start) + p.ExpectedFirstEvent
	}
	traced, span := s.Tracer.Start(s.ctx, "upstream")
	defer span.End()
	attemptCtx, cancel := context.WithCancelCause(traced)
	defer cancel(nil)
	eventWatchdog := s.watchFirstEvent(p, cancel)
	defer func() { eventWatchdog.Stop() }()
	contact := &contact{}
	contact.progressAt.Store(int64(s.attemptStart))
	reachabilityWatchdog := s.watchReachability(attemptCtx, p, contact, cancel)
	defer reachabilityWatchdog.Stop()
	x, err := s.send(attemptCtx, p, cancel)
	if s.reserved != nil {
		defer s.releaseMemory()
	}
	if err != nil {
		return s.handleNoResponse(p, err)
	}
	defer x.Close()
	contact.through.Store(&x.Through)
	s.logThrough(p.Upstream, x)
	s.reportDirectives(s.service, p.Upstream, p.Limited, x, s.attemptStart)
	s.countReceipt()
	switch {
	case x.Decoded.NotRun:
		fault := s.helperAtFault(p, x)
		if slices.Contains(p.Helpers, fault) {
			s.helperFailures++
		}
		s.reportEnd(p, true, fault)
		s.exclude(p, fault)
		s.Log.Decided("upstream did not run the request", s.head.RequestID, "Upstream", p.Upstream, "Status", x.Status, "Fault", fault)
		return false
	case x.Status != http.StatusOK || !x.Decoded.Signed:
		return s.handleErrorResponse(p, x)
	}
	s.possibleRuns++
	received := func() {
		contact.progressAt.Store(int64(s.Timer.Now()))
		reachabilityWatchdog.Reset()
		// While the caller does not read, the engine cannot make progress.
		eventWatchdog.Stop()
	}
	written := func() { eventWatchdog = s.watchNextEvent(s.failoverTimeout(), cancel) }
	return s.relayEvents(attemptCtx, p, x, progressHooks{received, written})
}

// send sends the request to the placed upstream. It first reserves memory if the
// placement asks for it.
func (s *streamRequest) send(ctx context.Context, p snipeford.Placement, cancelAttempt context.CancelCauseFunc) (*connection.Exchange, error) {
	engines, err := s.engines(p)
	if err != nil {
		return nil, &connection.ExchangeError{Err: err}
	}
	head := snipeford.AttemptHeader{Upstream: p.Upstream, LastEventID: s.lastEventID, Priority: p.Priority, HasPriority: p.HasPriority}
	if p.ReservedMemory > 0 {
		reserved, failedID, err := s.reserve(engines, p.ReservedMemory, cancelAttempt)
		if err != nil {
			s.excluded = append(s.excluded, failedID)
			if causedByPause(err) {
				s.turnedAway = append(s.turnedAway, failedID)
			}
			return nil, &connection.ExchangeError{Err: err}
		}
		s.reserved = reserved
		if id, ok := s.anyPaused(p); ok {
			s.divert(id)
			return nil, &connection.ExchangeError{Err: fmt.Errorf("%w: %s", errPaused, id)}
		}
		head.Helpers = reserved.participants()
	} else {
		for _, u := range engines[1:] {
			head.Helpers = append(head.Helpers, snipeford.Helper{Address: u.Address})
		}
	}
	request := s.upstreamRequest(head, s.mayFailOver())
	request.Check = s.requireUsable(s.service, engines...)
	x, err := s.Pool.Do(ctx, engines[0].Address, request, s.Codec)
	if errors.Is(err, errUnknownUpstream) {
		s.excludeUnusable(engines)
	}
	return x, err
}

// engines returns the placed upstream and its helpers.
func (s *streamRequest) engines(p snipeford.Placement) ([]directory.Upstream, error) {
	var out []directory.Upstream
	for _, id := range append([]snipeford.UpstreamID{p.Upstream}, p.Helpers...) {
		u, ok := s.findUpstream(s.service, id)
		if !ok {
			s.excluded = append(s.excluded, id)
			return nil, fmt.Errorf("%w: %s", errUnknownUpstream, id)
		}
		out = append(out, u)
	}
	return out, nil
}

func (s *streamRequest) releaseMemory() {
	s.reserved.stop()
	s.reserved = nil
}

var errUnknownUpstream = errors.New("upstream is not known to this node")

// findUpstream returns a usable upstream of a service.
func (c *requestState) findUpstream(service snipeford.ServiceName, id snipeford.UpstreamID) (directory.Upstream, bool) {
	return usable(c.view, service, id)
}

// handleNoResponse handles an attempt without a response. It returns false: another
// upstream may be tried.
func (s *streamRequest) handleNoResponse(p snipeford.Placement, err error) bool {
	var f *connection.ExchangeError
	sent := errors.As(err, &f) && f.Sent
	if sent {
		s.possibleRuns++
		s.countReceipt()
	}
	// ErrConflict means that an engine had too little free memory, and
	// errUnknownUpstream that this node's view lacks an upstream. Neither is a fault
	// of the placed upstream, nor is a pause, so the attempt does not count as failed.
	// The upstream concerned is already excluded, or has a pause.
	upstreamNotAtFault := errors.Is(err, snipeford.ErrConflict) || errors.Is(err, errUnknownUpstream) || causedByPause(err)
	s.Log.Decided("upstream gave no answer", s.head.RequestID, "Upstream", p.Upstream, "Error", err, "Attempts", s.possibleRuns, "PrefixParts", s.head.PrefixParts)
	if sent {
		s.endBroken(p, err, 0)
		return false
	}
	if !upstreamNotAtFault {
		s.countUnreached(s.attemptStart)
		s.exclude(p, "")
	}
	s.reportEnd(p, s.ctx.Err() == nil && !upstreamNotAtFault && !s.noWay(s.service), "")
	return false
}

// handleErrorResponse handles a response that is unsigned or has a status other
// than 200. It returns true if the response was passed on.
func (s *streamRequest) handleErrorResponse(p snipeford.Placement, x *connection.Exchange) bool {
	s.possibleRuns++
	fault := s.helperAtFault(p, x)
	s.reportEnd(p, true, fault)
	s.exclude(p, fault)
	s.Log.Decided("upstream failed the request", s.head.RequestID, "Upstream", p.Upstream, "Status", x.Status)
	if x.Status < http.StatusMultipleChoices || impliesNotRun(x.Status) {
		// Such a response is never passed on, so its body is not needed.
		return false
	}
	resp, err := s.readResponse(x)
	if err != nil {
		s.Log.Decided("could not read the response of the upstream", s.head.RequestID, "Upstream", p.Upstream, "Error", err)
		return false
	}
	if !s.headWritten && x.Status < http.StatusInternalServerError {
		s.writeResponse(resp)
		return true
	}
	s.lastResponse = resp
	return false
}

// exclude excludes the upstream at fault from the next attempts. If fault is
// empty, that is the placed upstream.
func (s *streamRequest) exclude(p snipeford.Placement, fault snipeford.UpstreamID) {
	s.excluded = append(s.excluded, cmp.Or(fault, p.Upstream))
}

// helperAtFault returns the upstream that the response names as the cause of its
// failure, or an empty id if that is the placed upstream.
func (s *streamRequest) helperAtFault(p snipeford.Placement, x *connection.Exchange) snipeford.UpstreamID {
	if x.Decoded.FaultAddress == "" {
		return ""
	}
	for _, u := range s.view.Usable[s.service] {
		if u.Address == x.Decoded.FaultAddress && u.ID != p.Upstream {
			return u.ID
		}
	}
	return ""
}

func (s *streamRequest) reportEnd(p snipeford.Placement, failed bool, fault snipeford.UpstreamID) {
	if s.view.Plan.Service(s.service).Engine == nil {
		s.Balancer.Ended(p.Upstream, failed)
		s.paceEnded(s.service, p.Upstream, s.attemptStart, failed, 0)
		s.reportWatched(s.service, false, s.attemptStart)
		return
	}
	s.Placer.ReportEnd(s.service, p.RequestID, snipeford.RequestEnd{Failed: failed, FaultUpstream: fault})
}

// finish ends a request whose stream is not complete.
func (s *streamRequest) finish(refused *refusal) {
	switch {
	case s.headWritten:
		s.abort("no upstream left to resume the stream", s.ctx.Err())
	case s.finishIfDone():
	case refused != nil && s.possibleRuns == 0:
		s.refuse(refused)
	case s.lastResponse != nil && !impliesNotRun(s.lastResponse.status) && s.lastResponse.status >= http.StatusInternalServerError:
		s.writeResponse(s.lastResponse)
	case s.possibleRuns > 0:
		s.refuse(upstreamFailed("no upstream answered"))
	default:
		s.refuse(overloaded(defaultRetryAfter))
	}
}
