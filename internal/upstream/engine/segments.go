package engine

import (
	"context"
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/request/stream"
)

// reservationSeconds is how long an engine keeps a reservation that is neither
// renewed nor released, so that the failure of a home node does not leak memory.
const reservationSeconds = 120

// Timeout of the prefill of one segment. The attempt fails if an engine takes
// longer.
const (
	// prefillGrace is the part of the timeout that does not depend on the memory
	// reserved for the segment.
	prefillGrace = 10 * time.Second
	// minPrefillRate is the prefill rate that the rest of the timeout assumes.
	minPrefillRate snipeford.TokensPerSecond = 5_000
)

// Segment is the part of a prompt that one engine handles if the prompt does not
// fit into the memory of a single engine.
type Segment struct {
	Upstream       snipeford.Upstream
	Prompt         string
	ReservedMemory snipeford.Tokens
}

// GenerateSegments runs one attempt on several engines. It first reserves memory on
// all of them, in the given order; if one rejects the reservation, the attempt fails
// and no reservation is kept. It then prefills the segments in sequence, each
// importing the memory that the preceding one exported, and the last engine
// generates the response. Finally it releases all reservations, also after an
// error. It calls onSegmentStart before each segment except the first.
// In package relay, the first engine, the placed one, generates.
func (c *Client) GenerateSegments(ctx context.Context, segments []Segment, g GenerateRequest, onSegmentStart func(segment int), deliver func(stream.Chunk) error) Result {
	defer c.releaseAll(ctx, segments, g)
	for _, s := range segments {
		r := ReserveRequest{g.Attempt, s.ReservedMemory, reservationSeconds, g.FencingToken}
		if err := c.Reserve(ctx, s.Upstream, r); err != nil {
			err = fmt.Errorf("reserve memory on engine %s: %w", s.Upstream.ID, err)
			return Result{End: snipeford.EndRejected, NextOffset: g.Offset, Err: err}
		}
	}
	last := len(segments) - 1
	for i, s := range segments[:last] {
		p := PrefillRequest{g.Attempt, s.Prompt, g.Handle, g.Priority, g.FencingToken}
		handle, err := c.prefill(ctx, s, p)
		if err != nil {
			err = fmt.Errorf("prefill on engine %s: %w", s.Upstream.ID, err)
			return Result{End: snipeford.EndBroken, NextOffset: g.Offset, Err: err}
		}
		g.Handle = handle
		onSegmentStart(i + 1)
	}
	g.Prompt = segments[last].Prompt
	return c.Generate(ctx, segments[last].Upstream, g, deliver)
}

// prefill prefills one segment, with a timeout that grows with the memory reserved
// for it.
func (c *Client) prefill(ctx context.Context, s Segment, p PrefillRequest) (string, error) {
	grace := c.PrefillGrace
	if grace == 0 {
		grace = prefillGrace
	}
	timeout := grace + time.Duration(float64(s.ReservedMemory)/float64(minPrefillRate)*float64(time.Second))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Prefill(ctx, s.Upstream, p)
}

// releaseAll releases the reservations even if ctx is cancelled.
func (c *Client) releaseAll(ctx context.Context, segments []Segment, g GenerateRequest) {
	ctx = context.WithoutCancel(ctx)
	for _, s := range segments {
		// An unreachable engine drops the reservation after reservationSeconds.
		_ = c.Release(ctx, s.Upstream, ReleaseRequest{g.Attempt, g.FencingToken})
	}
}

// ReleaseStaleReservations releases the reservations on an engine that earlier home
// nodes made, which have a lower fencing token.
func (c *Client) ReleaseStaleReservations(ctx context.Context, u snipeford.Upstream, token snipeford.FencingToken) error {
	reservations, err := c.Reservations(ctx, u)
	if err != nil {
		return fmt.Errorf("list reservations: %w", err)
	}
	for _, r := range reservations {
		if r.FencingToken >= token {
			continue
		}
		if err := c.Release(ctx, u, ReleaseRequest{r.Attempt, token}); err != nil {
			return fmt.Errorf("release reservation: %w", err)
		}
	}
	return nil
}
