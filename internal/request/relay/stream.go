package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/request/event"
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
	s := &stream{call: c, name: name, flush: http.NewResponseController(c.w), lastEvent: c.head.LastEvent, lastID: -1}
	s.noteID(c.head.LastEvent)
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
		return snipeford.Placement{Call: s.head.Request, Upstream: id}, nil
	}
	p, by := s.Placer.Place(s.ctx, snipeford.PlaceAsk{
		Call: s.head.Request, Domain: s.Domain, Service: s.name,
		Prompt: s.head.Prompt, Output: s.output(),
		Target: s.target(), MaxPause: s.route.MaxPause,
		Silence: s.route.Silence(), FirstWithin: s.route.Silence() - s.silent(),
		Patience: s.left(), Priority: s.rank, Excluded: s.excluded, Alone: s.faults >= mostFaults,
	})
	if p.Refused {
		s.Log.Decided("no place", s.head.Request, "By", by, "PromptTokens", s.head.Prompt)
		return p, overloaded(max(p.RetryAfter, soon))
	}
	if s.tries > 0 || len(p.Helpers) > 0 {
		s.Log.Decided("placed", s.head.Request, "By", by, "Upstream", p.Upstream, "Helpers", len(p.Helpers), "PromptTokens", s.head.Prompt, "Try", s.tries+1)
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
	if s.head.LikelyOutput > 0 {
		return min(2*s.head.LikelyOutput, s.head.MaxOutput)
	}
	return s.head.MaxOutput
}

// target returns how long the next event may take to be timely.
func (s *stream) target() time.Duration {
	if s.begun {
		return s.route.MaxPause
	}
	return max(s.route.Target-s.Timer.Now().Sub(s.start), 0)
}

// try sends the request to the placed upstream and relays its stream. It
// reports whether the request is settled.
func (s *stream) try(p snipeford.Placement) bool {
	s.tries++
	if s.arrivals > 0 {
		s.Counts.Repeated(s.route.Kind)
	}
	attempt, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	watch := s.watchFirst(p, cancel)
	defer func() { watch.Stop() }()
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
	case x.Head.NotRun:
		fault := s.fault(p, x)
		if fault != "" {
			s.faults++
		}
		s.end(p, true, fault)
		s.exclude(p, fault)
		s.Log.Decided("upstream did not run the request", s.head.Request, "Upstream", p.Upstream, "Status", x.Status, "Fault", fault)
		return false
	case x.Status != http.StatusOK || !x.Head.Sealed:
		return s.rejected(p, x)
	}
	s.attempts++
	return s.relay(p, x, func() {
		watch.Stop()
		watch = s.watch(s.patience(), cancel)
	})
}

const (
	// movedShare is the share of its caller's patience with silence after which
	// a stream is moved: another engine needs the rest for its first event.
	movedShare = 0.8
	// overdue is how many times the predicted time a first event may take.
	overdue = 1.6
	// leastMoved is the shortest silence after which a stream is moved: passes of
	// a living engine take up to two seconds, and reading a prompt again
	// elsewhere delays others.
	leastMoved = 2500 * time.Millisecond
	// leastPatience is the silence that an engine is allowed at least.
	leastPatience = 300 * time.Millisecond
)

// errSilent is the cause of an attempt that was given up for its silence.
var errSilent = errors.New("engine was silent for too long")

// patience returns the silence after which a stream is moved.
func (s *stream) patience() time.Duration {
	return max(leastMoved, time.Duration(movedShare*float64(s.route.Silence())))
}

// watchFirst gives the attempt up where its first event does not come.
func (s *stream) watchFirst(p snipeford.Placement, cancel context.CancelCauseFunc) *timer.Watchdog {
	limit := s.left()
	if s.route.Resumable && s.attempts+1 < s.route.Attempts {
		limit = max(s.patience()-s.silent(), leastPatience, time.Duration(overdue*float64(p.Due)))
	}
	return s.Timer.Watch(limit, func() { cancel(errSilent) })
}

// watch gives the attempt up after a silence, where the stream can still go on
// at another engine.
func (s *stream) watch(limit time.Duration, cancel context.CancelCauseFunc) *timer.Watchdog {
	if !s.mayRepeat() {
		limit = s.left()
	}
	return s.Timer.Watch(limit, func() { cancel(errSilent) })
}

// send sends the request to the placed upstream, with memory set aside where
// the prompt needs it.
func (s *stream) send(ctx context.Context, p snipeford.Placement, giveUp context.CancelCauseFunc) (*connection.Exchange, error) {
	engines, err := s.engines(p)
	if err != nil {
		return nil, &connection.Failure{Err: err}
	}
	head := snipeford.AttemptHead{Upstream: p.Upstream, LastEvent: s.lastEvent, Priority: p.Priority, HasPriority: p.Priority > 0}
	if p.Reserve > 0 {
		held, at, err := s.reserve(engines, p.Reserve, giveUp)
		if err != nil {
			s.excluded = append(s.excluded, at)
			return nil, &connection.Failure{Err: err}
		}
		s.held = held
		head.Helpers = held.helpers()
	} else {
		for _, u := range engines[1:] {
			head.Helpers = append(head.Helpers, snipeford.Helper{Address: u.Address})
		}
	}
	return s.Pool.Do(ctx, engines[0].Address, s.request(head), s.Dialect)
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
	var f *connection.Failure
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
	s.Log.Decided("upstream gave no answer", s.head.Request, "Upstream", p.Upstream, "Error", err, "Attempts", s.attempts)
	return false
}

// rejected handles an answer that is no stream.
func (s *stream) rejected(p snipeford.Placement, x *connection.Exchange) bool {
	s.attempts++
	fault := s.fault(p, x)
	s.end(p, true, fault)
	s.exclude(p, fault)
	a, err := readAnswer(x)
	s.Log.Decided("upstream failed the request", s.head.Request, "Upstream", p.Upstream, "Status", x.Status, "Error", err)
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
	if x.Head.FaultAddress == "" {
		return ""
	}
	for _, u := range s.view.Usable[s.name] {
		if u.Address == x.Head.FaultAddress && u.ID != p.Upstream {
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
	s.Placer.Ended(s.name, p.Call, failed, fault)
}

// relay passes whole events on until the stream ends, and tells heard of each.
func (s *stream) relay(p snipeford.Placement, x *connection.Exchange, heard func()) bool {
	events := event.NewReader(x)
	first := true
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.end(p, false, "")
			return s.complete(x)
		}
		if err != nil {
			s.end(p, s.ctx.Err() == nil, "")
			s.exclude(p, "")
			s.Log.Decided("stream broke", s.head.Request, "Upstream", p.Upstream, "Error", err, "Events", s.events, "LastEvent", s.lastEvent)
			return false
		}
		heard()
		if first {
			first = false
			s.Placer.Began(s.name, p.Call, snipeford.EngineLoad{Known: x.Head.HasLoad, Running: x.Head.Running, Waiting: x.Head.Waiting})
		}
		if !s.write(x, e) {
			s.end(p, false, "")
			s.over()
			s.abort("caller left", s.ctx.Err())
		}
	}
}

// write passes one event on, unless the caller has it already.
func (s *stream) write(x *connection.Exchange, e event.Event) bool {
	if n, err := strconv.ParseInt(e.ID, 10, 64); err == nil {
		if n <= s.lastID {
			return true
		}
		s.lastID = n
	}
	if e.ID != "" {
		s.lastEvent = e.ID
	}
	now := s.Timer.Now()
	if !s.begun {
		s.begun = true
		s.firstByte = now.Sub(s.start)
		copyHeader(s.w.Header(), x.Header)
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(x.Status)
	} else {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.events++
	if _, err := s.w.Write(e.Raw); err != nil {
		return false
	}
	return s.flush.Flush() == nil
}

// complete ends a stream that its upstream ended.
func (s *stream) complete(x *connection.Exchange) bool {
	if !s.begun {
		s.begun = true
		copyHeader(s.w.Header(), x.Header)
		s.w.WriteHeader(x.Status)
	}
	took := s.Timer.Now().Sub(s.start)
	s.Counts.Answered(s.route.Kind, s.firstByte, took)
	if s.firstByte > s.route.Target || s.longest > s.route.MaxPause {
		s.Log.Decided("answer late", s.head.Request, "FirstEventMs", s.firstByte.Milliseconds(), "LongestPauseMs", s.longest.Milliseconds(),
			"TargetMs", s.route.Target.Milliseconds(), "MaxPauseMs", s.route.MaxPause.Milliseconds(), "PromptTokens", s.head.Prompt)
	}
	return true
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
