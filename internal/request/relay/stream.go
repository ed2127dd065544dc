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

// stream is one streamed request. One answer may be put together from several
// upstreams' streams.
type stream struct {
	*call
	name  snipeford.ServiceName
	flush *http.ResponseController
	// begun is set once the head of the answer has been passed on.
	begun bool
	// lastEvent is the id of the last event that the caller has, and lastID its
	// number.
	lastEvent string
	lastID    int64
	events    int
	firstByte time.Duration
	longest   time.Duration
	lastAt    snipeford.Instant
	// faults counts the helpers that failed the request.
	faults int
	// held is the memory that is set aside for the current attempt.
	held *tickets
}

// mostFaults is how many helpers may fail a request until it is read by one
// engine alone.
const mostFaults = 2

func newStream(c *call, name snipeford.ServiceName) *stream {
	s := &stream{call: c, name: name, flush: http.NewResponseController(c.w), lastEvent: c.head.LastEventID, lastID: -1}
	s.noteID(c.head.LastEventID)
	return s
}

func (s *stream) noteID(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID = n
	}
}

// serve tries upstreams until the answer is whole or none is left.
func (s *stream) serve() {
	for s.tries < mostTries {
		if s.ctx.Err() != nil {
			break
		}
		if !s.mayArrive(s.name) {
			break
		}
		p, refused := s.place()
		if refused != nil {
			s.finish(refused)
			return
		}
		if s.try(p) {
			return
		}
		if s.attempts > 0 && !s.mayRepeat() {
			break
		}
	}
	s.finish(nil)
}

// place finds an engine for the next attempt, or a balanced upstream where the
// service has none.
func (s *stream) place() (snipeford.Placement, *refusal) {
	s.view = s.View()
	if s.view.Plan.Service(s.name).Engine == nil {
		id, ok := s.Balancer.Pick(s.view, s.name, s.excluded)
		if !ok {
			return snipeford.Placement{}, overloaded(soon)
		}
		return snipeford.Placement{RequestID: s.head.RequestID, Upstream: id}, nil
	}
	p, by := s.Placer.Place(s.ctx, snipeford.PlacementRequest{
		RequestID: s.head.RequestID, Domain: s.Domain, Service: s.name,
		Prompt: s.head.Prompt, ExpectedOutput: s.output(),
		FirstEventTarget: s.target(), EventGapTarget: s.route.EventGapTarget,
		StreamIdleTimeout: s.route.StreamIdleTimeout(), FirstEventTimeout: s.route.StreamIdleTimeout() - s.silent(),
		TimeLeft: s.left(), Priority: s.rank, Excluded: s.excluded, AvoidHelpers: s.faults >= mostFaults,
	})
	if p.Refused {
		s.Log.Decided("no place", s.head.RequestID, "By", by, "PromptTokens", s.head.Prompt)
		return p, overloaded(max(p.RetryAfter, soon))
	}
	if s.tries > 0 || len(p.Helpers) > 0 {
		s.Log.Decided("placed", s.head.RequestID, "By", by, "Upstream", p.Upstream, "Helpers", p.Helpers, "PromptTokens", s.head.Prompt, "Try", s.tries+1)
	}
	return p, nil
}

// silent returns for how long the caller has heard nothing.
func (s *stream) silent() time.Duration {
	if s.begun {
		return s.Timer.Now().Sub(s.lastAt)
	}
	return s.Timer.Now().Sub(s.start)
}

// output returns how long the answer may become: twice the caller's guess,
// which is often far off, and no more than its limit.
func (s *stream) output() snipeford.Tokens {
	if s.head.OutputHint > 0 {
		return min(2*s.head.OutputHint, s.head.MaxOutput)
	}
	return s.head.MaxOutput
}

// target returns how long the next event may take to be timely.
func (s *stream) target() time.Duration {
	if s.begun {
		return s.route.EventGapTarget
	}
	return max(s.route.LatencyTarget-s.Timer.Now().Sub(s.start), 0)
}

// try sends the request to the placed upstream and relays its stream. It
// reports whether the request is settled.
func (s *stream) try(p snipeford.Placement) bool {
	s.tries++
	if s.arrivals > 0 {
		s.Metrics.Repeated(s.route.Kind)
	}
	traced, span := s.Tracer.Start(s.ctx, "upstream")
	defer span.End()
	attempt, cancel := context.WithCancelCause(traced)
	defer cancel(nil)
	watch := s.watchFirst(p, cancel)
	defer func() { watch.Stop() }()
	guard := s.guard(attempt, p, cancel)
	defer guard.Stop()
	x, err := s.send(attempt, p, cancel)
	if s.held != nil {
		defer s.freeMemory()
	}
	if err != nil {
		return s.lost(p, err)
	}
	defer x.Close()
	s.arrivals++
	switch {
	case x.Decoded.NotRun:
		fault := s.fault(p, x)
		if fault != "" {
			s.faults++
		}
		s.end(p, true, fault)
		s.exclude(p, fault)
		s.Log.Decided("upstream did not run the request", s.head.RequestID, "Upstream", p.Upstream, "Status", x.Status, "Fault", fault)
		return false
	case x.Status != http.StatusOK || !x.Decoded.Signed:
		return s.rejected(p, x)
	}
	s.attempts++
	return s.relay(p, x, func() {
		guard.Reset()
		watch.Stop()
		watch = s.watch(s.patience(), cancel)
	})
}

// send sends the request to the placed upstream, with memory set aside where
// the prompt needs it.
func (s *stream) send(ctx context.Context, p snipeford.Placement, giveUp context.CancelCauseFunc) (*connection.Exchange, error) {
	engines, err := s.engines(p)
	if err != nil {
		return nil, &connection.ExchangeError{Err: err}
	}
	head := snipeford.AttemptHeader{Upstream: p.Upstream, LastEventID: s.lastEvent, Priority: p.Priority, HasPriority: p.Priority > 0}
	if p.ReservedMemory > 0 {
		held, at, err := s.reserve(engines, p.ReservedMemory, giveUp)
		if err != nil {
			s.excluded = append(s.excluded, at)
			return nil, &connection.ExchangeError{Err: err}
		}
		s.held = held
		head.Helpers = held.helpers()
	} else {
		for _, u := range engines[1:] {
			head.Helpers = append(head.Helpers, snipeford.Helper{Address: u.Address})
		}
	}
	return s.Pool.Do(ctx, engines[0].Address, s.request(head), s.Codec)
}

// engines returns the placed upstream and its helpers.
func (s *stream) engines(p snipeford.Placement) ([]directory.Upstream, error) {
	var out []directory.Upstream
	for _, id := range append([]snipeford.UpstreamID{p.Upstream}, p.Helpers...) {
		u, ok := s.find(id)
		if !ok {
			s.excluded = append(s.excluded, id)
			return nil, fmt.Errorf("%w: %s", errUnknownUpstream, id)
		}
		out = append(out, u)
	}
	return out, nil
}

func (s *stream) freeMemory() {
	s.held.free()
	s.held = nil
}

var errUnknownUpstream = errors.New("upstream is not known here")

func (s *stream) find(id snipeford.UpstreamID) (directory.Upstream, bool) {
	list := s.view.Usable[s.name]
	i := slices.IndexFunc(list, func(u directory.Upstream) bool { return u.ID == id })
	if i < 0 {
		return directory.Upstream{}, false
	}
	return list[i], true
}

// lost handles an attempt without an answer.
func (s *stream) lost(p snipeford.Placement, err error) bool {
	var f *connection.ExchangeError
	sent := errors.As(err, &f) && f.Sent
	if sent {
		s.attempts++
		s.arrivals++
	}
	placeable := errors.Is(err, snipeford.ErrConflict) || errors.Is(err, errUnknownUpstream)
	s.end(p, s.ctx.Err() == nil && !placeable, "")
	if !placeable {
		s.exclude(p, "")
	}
	s.Log.Decided("upstream gave no answer", s.head.RequestID, "Upstream", p.Upstream, "Error", err, "Attempts", s.attempts)
	return false
}

// rejected handles an answer that is no stream.
func (s *stream) rejected(p snipeford.Placement, x *connection.Exchange) bool {
	s.attempts++
	fault := s.fault(p, x)
	s.end(p, true, fault)
	s.exclude(p, fault)
	a, err := readAnswer(x)
	s.Log.Decided("upstream failed the request", s.head.RequestID, "Upstream", p.Upstream, "Status", x.Status, "Error", err)
	if err == nil && !s.begun && x.Status < http.StatusInternalServerError && x.Status >= http.StatusMultipleChoices && !promises(x.Status) {
		s.pass(a)
		return true
	}
	if err == nil {
		s.last = a
	}
	return false
}

// exclude leaves the upstream at fault out of the next attempt.
func (s *stream) exclude(p snipeford.Placement, fault snipeford.UpstreamID) {
	s.excluded = append(s.excluded, cmp.Or(fault, p.Upstream))
}

// fault returns the upstream at fault where that is not the placed one.
func (s *stream) fault(p snipeford.Placement, x *connection.Exchange) snipeford.UpstreamID {
	if x.Decoded.FaultAddress == "" {
		return ""
	}
	for _, u := range s.view.Usable[s.name] {
		if u.Address == x.Decoded.FaultAddress && u.ID != p.Upstream {
			return u.ID
		}
	}
	return ""
}

func (s *stream) end(p snipeford.Placement, failed bool, fault snipeford.UpstreamID) {
	if s.view.Plan.Service(s.name).Engine == nil {
		s.Balancer.Ended(p.Upstream, failed)
		return
	}
	s.Placer.Ended(s.name, p.RequestID, failed, fault)
}

// finish gives the final answer where the stream is not whole.
func (s *stream) finish(refused *refusal) {
	switch {
	case s.begun:
		s.abort("no upstream goes on with the stream", s.ctx.Err())
	case s.over():
	case refused != nil && s.attempts == 0:
		s.refuse(refused)
	case s.last != nil && !promises(s.last.status) && s.last.status >= http.StatusInternalServerError:
		s.pass(s.last)
	case s.attempts > 0:
		s.refuse(failed("no upstream answered"))
	default:
		s.refuse(overloaded(soon))
	}
}
