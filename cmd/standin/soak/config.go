package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"snipeford/platform/standin"
)

const (
	firstEra = 1
	// recentVersions is the number of versions from which removed routes and keys are taken.
	recentVersions = 20
	// timedWork and timedDeadline exceed all time-outs of timedRoute.
	timedWork     = 4 * time.Second
	timedDeadline = 6 * time.Second
	// probeIntervalPerNode and pollIntervalPerNode are the pauses between requests to one
	// node, for each node of the run, so that their total rate does not depend on it.
	probeIntervalPerNode = 6 * time.Millisecond
	pollIntervalPerNode  = 1500 * time.Microsecond
	minProbeInterval     = 80 * time.Millisecond
	minPollInterval      = 15 * time.Millisecond
	// pollTimeout bounds a poll whose replica hangs.
	pollTimeout = 400 * time.Millisecond
	// latePollFactor is multiplied by the pause if a version has been awaited for long.
	latePollFactor = 5
)

// nextConfigured returns requests on routes, and with keys, of the latest version. One
// client in four sends requests that outlast their route's time-out.
func (f *fleet) nextConfigured(ctx context.Context, number int) nextRequest {
	return func(rng *rand.Rand, id string) request {
		sleepRandom(ctx, rng, 10, 120)
		if number%4 == 3 {
			return request{id: id, route: timedRoute, timeout: timedDeadline, work: standin.Work{Delay: timedWork}, probe: true}
		}
		v := f.operator.latest()
		q := newRequest(rng, id, number, "safe", "unsafe", "other", "moved", "once", "stream")
		if rng.IntN(2) == 0 {
			q = q.on(addedRoute(v, rng))
		}
		if rng.IntN(4) == 0 {
			q.key = v.keyNames[rng.IntN(len(v.keyNames))]
		}
		return q
	}
}

// addedRoute returns a route that the first version lacks, mostly the one of a version.
func addedRoute(v *version, rng *rand.Rand) string {
	var name string
	for i := 0; i <= recentVersions && !isMarker(name); i++ {
		name = v.routeNames[rng.IntN(len(v.routeNames))]
	}
	if name == timedRoute {
		return "safe"
	}
	return name
}

// probeConfigurations asks each node directly, until ctx ends.
func (f *fleet) probeConfigurations(ctx context.Context, r *Report) {
	var group sync.WaitGroup
	for i, n := range f.nodes {
		group.Go(func() { f.probeNode(ctx, i, n, r) })
		group.Go(func() { f.pollVersions(ctx, i, n, r) })
	}
	group.Wait()
}

func (f *fleet) newProber(n *node, r *Report, stream int) *caller {
	return &caller{fleet: f, report: r, rng: f.random(stream), fixed: n}
}

// probeNode asks a node for routes and keys that were just added or removed, or never
// existed, on kept connections and new ones.
func (f *fleet) probeNode(ctx context.Context, i int, n *node, r *Report) {
	c := f.newProber(n, r, 10_000+i)
	defer c.disconnect()
	interval := max(minProbeInterval, probeIntervalPerNode*time.Duration(len(f.nodes)))
	for k := 0; ctx.Err() == nil; k++ {
		if c.rng.IntN(3) == 0 {
			c.disconnect()
		}
		q := request{id: fmt.Sprintf("s%d-p%d-%d", f.plan.Seed, i, k), timeout: plainTimeout, probe: true}
		q.route, q.key = f.operator.nextProbe(c.rng)
		c.send(ctx, q)
		sleep(ctx, interval)
	}
}

func (o *operator) nextProbe(rng *rand.Rand) (route, key string) {
	versions := o.versions.all()
	latest := versions[len(versions)-1]
	recent := versions[max(0, len(versions)-recentVersions):]
	older := recent[rng.IntN(len(recent))]
	route, key = []string{"safe", "moved", "other"}[rng.IntN(3)], firstKey
	switch rng.IntN(9) {
	case 0, 1:
		route = latest.routeNames[len(latest.routeNames)-1]
	case 2, 3:
		route = removed(older.routeNames, func(name string) bool { _, found := latest.routes[name]; return found }, rng)
	case 4:
		route = neverRoute
	case 5:
		key = neverKey
	case 6:
		key = latest.keyNames[len(latest.keyNames)-1]
	case 7:
		key = removed(older.keyNames, func(name string) bool { return latest.keys[name] }, rng)
	}
	return route, key
}

// removed returns a random name, one that is no longer there if possible.
func removed(names []string, isThere func(string) bool, rng *rand.Rand) string {
	gone := slices.DeleteFunc(slices.Clone(names), isThere)
	if len(gone) == 0 {
		return names[rng.IntN(len(names))]
	}
	return gone[rng.IntN(len(gone))]
}

// pollVersions asks a node for the route of each version until the node has it.
func (f *fleet) pollVersions(ctx context.Context, i int, n *node, r *Report) {
	c := f.newProber(n, r, 20_000+i)
	defer c.disconnect()
	seen, since := 0, f.clock.Now()
	for k := 0; ctx.Err() == nil; k++ {
		next, name := f.operator.markerAfter(seen)
		if name == "" {
			since = f.clock.Now()
		} else if c.send(ctx, request{id: fmt.Sprintf("s%d-v%d-%d", f.plan.Seed, i, k), route: name, timeout: pollTimeout, probe: true, poll: true}); c.last.isServed() {
			seen, since = next, f.clock.Now()
			continue
		}
		sleep(ctx, f.pollInterval(f.clock.Now().Sub(since)))
	}
}

// pollInterval returns the pause between two polls of a node, which grows when a version
// has been awaited for longer than it may take.
func (f *fleet) pollInterval(awaited time.Duration) time.Duration {
	interval := max(minPollInterval, pollIntervalPerNode*time.Duration(len(f.nodes)))
	if awaited > configurationTime+contactTime {
		return latePollFactor * interval
	}
	return interval
}

// markerAfter returns the oldest version after an index whose own route is still there.
func (o *operator) markerAfter(index int) (int, string) {
	versions := o.versions.all()
	latest := versions[len(versions)-1]
	for i := max(index+1, len(versions)-markerCount); i < len(versions); i++ {
		name := markerName(versions[i].number)
		if route, found := latest.routes[name]; found && !route.uncertain {
			return i, name
		}
	}
	return 0, ""
}
