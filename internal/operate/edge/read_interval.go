package edge

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"snipeford"
	"snipeford/internal/operate/settings"
)

const (
	// changeIntervalFraction is the part of the leave bound after which the changes of
	// upstreams are read again. They are constant with many upstreams, so that a watch
	// returns at once. The rest of the bound is for the way to the nodes behind a feeder.
	changeIntervalFraction = 0.35
	// upstreamGapFraction is the part of the leave bound within which a response for the
	// rows of upstreams arrives, if the store responds.
	upstreamGapFraction = 0.5
	// takeoverFraction is the part of the time from the longest usual staleness of a feeder
	// to the one at which its rows are no longer used after which a standby feeder reads the
	// store. The rest is the time to pass its rows on to nodes that would read it then.
	takeoverFraction = 0.33
	// maxBackoffWithFeeder limits the delay after repeated failures behind a feeder that
	// responds. The feeders and standby feeders of the domain call the store more often,
	// and pass on what they read.
	maxBackoffWithFeeder = 8 * time.Second
	// backoffJitter is the part of that delay that is random, so that the calls of nodes
	// that failed together are spread.
	backoffJitter = 0.25
	// firstFeedTime is how long a node waits at its start, after the first snapshot of the
	// operators' rows, for a feeder to confirm them before it watches the store itself. The
	// connection, the rows and two pings take about 0.3 s.
	firstFeedTime = 500 * time.Millisecond
)

// takeoverStaleness returns the staleness of a feeder's rows from which on a standby feeder
// reads the store.
func takeoverStaleness(configurationBound time.Duration) time.Duration {
	usual, limit := operatorWatchTimeout(configurationBound), maxFeedStaleness(configurationBound)
	return usual + time.Duration(takeoverFraction*float64(limit-usual))
}

// upstreamPace is how often the rows of upstreams are read. The zero value means
// minChangeInterval, and rows whose age is not stated to the nodes behind a feeder.
type upstreamPace struct {
	// interval is the minimum time between two calls that return changes.
	interval time.Duration
	// gap is the maximum time from the instant up to which a response was complete to the
	// next response.
	gap time.Duration
	// usualAge is the longest usual staleness of the operators' rows. Rows of upstreams of
	// the age gap count as just as stale.
	usualAge time.Duration
}

// newUpstreamPace returns the pace for operators' bounds. A leave bound of zero means the
// default.
func newUpstreamPace(leaveBound, configurationBound time.Duration) upstreamPace {
	leaveBound = cmp.Or(leaveBound, settings.DefaultLeaveBound)
	return upstreamPace{
		interval: time.Duration(changeIntervalFraction * float64(leaveBound)),
		gap:      time.Duration(upstreamGapFraction * float64(leaveBound)),
		usualAge: operatorWatchTimeout(configurationBound),
	}
}

// changeInterval returns the minimum time between two calls that return changes.
func (p upstreamPace) changeInterval() time.Duration {
	if p.interval == 0 {
		return minChangeInterval
	}
	return p.interval
}

// watchTime returns how long a call may wait for changes, when the latest response was
// complete until an instant.
func (p upstreamPace) watchTime(now, completeUntil snipeford.Instant) time.Duration {
	return min(p.gap, max(0, p.gap-now.Sub(completeUntil)))
}

// confirmUpstreams records that the rows of upstreams that were read from the store are
// complete until an instant.
func (f *follower) confirmUpstreams(completeUntil snipeford.Instant) {
	f.raiseUpstreamsConfirmed(completeUntil.Add(f.pace.gap - f.pace.usualAge))
}

// raiseUpstreamsConfirmed raises upstreamsConfirmed. It never lowers it.
func (f *follower) raiseUpstreamsConfirmed(at snipeford.Instant) {
	for {
		old := f.upstreamsConfirmed.Load()
		if old >= int64(at) || f.upstreamsConfirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// upstreamStaleness returns the staleness of the rows of upstreams, on the scale of that of
// the operators' rows, or zero if it is not known.
func (f *follower) upstreamStaleness(now snipeford.Instant) time.Duration {
	at := snipeford.Instant(f.upstreamsConfirmed.Load())
	if f.pace.gap == 0 || at == 0 {
		return 0
	}
	return now.Sub(at)
}

// waitOut waits after a failed call. It ends early if a feeder has sent fresh rows, and if
// no feeder responds any more, so that only the backoff without a feeder applies.
func (f *follower) waitOut(ctx context.Context, w *watchState) {
	if f.feederHealthy == nil || !f.feederHealthy() {
		f.timer.Sleep(ctx, w.backoff)
		return
	}
	until := f.timer.Now().Add(f.fedBackoff(w))
	for ctx.Err() == nil && f.timer.Now() < until && f.feederHealthy() && !f.isFed() {
		f.timer.Sleep(ctx, min(feederCheckInterval, until.Sub(f.timer.Now())))
	}
}

// fedBackoff returns the delay after a failed call while a feeder responds.
func (f *follower) fedBackoff(w *watchState) time.Duration {
	w.fedFailures++
	if w.fedFailures == 1 || f.isStandby != nil && f.isStandby() {
		return minBackoffWithFeeder
	}
	return maxBackoffWithFeeder - rand.N(time.Duration(backoffJitter*float64(maxBackoffWithFeeder)))
}

func (f *follower) isFed() bool { return f.hasFreshRows != nil && f.hasFreshRows() }

// awaitFirstFeed waits after the first snapshot of the operators' rows until a feeder sends
// fresh rows, if the node gets its rows from one.
func (f *follower) awaitFirstFeed(ctx context.Context) {
	if f.followedFeeders == nil {
		return
	}
	// The rows of the nodes, which tell whether there is a feeder, are read meanwhile.
	for begin := f.timer.Now(); ctx.Err() == nil && f.timer.Now().Sub(begin) < firstFeedTime; {
		f.timer.Sleep(ctx, feederCheckInterval)
		if f.isFed() || f.followedFeeders() == 0 {
			return
		}
	}
}

// outcome returns the outcome of a call to the store, as metric.Rows counts it.
func outcome(err error) string {
	switch {
	case err == nil:
		return "Answered"
	case errors.Is(err, snipeford.ErrHistoryGone):
		return "HistoryGone"
	case errors.Is(err, snipeford.ErrWatchInterrupted):
		return "Interrupted"
	}
	return "Failed"
}
