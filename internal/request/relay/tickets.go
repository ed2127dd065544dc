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
	// ticketHold is how long an engine keeps memory for a node that is gone. It
	// is below the four seconds within which unused memory has to be free.
	ticketHold = 3500 * time.Millisecond
	// renewEvery lets two renewals in a row get lost.
	renewEvery = 900 * time.Millisecond
	// idleCheck is when it is looked whether memory is in use. The platform
	// allows nine seconds without use.
	idleCheck = 4500 * time.Millisecond
	// releaseTries and releasePause bound the tries to free memory; the hold
	// ends what they could not.
	releaseTries = 4
	releasePause = 250 * time.Millisecond
)

// tickets is memory that several engines set aside for one request, all or
// none of them.
type tickets struct {
	call   *call
	share  snipeford.Tokens
	held   []directory.Upstream
	names  []string
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// reserve sets an even share of the memory aside at each engine. Where one has
// no room, the others are freed and its id is returned.
// Memory that is not in use after idleCheck makes giveUp end the attempt.
func (c *call) reserve(engines []directory.Upstream, share snipeford.Tokens, giveUp context.CancelCauseFunc) (*tickets, snipeford.UpstreamID, error) {
	t := &tickets{call: c, share: share, held: engines}
	for i := range engines {
		t.names = append(t.names, string(c.head.RequestID)+"-"+strconv.Itoa(c.tries)+"-"+strconv.Itoa(i))
	}
	if at, err := t.order(c.ctx, 0); err != nil {
		t.release()
		return nil, engines[at].ID, fmt.Errorf("reserve memory: %w", err)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	t.cancel = cancel
	t.done.Add(1)
	go t.renew(ctx)
	t.done.Add(1)
	go t.check(ctx, giveUp)
	return t, "", nil
}

// order reserves or renews at the engines from an index on, and returns the
// index of one that refused.
func (t *tickets) order(ctx context.Context, from int) (int, error) {
	var group errgroup.Group
	failed := make([]error, len(t.held))
	for i, u := range t.held {
		if i < from {
			continue
		}
		group.Go(func() error {
			failed[i] = t.call.Reservations.Reserve(ctx, u.Upstream, t.names[i], t.share, ticketHold)
			return nil
		})
	}
	// The goroutines return no errors; failed holds them.
	_ = group.Wait()
	for i, err := range failed {
		if err != nil {
			return i, err
		}
	}
	return 0, nil
}

// renew keeps the memory set aside. The helpers' is renewed after the first
// engine's: once that engine is gone nobody uses theirs, and it has to be free
// soon though the broken connection may be noticed later.
func (t *tickets) renew(ctx context.Context) {
	defer t.done.Done()
	for t.call.Timer.Sleep(ctx, renewEvery) {
		at, err := t.renewAll(ctx)
		if err != nil && ctx.Err() == nil {
			t.call.Log.Decided("memory not renewed", t.call.head.RequestID, "Upstream", t.held[at].ID, "Error", err)
		}
	}
}

func (t *tickets) renewAll(ctx context.Context) (int, error) {
	if err := t.call.Reservations.Reserve(ctx, t.held[0].Upstream, t.names[0], t.share, ticketHold); err != nil {
		return 0, err
	}
	return t.order(ctx, 1)
}

// check gives the attempt up where an engine does not use its memory: the
// request hangs, and the memory is wanted by others.
func (t *tickets) check(ctx context.Context, giveUp context.CancelCauseFunc) {
	defer t.done.Done()
	if !t.call.Timer.Sleep(ctx, idleCheck) {
		return
	}
	for i, u := range t.held {
		used, err := t.call.Reservations.InUse(ctx, u.Upstream, t.names[i])
		if ctx.Err() != nil {
			return
		}
		if err != nil || !used {
			t.call.Log.Decided("memory set aside is not used", t.call.head.RequestID, "Upstream", u.ID, "Error", err)
			giveUp(errSilent)
			return
		}
	}
}

// free ends the renewals and frees the memory in the background.
func (t *tickets) free() {
	t.cancel()
	t.done.Wait()
	t.release()
}

func (t *tickets) release() {
	for i, u := range t.held {
		go t.releaseOne(u, t.names[i])
	}
}

func (t *tickets) releaseOne(u directory.Upstream, name string) {
	ctx := context.WithoutCancel(t.call.ctx)
	var err error
	for range releaseTries {
		err = t.call.Reservations.Release(ctx, u.Upstream, name)
		if err == nil || errors.Is(err, snipeford.ErrConflict) {
			return
		}
		t.call.Timer.Sleep(ctx, releasePause)
	}
	t.call.Log.Decided("memory not released", t.call.head.RequestID, "Upstream", u.ID, "Error", err)
}

// helpers returns the engines with their tickets, the first engine included.
func (t *tickets) helpers() []snipeford.Helper {
	var out []snipeford.Helper
	for i, u := range t.held {
		out = append(out, snipeford.Helper{Address: u.Address, ReservationID: t.names[i]})
	}
	return out
}
