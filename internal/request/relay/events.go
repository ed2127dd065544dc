package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"snipeford"
	"snipeford/internal/request/event"
	"snipeford/internal/upstream/connection"
)

// progressHooks are called for each event that is progress, when it has arrived and when
// the caller has got it.
type progressHooks struct{ received, written func() }

// relayEvents passes on complete events until the stream ends. It returns false if the stream breaks before its end.
func (s *streamRequest) relayEvents(ctx context.Context, p snipeford.Placement, x *connection.Exchange, hooks progressHooks) bool {
	events := event.NewReader(x)
	firstEventAt := snipeford.Instant(0)
	progress := newStreamProgress()
	held := int64(0)
	defer func() { s.account.Release(held) }()
	for {
		e, err := events.Next()
		advanced := err == nil && progress.advance(e)
		if progress.idleBytes > maxIdleBytes {
			err = errIdleEvents
		}
		if errors.Is(err, io.EOF) && firstEventAt == 0 && s.needsEvent(x) {
			err = errNoEvents
		}
		if errors.Is(err, io.EOF) {
			s.reportStreamEnd(p, x, s.decodeTime(firstEventAt))
			return s.complete(x)
		}
		if err != nil {
			s.truncated = s.truncated || errors.Is(err, event.ErrTruncated)
			s.Log.Decided("stream broke", s.head.RequestID, "Upstream", p.Upstream, "Error", err, "Events", s.eventCount, "LastEvent", s.lastEventID, "PrefixParts", s.head.PrefixParts)
			s.endBroken(p, withCause(ctx, err), s.decodeTime(firstEventAt))
			return false
		}
		if advanced {
			hooks.received()
		}
		if firstEventAt == 0 && e.HasData {
			firstEventAt, s.truncated = s.Timer.Now(), false
			s.Placer.ReportFirstEvent(s.service, p.RequestID, snipeford.EngineLoad{Known: x.Decoded.HasLoad, Running: x.Decoded.Running, Waiting: x.Decoded.Waiting})
		}
		if !s.holdEvent(events, &held) || !s.writeEvent(x, e) {
			s.reportEnd(p, false, "")
			if !s.headWritten {
				return false
			}
			s.abort("caller cannot be written to", s.ctx.Err())
		}
		if advanced {
			hooks.written()
		}
	}
}

const (
	// maxIdleBytes limits the events in a row that are no progress. A sound upstream sends
	// a few comments to keep its connection open.
	maxIdleBytes = 128 << 10
	// eventOverhead is added to the length of each, since passing it on has a cost.
	eventOverhead = 128
)

// errIdleEvents means that a stream exceeded maxIdleBytes.
var errIdleEvents = errors.New("stream repeats events or sends none with data")

// streamProgress tells which events of an attempt are progress: those with data that do
// not repeat an earlier number.
type streamProgress struct {
	highest int64
	// idleBytes is the length of the events since the last that was progress, with
	// eventOverhead for each.
	idleBytes int
}

func newStreamProgress() *streamProgress { return &streamProgress{highest: -1} }

// advance records an event and reports whether it is progress.
func (p *streamProgress) advance(e event.Event) bool {
	number, err := strconv.ParseInt(e.ID, 10, 64)
	if !e.HasData || err == nil && number <= p.highest {
		p.idleBytes += len(e.Raw) + eventOverhead
		return false
	}
	if err == nil {
		p.highest = number
	}
	p.idleBytes = 0
	return true
}

// withCause wraps err with the cause of an attempt's context if that has ended.
func withCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return err
}

// errNoEvents means that a stream ended right after its header.
var errNoEvents = errors.New("stream ended before its first event")

// needsEvent reports whether a stream without events is broken: nothing but the end
// of the connection ended it, and at least one event is left for the caller.
func (s *streamRequest) needsEvent(x *connection.Exchange) bool {
	return !x.SelfDelimited && (s.lastEventID == "" || s.truncated) && s.r.Method != http.MethodHead
}

// decodeTime returns the time since the first event of an attempt, or zero if there
// was none.
func (s *streamRequest) decodeTime(firstEventAt snipeford.Instant) time.Duration {
	if firstEventAt == 0 {
		return 0
	}
	return s.Timer.Now().Sub(firstEventAt)
}

// writeEvent passes on one event, unless the caller has received it already. It
// returns false if the caller cannot be written to, or if the request ended before its
// first event.
func (s *streamRequest) writeEvent(x *connection.Exchange, e event.Event) bool {
	if n, err := strconv.ParseInt(e.ID, 10, 64); err == nil {
		if n <= s.lastEventNumber {
			return true
		}
		s.lastEventNumber = n
	}
	if e.ID != "" {
		s.lastEventID = e.ID
	}
	now := s.Timer.Now()
	if !s.headWritten {
		if !s.progress.startResponse() {
			return false
		}
		s.headWritten = true
		s.timeToFirstEvent = now.Sub(s.start)
		copyHeader(s.w.Header(), x.Header)
		s.w.Header().Del("Content-Length")
		s.writeHead(x.Status)
	} else {
		s.maxEventGap = max(s.maxEventGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.eventCount++
	if _, err := s.w.Write(e.Raw); err != nil {
		return false
	}
	return s.controller.Flush() == nil
}

// complete finishes a response whose upstream ended its stream.
func (s *streamRequest) complete(x *connection.Exchange) bool {
	if !s.headWritten {
		s.headWritten = true
		copyHeader(s.w.Header(), x.Header)
		s.writeHead(x.Status)
	}
	took := s.Timer.Now().Sub(s.start)
	s.Metrics.Completed(s.route.Kind, s.timeToFirstEvent, took)
	if s.timeToFirstEvent > s.route.LatencyTarget || s.maxEventGap > s.route.EventGapTarget {
		s.Log.Decided("answer late", s.head.RequestID, "FirstEventMs", s.timeToFirstEvent.Milliseconds(), "ExpectedMs", s.expectedFirstEvent.Milliseconds(), "LongestPauseMs", s.maxEventGap.Milliseconds(),
			"TargetMs", s.route.LatencyTarget.Milliseconds(), "MaxPauseMs", s.route.EventGapTarget.Milliseconds(), "PromptTokens", s.head.Prompt)
	}
	return true
}
