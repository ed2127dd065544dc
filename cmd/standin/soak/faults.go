package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"snipeford/internal/emulate/relay"
	"snipeford/platform/standin"
)

// fault is one kind of fault. Its inject function returns when the fault is over.
type fault struct {
	name   string
	inject func(ctx context.Context, f *fleet, rng *rand.Rand)
}

// faults lists all kinds of faults. A seed selects them by index, so their order
// matters.
var faults = []fault{
	{"kill", killOne},
	{"kill twice", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.randomNode(rng)
		for range 2 {
			<-n.signal(syscall.SIGKILL)
			n.restart()
			sleepRandom(ctx, rng, 20, 300)
		}
	}},
	{"freeze", freezeOne(2500)},
	{"stop", stopOne},
	{"store cut", relayFault(randomStoreRelay, disconnect, 300, 5000)},
	{"store down", func(ctx context.Context, f *fleet, rng *rand.Rand) { f.cutStore(ctx, rng, 300, 3000) }},
	{"replica down", takeDown},
	{"store silent", relayFault(randomStoreRelay, stall, 200, 4000)},
	{"store cut one way", relayFault(randomStoreRelay, stallOneWay, 200, 4000)},
	{"store slow", relayFault(randomStoreRelay, delayRelay, 200, 4000)},
	{"replica silent", relayFault(randomReplicaRelay, stall, 200, 4000)},
	{"replica cut one way", relayFault(randomReplicaRelay, stallOneWay, 200, 4000)},
	{"replica slow", relayFault(randomReplicaRelay, delayRelay, 200, 4000)},
	{"replica resets", relayFault(randomReplicaRelay, reset, 200, 4000)},
	{"zone out", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		key := "evacuate/" + failureDomain(rng.IntN(3))
		f.domainsOut.Store(key, []byte("{}"))
		f.store.Put("op", key, []byte("{}"))
		sleepRandom(ctx, rng, 300, 2000)
		f.domainsOut.Delete(key)
		f.store.Put("op", key, nil)
	}},
	{"stop series", stopSeries},
	{"hang up", hangUp},
	{"configuration", configure},
}

// plannedFaults are the kinds of planned work. A seed selects them by index, too.
var plannedFaults = []fault{{"stop", stopOne}, {"stop series", stopSeries}, {"hang up", hangUp}, {"configuration", configure}}

// poisonFaults are the kinds of planned work beside a bad prompt part.
var poisonFaults = []fault{{"stop", stopOne}, {"hang up", hangUp}, {"configuration", configure}}

func killOne(ctx context.Context, f *fleet, rng *rand.Rand) {
	n := f.randomNode(rng)
	<-n.signal(syscall.SIGKILL)
	sleepRandom(ctx, rng, 100, 900)
	n.restart()
}

// freezeOne returns a fault that freezes a node for up to a time.
func freezeOne(maxMilliseconds int) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.randomNode(rng)
		n.signal(syscall.SIGSTOP)
		sleepRandom(ctx, rng, 200, maxMilliseconds)
		n.signal(syscall.SIGCONT)
	}
}

// relayFault returns a fault that disturbs the connections through relays for a time.
func relayFault(choose func(*fleet, *rand.Rand) []*relay.Relay, apply func(*relay.Relay, *rand.Rand), minMilliseconds, maxMilliseconds int) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		relays, from := choose(f, rng), f.clock.Now()
		for _, r := range relays {
			apply(r, rng)
		}
		sleepRandom(ctx, rng, minMilliseconds, maxMilliseconds)
		for _, r := range relays {
			r.Restore()
			f.relayCuts.add(relayCut{r, span{from, f.clock.Now()}})
		}
	}
}

func disconnect(r *relay.Relay, _ *rand.Rand)  { r.Disconnect() }
func stall(r *relay.Relay, _ *rand.Rand)       { r.Stall(relay.ToTarget, relay.FromTarget) }
func stallOneWay(r *relay.Relay, _ *rand.Rand) { r.Stall(relay.FromTarget) }
func reset(r *relay.Relay, _ *rand.Rand)       { r.Reset() }

// disturb disturbs the connections in a random way.
func disturb(r *relay.Relay, rng *rand.Rand) {
	ways := []func(*relay.Relay, *rand.Rand){disconnect, stallOneWay, stall, delayRelay, reset}
	ways[rng.IntN(len(ways))](r, rng)
}

// relayCut is a period in which the connections through a relay were disturbed.
type relayCut struct {
	relay *relay.Relay
	span
}

// cutsOf returns the periods in which a relay was disturbed.
func (f *fleet) cutsOf(r *relay.Relay) []span {
	var out []span
	for _, c := range f.relayCuts.all() {
		if c.relay == r {
			out = append(out, c.span)
		}
	}
	return out
}

func randomStoreRelay(f *fleet, rng *rand.Rand) []*relay.Relay {
	return []*relay.Relay{f.randomNode(rng).storeRelay}
}

func randomReplicaRelay(f *fleet, rng *rand.Rand) []*relay.Relay {
	return f.randomUpstream(rng).relays()
}

// cutStore cuts all nodes off from the store for a while.
func (f *fleet) cutStore(ctx context.Context, rng *rand.Rand, minMilliseconds, maxMilliseconds int) {
	from := f.clock.Now()
	for _, n := range f.nodes {
		n.storeRelay.Disconnect()
	}
	sleepRandom(ctx, rng, minMilliseconds, maxMilliseconds)
	for _, n := range f.nodes {
		n.storeRelay.Restore()
		f.relayCuts.add(relayCut{n.storeRelay, span{from, f.clock.Now()}})
	}
}

// delayRelay delays all bytes by a random time, up to about maxDelayMilliseconds.
func delayRelay(r *relay.Relay, rng *rand.Rand) {
	r.Delay(time.Duration(10+rng.IntN(maxDelayMilliseconds)) * time.Millisecond)
}

// maxDelayMilliseconds exceeds the 500 ms timeout of a node's calls to /api/order
// of a replica, so that a long delay makes these calls fail.
const maxDelayMilliseconds = 700

func (f *fleet) randomNode(rng *rand.Rand) *node { return f.nodes[rng.IntN(len(f.nodes))] }

// restart starts the node's process again. If the start fails, the run continues
// without the node, and the requests that clients send to it fail.
func (n *node) restart() { _ = n.start() }

func sleepRandom(ctx context.Context, rng *rand.Rand, minMilliseconds, maxMilliseconds int) {
	sleep(ctx, time.Duration(minMilliseconds+rng.IntN(maxMilliseconds-minMilliseconds))*time.Millisecond)
}

// faultSeries is a list of faults that are injected one after the other, with pauses in
// milliseconds. A seed has one of the longest pauses.
type faultSeries struct {
	kinds     []fault
	minPause  int
	maxPauses []int
}

// overlapping returns a number of series of the same faults, with short pauses.
func overlapping(count int, kinds []fault) []faultSeries {
	return slices.Repeat([]faultSeries{{kinds, 50, []int{700}}}, count)
}

func (f *fleet) injectSeries(ctx context.Context, s faultSeries, rng *rand.Rand, r *Report) {
	maxPause := s.maxPauses[f.plan.Seed%uint64(len(s.maxPauses))]
	for ctx.Err() == nil {
		chosen := s.kinds[rng.IntN(len(s.kinds))]
		r.update(func() { r.Faults[chosen.name]++ })
		chosen.inject(ctx, f, rng)
		sleepRandom(ctx, rng, s.minPause, maxPause)
	}
}

// maxCopyAgeMilliseconds is the maximum age of the copy from which the store comes back.
const maxCopyAgeMilliseconds = 6000

func (f *fleet) disturbStore(disturb func()) {
	from := f.clock.Now()
	disturb()
	f.storeDisturbances.add(span{from, f.clock.Now()})
}

// storeOutage fails the calls of a caller, or of all with "", which holds up the operator.
func (f *fleet) storeOutage(ctx context.Context, rng *rand.Rand, caller string, minMilliseconds, maxMilliseconds int) {
	outage := standin.Outage(1 + rng.IntN(standin.OutageKinds))
	if caller == "" && (outage == standin.ResetConnections || outage == standin.SilentCalls) {
		f.operator.mu.Lock()
		defer f.operator.mu.Unlock()
	}
	f.disturbStore(func() {
		f.store.SetDelay(caller, time.Duration(100+rng.IntN(1500))*time.Millisecond)
		f.store.SetOutage(caller, outage)
		sleepRandom(ctx, rng, minMilliseconds, maxMilliseconds)
		f.store.SetOutage(caller, standin.NoOutage)
	})
}

func callerName(i int) string { return fmt.Sprintf("n%d", i) }

func refuseSome(ctx context.Context, f *fleet, rng *rand.Rand) {
	var group sync.WaitGroup
	for _, i := range rng.Perm(len(f.nodes))[:1+rng.IntN((len(f.nodes)+1)/2)] {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		group.Go(func() { f.storeOutage(ctx, own, callerName(i), 200, 3000) })
	}
	group.Wait()
}

// goBack takes the store away for a moment and lets it come back from a copy that is some
// seconds old. The operator and the replicas write their rows again.
func goBack(ctx context.Context, f *fleet, rng *rand.Rand) {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	var lost []standin.Row
	f.disturbStore(func() {
		f.store.SetOutage("", []standin.Outage{standin.ResetConnections, standin.SilentCalls, standin.Busy503}[rng.IntN(3)])
		sleepRandom(ctx, rng, 300, 1500)
		lost = f.store.GoBack(time.Duration(200+rng.IntN(maxCopyAgeMilliseconds-200)) * time.Millisecond)
		if rng.IntN(3) == 0 {
			f.store.ResetClock(time.Duration(rng.IntN(100_000)) * time.Millisecond)
		}
		f.store.SetOutage("", standin.NoOutage)
	})
	returned := f.clock.Now()
	if f.plan.Variant == Limit {
		f.leaveAfterReturn(rng)
	}
	f.rewrite(ctx, rng, lost)
	f.storeReturns.add(span{returned, f.clock.Now()})
	if rng.IntN(2) == 0 {
		// A change now, and no further one for a while, shows nodes that miss it.
		sleepRandom(ctx, rng, 1, 1000)
		f.operator.changeLocked(rng)
		sleepRandom(ctx, rng, 1000, 8000)
	}
}

// rewrite writes the rows of the operator and of the replicas again, each after a while.
func (f *fleet) rewrite(ctx context.Context, rng *rand.Rand, lost []standin.Row) {
	var group sync.WaitGroup
	for _, row := range lost {
		if row.Table != "op" && row.Table != "servers" {
			continue
		}
		own := rand.New(rand.NewPCG(rng.Uint64(), row.SchemaVersion))
		group.Go(func() {
			sleepRandom(ctx, own, 200, 2000)
			switch {
			case row.Table == "servers":
				f.registerAgain(row.Key)
			case row.Key == "config":
				f.store.Put(row.Table, row.Key, f.operator.latest().body)
			default:
				out, _ := f.domainsOut.Load(row.Key)
				value, _ := out.([]byte)
				f.store.Put(row.Table, row.Key, value)
			}
		})
	}
	group.Wait()
}

// returnFaults are the returns of the store from a copy. A seed selects them by index.
var returnFaults = []fault{
	{"store back from copy", goBack},
	{"store back from copy", goBack},
	{"store back twice", goBackTwice},
	{"store outage", func(ctx context.Context, f *fleet, rng *rand.Rand) { f.storeOutage(ctx, rng, "", 300, 3000) }},
}

func goBackTwice(ctx context.Context, f *fleet, rng *rand.Rand) {
	for range 2 {
		goBack(ctx, f, rng)
		sleepRandom(ctx, rng, 20, 1000)
	}
}

// storeFaults are the faults of the store. A seed selects them by index.
var storeFaults = []fault{
	{"store back from copy", goBack},
	{"store forgets", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		for range 1 + rng.IntN(4) {
			f.store.Forget(time.Duration(rng.IntN(1000)) * time.Millisecond)
			sleepRandom(ctx, rng, 10, 800)
		}
	}},
	{"store outage", func(ctx context.Context, f *fleet, rng *rand.Rand) { f.storeOutage(ctx, rng, "", 300, 3000) }},
	{"store refuses some", refuseSome},
	{"store back from copy", goBack},
	{"store back twice", goBackTwice},
	{"quiet", func(ctx context.Context, _ *fleet, rng *rand.Rand) { sleepRandom(ctx, rng, 3000, 8000) }},
}

// release stops some nodes, one after the other, and starts another build of the program.
func release(ctx context.Context, f *fleet, rng *rand.Rand) {
	program := f.plan.Program
	if rng.IntN(4) == 0 && f.plan.OldProgram != "" {
		program = f.plan.OldProgram
	}
	for _, i := range rng.Perm(len(f.nodes))[:min(1+rng.IntN(4), len(f.nodes))] {
		if ctx.Err() != nil {
			return
		}
		f.nodes[i].setProgram(program)
		f.stop(ctx, f.nodes[i])
		sleepRandom(ctx, rng, 50, 500)
	}
}

// processFaults are the faults of processes and their links. A seed selects them by index.
var processFaults = []fault{
	{"kill", killOne},
	{"freeze", freezeOne(2500)},
	{"stop", stopOne},
	{"store link", relayFault(randomStoreRelay, disturb, 200, 4000)},
	{"hang up", hangUp},
	{"release", release},
	{"store link", relayFault(randomStoreRelay, disturb, 200, 4000)},
}

// configurationSeries are the series of faults of variant Config. The operator's pauses
// depend on the seed.
var configurationSeries = []faultSeries{{operatorFaults, 100, []int{1200, 3000, 8000}}, {storeFaults, 1000, []int{6000}}, {processFaults, 200, []int{2500}}}
