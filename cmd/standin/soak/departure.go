package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

// departureTime is how long after the store has acknowledged that a replica leaves requests
// from nodes in touch may reach it.
const departureTime = 2 * time.Second

// registration is what a replica has written to the store.
type registration struct {
	mu sync.Mutex
	// value is the value of its row, or nil if it has none.
	value []byte
	// departed is when the store acknowledged that the replica leaves, or zero.
	departed snipeford.Instant
}

// register writes the replica's row, or removes it if value is nil.
func (f *fleet) register(r startedReplica, value []byte) {
	r.registration.mu.Lock()
	defer r.registration.mu.Unlock()
	r.registration.value = value
	f.store.Put("servers", r.ID, value)
}

// registerDeparture is register for a replica that leaves.
func (f *fleet) registerDeparture(r startedReplica, value []byte) {
	f.register(r, value)
	r.registration.mu.Lock()
	defer r.registration.mu.Unlock()
	if r.registration.departed == 0 {
		r.registration.departed = f.clock.Now()
	}
}

// registerAgain writes the present row of the latest replica with an id again.
func (f *fleet) registerAgain(id string) {
	for _, h := range f.upstreams {
		for _, r := range slices.Backward(h.replicas.all()) {
			if r.ID == id {
				f.register(r, r.registered())
				return
			}
		}
	}
}

func (r startedReplica) registered() []byte {
	r.registration.mu.Lock()
	defer r.registration.mu.Unlock()
	return r.registration.value
}

func (r startedReplica) departed() snipeford.Instant {
	r.registration.mu.Lock()
	defer r.registration.mu.Unlock()
	return r.registration.departed
}

// departures are the ways in which a replica leaves, until it is gone. A seed selects them
// by index.
var departures = []func(context.Context, *fleet, startedReplica, *rand.Rand){departByHeader, departByRow, departByHeader, departByRemoval}

// departByHeader makes a replica say in its responses that it leaves. Its row follows later,
// now and then after a cut of the store.
func departByHeader(ctx context.Context, f *fleet, r startedReplica, rng *rand.Rand) {
	r.Leaving.Store(true)
	if rng.IntN(6) == 0 {
		f.cutStore(ctx, rng, 500, 3000)
	} else {
		sleepRandom(ctx, rng, 500, 3000)
	}
	departByRow(ctx, f, r, rng)
}

func departByRow(ctx context.Context, f *fleet, r startedReplica, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		r.Leaving.Store(true)
	}
	f.registerDeparture(r, standin.DrainingRow(r.row))
	sleepRandom(ctx, rng, 2500, 5000)
	f.register(r, nil)
}

// departByRemoval removes the row of a replica that says nothing.
func departByRemoval(ctx context.Context, f *fleet, r startedReplica, rng *rand.Rand) {
	f.registerDeparture(r, nil)
	sleepRandom(ctx, rng, 2500, 5000)
}

// nextLimitedRequest returns planned requests, of which more run at a time than in other
// runs: their responses tell that their replica leaves.
func (f *fleet) nextLimitedRequest(ctx context.Context, number int) nextRequest {
	planned := f.nextPlannedRequest(ctx, number)
	return func(rng *rand.Rand, id string) request {
		q := planned(rng, id)
		if number%4 > 1 && !standin.IsStream(q.route) {
			q.work.Delay = time.Duration(50+rng.IntN(500)) * time.Millisecond
		}
		return q
	}
}

// leave makes one replica leave, or half of those of its service at once.
func leave(_ context.Context, f *fleet, rng *rand.Rand) {
	h := f.randomUpstream(rng)
	all := slices.DeleteFunc(slices.Clone(f.upstreams), func(other *upstreamHost) bool { return other.service != h.service })
	count := 1
	if rng.IntN(4) == 0 {
		count = (len(all) + 1) / 2
	}
	for _, i := range rng.Perm(len(all))[:count] {
		f.startDeparture(all[i], all, rng.Uint64())
	}
}

// startDeparture makes the replica of a host leave, unless it is the last one of its service
// that stays. Another one starts at its address once it is gone, now and then with its id.
func (f *fleet) startDeparture(h *upstreamHost, all []*upstreamHost, seed uint64) {
	stays := func(h *upstreamHost) bool { return !h.departing.Load() }
	if !stays(h) || len(slices.DeleteFunc(slices.Clone(all), func(h *upstreamHost) bool { return !stays(h) })) < 2 {
		return
	}
	h.departing.Store(true)
	f.restarts.Go(func() {
		rng, r := rand.New(rand.NewPCG(seed, 0)), h.current()
		departures[rng.IntN(len(departures))](f.context, f, r, rng)
		if f.context.Err() != nil {
			return
		}
		if rng.IntN(4) == 0 {
			// A failed start leaves the run without the replica.
			_ = f.startReplica(h, r.ID)
		} else {
			f.replace(h, r.Replica)
		}
		h.departing.Store(false)
	})
}

// leaveAfterReturn makes some replicas leave shortly after the store's return.
func (f *fleet) leaveAfterReturn(rng *rand.Rand) {
	for range rng.IntN(3) {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		f.restarts.Go(func() {
			sleepRandom(f.context, own, 1, 4000)
			leave(f.context, f, own)
		})
	}
}

// histories returns the histories of all nodes.
func (f *fleet) histories() map[*node]*nodeHistory {
	out, now := map[*node]*nodeHistory{}, f.clock.Now()
	for i, n := range f.nodes {
		out[n], _ = n.configurationHistory(callerName(i), f.plan.OldProgram, f.cutsOf(n.storeRelay), now)
	}
	return out
}

// isInTouch reports whether a node was in touch with a sound store in a period.
func (f *fleet) isInTouch(n *nodeHistory, from, until snipeford.Instant) bool {
	return !n.isDisturbed(from, until) && !overlaps(f.storeDisturbances.all(), from.Add(-contactTime), until)
}

// countInTouch counts the requests at nodes in touch, and those of them that were served.
func (f *fleet) countInTouch(r *Report) (sent, served int) {
	histories := f.histories()
	for _, e := range r.exchanges {
		if !f.isInTouch(histories[e.node], e.sent, e.ended) {
			continue
		}
		sent++
		if e.isServed() {
			served++
		}
	}
	r.addRemark("%d requests at nodes in touch, %d served", sent, served)
	return sent, served
}

// lateArrivals returns the requests that reached a replica too long after the store had
// acknowledged that it leaves, from a node in touch.
func (f *fleet) lateArrivals(n *nodeHistory, list []delivery, departed snipeford.Instant, cuts []span) []delivery {
	if departed == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(list), func(d delivery) bool {
		heldUp := overlaps(cuts, d.sent.Add(-contactTime), d.At)
		return d.sent <= departed.Add(departureTime) || heldUp || !f.isInTouch(n, d.sent, d.At)
	})
}

// checkDepartures checks that nodes in touch send nothing to replicas that leave by their
// rows.
func (f *fleet) checkDepartures(r *Report, exchanges map[string]exchange) {
	var late []string
	departed, histories := 0, f.histories()
	for i, n := range f.nodes {
		history := histories[n]
		for _, h := range f.upstreams {
			for _, replica := range h.replicas.all() {
				if i == 0 && replica.departed() > 0 {
					departed++
				}
				for _, d := range f.lateArrivals(history, f.deliveries(replica.Replica, exchanges)[n], replica.departed(), f.cutsOf(h.relayOf(i))) {
					late = append(late, fmt.Sprintf("%s, sent to %s at %.3f s, reached %s, which left at %.3f s", d.id, history.name, d.sent.Seconds(), replica.ID, replica.departed().Seconds()))
				}
			}
		}
	}
	r.addRemark("%d replicas left by their rows, %d late requests", departed, len(late))
	addFindings(r, fmt.Sprintf("request later than %v after the store's acknowledgement that its replica leaves", departureTime), late)
}
