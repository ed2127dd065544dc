package relay

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeford"
	"snipeford/internal/control/directory"
)

const (
	// reservationTTL is how long an engine keeps a reservation that is not renewed,
	// as after a crash of this node. Unused memory must be free within four seconds
	// of the crash or of the loss of the placed engine.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval is short enough that a reservation survives two lost renewals
	// in a row.
	renewInterval = 900 * time.Millisecond
	// useCheckDelay is the time from the reservation to the check that its memory
	// is in use. The platform allows a reservation nine seconds without use.
	useCheckDelay = 4500 * time.Millisecond
	// maxReleaseTries and releaseRetryDelay limit the attempts to release a
	// reservation. If all fail, it expires after reservationTTL.
	maxReleaseTries   = 4
	releaseRetryDelay = 250 * time.Millisecond
)

// reservation is memory reserved for one request at several engines. Either all
// engines reserve it or none. The first of engines is the placed one, which
// generates the response; the others are its helpers. In package engine, the last
// engine generates.
type reservation struct {
	request   *requestState
	perEngine snipeford.Tokens
	engines   []directory.Upstream
	ids       []string
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// reserve reserves perEngine tokens of memory at each engine and renews the
// reservation until stop. If an engine fails to reserve, the memory at the others
// is released and the id of that engine is returned. If the memory is not in use
// after useCheckDelay, cancelAttempt is called.
func (c *requestState) reserve(engines []directory.Upstream, perEngine snipeford.Tokens, cancelAttempt context.CancelCauseFunc) (*reservation, snipeford.UpstreamID, error) {
	r := &reservation{request: c, perEngine: perEngine, engines: engines}
	for i := range engines {
		r.ids = append(r.ids, string(c.head.RequestID)+"-"+strconv.Itoa(c.selectedUpstreams)+"-"+strconv.Itoa(i))
	}
	if at, err := r.reserveFrom(c.ctx, 0); err != nil {
		r.releaseAll()
		return nil, engines[at].ID, fmt.Errorf("reserve memory: %w", err)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	r.cancel = cancel
	r.done.Add(1)
	go r.renewLoop(ctx)
	r.done.Add(1)
	go r.checkUse(ctx, cancelAttempt)
	return r, "", nil
}

// reserveFrom reserves or renews the memory at the engines with index first and
// up. On an error it returns the index of an engine that failed.
func (r *reservation) reserveFrom(ctx context.Context, first int) (int, error) {
	var group errgroup.Group
	failed := make([]error, len(r.engines))
	for i, u := range r.engines {
		if i < first {
			continue
		}
		group.Go(func() error {
			failed[i] = r.reserveAt(ctx, i, u)
			return nil
		})
	}
	// The goroutines store their errors in failed and return none.
	_ = group.Wait()
	for i, err := range failed {
		if err != nil {
			return i, err
		}
	}
	return 0, nil
}

// renewLoop renews the reservation until ctx ends. The helpers are renewed only
// after the placed engine: if that engine is lost, the helpers' memory is unused
// and must expire soon, although the broken connection may be noticed later.
func (r *reservation) renewLoop(ctx context.Context) {
	defer r.done.Done()
	for r.request.Timer.Sleep(ctx, renewInterval) {
		at, err := r.renewAll(ctx)
		if err != nil && ctx.Err() == nil && !errors.Is(err, errPaused) {
			r.request.Log.Decided("could not renew memory reservation", r.request.head.RequestID, "Upstream", r.engines[at].ID, "Error", err)
		}
	}
}

func (r *reservation) renewAll(ctx context.Context) (int, error) {
	if err := r.reserveAt(ctx, 0, r.engines[0]); err != nil {
		return 0, err
	}
	return r.reserveFrom(ctx, 1)
}

// checkUse cancels the attempt if an engine does not use its reserved memory.
// The request is stuck then, and other requests need the memory. An engine that
// does not answer says nothing about a stream that has events.
func (r *reservation) checkUse(ctx context.Context, cancelAttempt context.CancelCauseFunc) {
	defer r.done.Done()
	if !r.request.Timer.Sleep(ctx, useCheckDelay) {
		return
	}
	for i, u := range r.engines {
		if r.request.paused(u.ID) {
			continue
		}
		used, err := r.request.Reservations.InUse(ctx, u.Upstream, r.ids[i])
		if ctx.Err() != nil {
			return
		}
		r.request.keepReservationPause(u, err)
		if err != nil && (r.request.progress.isResponding() || causedByPause(err)) {
			continue
		}
		if err != nil || !used {
			r.request.Log.Decided("reserved memory is not in use", r.request.head.RequestID, "Upstream", u.ID, "Error", err)
			cancelAttempt(errNoProgress)
			return
		}
	}
}

// stop stops the renewals and releases the memory in the background.
func (r *reservation) stop() {
	r.cancel()
	r.done.Wait()
	r.releaseAll()
}

func (r *reservation) releaseAll() {
	for i, u := range r.engines {
		go r.releaseOne(u, r.ids[i])
	}
}

func (r *reservation) releaseOne(u directory.Upstream, id string) {
	ctx := context.WithoutCancel(r.request.ctx)
	var err error
	for range maxReleaseTries {
		if r.request.paused(u.ID) {
			// The reservation expires after reservationTTL.
			return
		}
		err = r.request.Reservations.Release(ctx, u.Upstream, id)
		if err == nil || errors.Is(err, snipeford.ErrConflict) {
			return
		}
		r.request.keepReservationPause(u, err)
		r.request.Timer.Sleep(ctx, releaseRetryDelay)
	}
	r.request.Log.Decided("could not release memory reservation", r.request.head.RequestID, "Upstream", u.ID, "Error", err)
}

// participants returns the address and the reservation id of each engine. It
// includes the placed engine, because only AttemptHeader.Helpers carries
// reservation ids.
func (r *reservation) participants() []snipeford.Helper {
	var out []snipeford.Helper
	for i, u := range r.engines {
		out = append(out, snipeford.Helper{Address: u.Address, ReservationID: r.ids[i]})
	}
	return out
}
