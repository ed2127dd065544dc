package relay

import (
	"errors"
	"io"
	"strconv"

	"snipeford"
	"snipeford/internal/request/event"
	"snipeford/internal/upstream/connection"
)

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
			s.Log.Decided("stream broke", s.head.RequestID, "Upstream", p.Upstream, "Error", err, "Events", s.events, "LastEvent", s.lastEvent)
			return false
		}
		heard()
		if first {
			first = false
			s.Placer.Began(s.name, p.RequestID, snipeford.EngineLoad{Known: x.Decoded.HasLoad, Running: x.Decoded.Running, Waiting: x.Decoded.Waiting})
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
	s.Metrics.Answered(s.route.Kind, s.firstByte, took)
	if s.firstByte > s.route.LatencyTarget || s.longest > s.route.EventGapTarget {
		s.Log.Decided("answer late", s.head.RequestID, "FirstEventMs", s.firstByte.Milliseconds(), "LongestPauseMs", s.longest.Milliseconds(),
			"TargetMs", s.route.LatencyTarget.Milliseconds(), "MaxPauseMs", s.route.EventGapTarget.Milliseconds(), "PromptTokens", s.head.Prompt)
	}
	return true
}
