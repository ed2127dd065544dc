package relay

import (
	"sync"

	"snipeford"
)

// unfinished holds the requests in progress. Its zero value is empty.
type unfinished struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
}

// progress is the part of a request's state that other goroutines read.
type progress struct {
	id    snipeford.RequestID
	start snipeford.Instant
	mu    sync.Mutex
	// sentAt is when the last attempt at an upstream began, or zero.
	sentAt snipeford.Instant
	// responding is set before the status and header are written to the caller.
	responding bool
}

func (u *unfinished) add(p *progress) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests == nil {
		u.requests = map[*progress]struct{}{}
	}
	u.requests[p] = struct{}{}
}

func (u *unfinished) remove(p *progress) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.requests, p)
}

func (u *unfinished) count() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int64(len(u.requests))
}

func (u *unfinished) list() []*progress {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]*progress, 0, len(u.requests))
	for p := range u.requests {
		out = append(out, p)
	}
	return out
}

func (p *progress) sent(now snipeford.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt = now
}

func (p *progress) startResponse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responding = true
}

// LogUnfinished logs the requests in progress, with times since Leave.
func (s *Server) LogUnfinished() {
	leavingAt := snipeford.Instant(s.leavingAt.Load())
	for _, p := range s.unfinished.list() {
		p.mu.Lock()
		fields := []any{"ArrivedMs", p.start.Sub(leavingAt).Milliseconds(), "Responding", p.responding}
		if p.sentAt > 0 {
			fields = append(fields, "SentMs", p.sentAt.Sub(leavingAt).Milliseconds())
		}
		p.mu.Unlock()
		s.Log.Decided("request unfinished at the stop", p.id, fields...)
	}
}
