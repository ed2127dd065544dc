package engine

import (
	"context"
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/request/stream"
)

// reservationSeconds is how long an engine keeps a reservation that nobody
// renews or releases, so that a dead home loses it no memory for good.
const reservationSeconds = 120

// Times of one segment's computation: an engine that takes longer is given up.
const (
	// prefillGrace is allowed for any segment, beside its work.
	prefillGrace = 10 * time.Second
	// slowestPrefill is the least speed that counts as alive.
	slowestPrefill snipeford.TokensPerSecond = 5_000
)

// Segment is one engine's part of a prompt that is larger than its memory.
type Segment struct {
	Upstream       snipeford.Upstream
	Prompt         string
	ReservedMemory snipeford.Tokens
}

// GenerateSegments serves a prompt by several engines: it reserves memory at
// all of them, in the given order, or at none; computes the segments one after
// the other, each importing what the one before exported; lets the last engine
// answer; and releases all whatever happened. Started is called as each segment
// but the first begins.
func (c *Client) GenerateSegments(ctx context.Context, segments []Segment, g GenerateRequest, started func(part int), pass func(stream.Chunk) error) Result {
	defer c.releaseAll(ctx, segments, g)
	for _, s := range segments {
		r := ReserveRequest{g.Attempt, s.ReservedMemory, reservationSeconds, g.Fence}
		if err := c.Reserve(ctx, s.Upstream, r); err != nil {
			err = fmt.Errorf("reserve at %s: %w", s.Upstream.ID, err)
			return Result{End: snipeford.EndRejected, NextOffset: g.Offset, Err: err}
		}
	}
	last := len(segments) - 1
	for i, s := range segments[:last] {
		p := PrefillRequest{g.Attempt, s.Prompt, g.Handle, g.Priority, g.Fence}
		handle, err := c.prefill(ctx, s, p)
		if err != nil {
			err = fmt.Errorf("prefill at %s: %w", s.Upstream.ID, err)
			return Result{End: snipeford.EndBroken, NextOffset: g.Offset, Err: err}
		}
		g.Handle = handle
		started(i + 1)
	}
	g.Prompt = segments[last].Prompt
	return c.Generate(ctx, segments[last].Upstream, g, pass)
}

// prefill computes one segment within the time that its length allows.
func (c *Client) prefill(ctx context.Context, s Segment, p PrefillRequest) (string, error) {
	grace := c.PrefillGrace
	if grace == 0 {
		grace = prefillGrace
	}
	allowed := grace + time.Duration(float64(s.ReservedMemory)/float64(slowestPrefill)*float64(time.Second))
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	return c.Prefill(ctx, s.Upstream, p)
}

// releaseAll frees the reservations even where the call was cancelled.
func (c *Client) releaseAll(ctx context.Context, segments []Segment, g GenerateRequest) {
	ctx = context.WithoutCancel(ctx)
	for _, s := range segments {
		// An engine that can't be reached frees the reservation by its time limit.
		_ = c.Release(ctx, s.Upstream, ReleaseRequest{g.Attempt, g.Fence})
	}
}

// ReleaseStaleReservations frees what homes with a lower fence left reserved at an engine.
func (c *Client) ReleaseStaleReservations(ctx context.Context, u snipeford.Upstream, fence snipeford.FencingToken) error {
	list, err := c.Reservations(ctx, u)
	if err != nil {
		return fmt.Errorf("list reservations: %w", err)
	}
	for _, r := range list {
		if r.Fence >= fence {
			continue
		}
		if err := c.Release(ctx, u, ReleaseRequest{r.Attempt, fence}); err != nil {
			return fmt.Errorf("release reservation: %w", err)
		}
	}
	return nil
}
