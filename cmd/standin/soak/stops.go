package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

// Deadlines of clients in a run with planned work.
const (
	plainTimeout  = 1500 * time.Millisecond
	streamTimeout = 10 * time.Second
)

const (
	// stopGrace is how long the platform lets a node run after SIGTERM.
	stopGrace = 8 * time.Second
	// killDelay is how much later than stopGrace the run kills a node.
	killDelay = time.Second
	// unreadTime is how long a node may close a connection as if it had not read the request.
	unreadTime = 200 * time.Millisecond
	// lateRequestTime is how long after SIGTERM requests may be cut by the end of the stop.
	lateRequestTime = 3 * time.Second
	// timeoutSlack is how much earlier than the client's deadline a node may give up.
	timeoutSlack = 100 * time.Millisecond
	// lastPart is when responses that still run may be cut.
	lastPart = stopGrace - stopGrace/6
)

// nextPlannedRequest returns requests for a run with planned work. One client in four
// sends requests that run longer than stopGrace, so that stopping nodes have active
// requests to the end.
func (f *fleet) nextPlannedRequest(_ context.Context, number int) nextRequest {
	return func(rng *rand.Rand, id string) request {
		q := newRequest(rng, id, number, "safe", "unsafe", "unsafe", "once", "stream")
		switch {
		case number%4 == 0:
			q.timeout = streamTimeout
			q.work = standin.Work{Delay: 9 * time.Second}
			if standin.IsStream(q.route) {
				q.work = standin.Work{Events: 60, Interval: 150 * time.Millisecond}
			}
		case number%4 == 1 && !standin.IsStream(q.route):
			q.work.Delay = time.Duration(20+rng.IntN(1000)) * time.Millisecond
		case !standin.IsStream(q.route):
			q.work.Delay = time.Duration(5+rng.IntN(50)) * time.Millisecond
		}
		return q
	}
}

// stop sends SIGTERM to a node and starts it again after its exit. Like the platform,
// it kills a node that does not exit in time.
func (f *fleet) stop(ctx context.Context, n *node) {
	exited := n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-ctx.Done():
		return
	case <-time.After(stopGrace + killDelay):
		<-n.signal(syscall.SIGKILL)
	}
	n.restart()
}

func stopOne(ctx context.Context, f *fleet, rng *rand.Rand) { f.stop(ctx, f.randomNode(rng)) }

func stopSeries(ctx context.Context, f *fleet, rng *rand.Rand) {
	var group sync.WaitGroup
	for _, i := range rng.Perm(len(f.nodes))[:min(2+rng.IntN(2), len(f.nodes))] {
		group.Go(func() { f.stop(ctx, f.nodes[i]) })
		sleepRandom(ctx, rng, 50, 2500)
	}
	group.Wait()
}

func hangUp(ctx context.Context, f *fleet, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		f.randomNode(rng).signal(syscall.SIGHUP)
		sleepRandom(ctx, rng, 5, 300)
	}
}

// configure writes new versions, which add and remove a route that clients do not use.
func configure(ctx context.Context, f *fleet, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		if f.operator != nil {
			f.operator.change(rng)
			sleepRandom(ctx, rng, 20, 500)
			continue
		}
		configuration, err := standin.Configuration(int(f.configurationVersion.Add(1)), host)
		if err == nil {
			f.store.Put("op", "config", configuration)
		}
		sleepRandom(ctx, rng, 20, 500)
	}
}

// checkCuts checks that planned work cut no request that a node had read.
func (f *fleet) checkCuts(r *Report) {
	for _, e := range r.exchanges {
		record := f.requestLog.Get(e.id)
		var stops []snipeford.Instant
		for _, d := range e.node.disturbed.all() {
			if d.signal == syscall.SIGTERM {
				stops = append(stops, d.at)
			}
		}
		if isCut(e, record, stops) {
			r.addViolation("%s", describeCut(e, record, stops))
		}
	}
}

// isCut reports whether a request that the node had read whole ended without a
// complete response, for no reason that excuses it. stops are the times at which the
// node got SIGTERM.
func isCut(e exchange, record standin.Record, stops []snipeford.Instant) bool {
	lasted := e.ended.Sub(e.sent)
	switch {
	case e.complete, record.BrokenOff, lasted >= e.timeout-timeoutSlack:
		return false
	case len(record.Arrivals) == 0 && e.status == 0 && lasted <= unreadTime:
		return false
	}
	for _, stop := range stops {
		if e.sent <= stop.Add(lateRequestTime) && e.ended >= stop.Add(lastPart) && !record.Ended(stop.Add(lastPart)) {
			return false
		}
	}
	return true
}

func describeCut(e exchange, record standin.Record, stops []snipeford.Instant) string {
	text := fmt.Sprintf("%s (%s): no complete response, status %d; connection ended %v after the request, which reached %d replicas",
		e.id, e.route, e.status, e.ended.Sub(e.sent).Round(time.Millisecond), len(record.Arrivals))
	for _, stop := range stops {
		if since := e.ended.Sub(stop); since >= 0 && since < stopGrace+killDelay {
			text += fmt.Sprintf(", %v after SIGTERM", since.Round(time.Millisecond))
		}
	}
	return text
}
