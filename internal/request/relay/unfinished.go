package relay

import (
	"sync"

	"snipeford"
)

// unfinished holds the requests in progress. Its zero value is empty.
type unfinished struct {
	mu       sync.Mutex
	requests map[*progress]struct{}
	// ended is set once end has been called.
	ended bool
}

// progress is the part of a request's state that other goroutines read.
type progress struct {
	id    snipeford.RequestID
	start snipeford.Instant
	// cancel makes the handler write its final response. It must not be called after
	// the end of the handler.
	cancel func()
	mu     sync.Mutex
	// sentAt is when the last attempt at an upstream began, or zero.
	sentAt snipeford.Instant
	// responding is set before the status and header are written to the caller.
	responding bool
	// ended is set once cancel has been called.
	ended bool
}

func (u *unfinished) add(p *progress) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.requests == nil {
		u.requests = map[*progress]struct{}{}
	}
	u.requests[p] = struct{}{}
	if u.ended {
		p.end()
	}
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

// end ends the requests whose response has not begun, now and in the future.
func (u *unfinished) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	for p := range u.requests {
		p.end()
	}
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

// startResponse marks the response as begun, which protects it from end. It returns
// false if the request has been ended.
func (p *progress) startResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responding = true
	return !p.ended
}

func (p *progress) isResponding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responding
}

func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.responding && !p.ended {
		p.ended = true
		p.cancel()
	}
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
