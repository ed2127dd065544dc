package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"snipeford/internal/emulate/relay"
)

// fault is one kind of fault. It returns once it is over.
type fault struct {
	name string
	play func(ctx context.Context, f *fleet, rng *rand.Rand)
}

// faults lists all kinds.
var faults = []fault{
	{"kill", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.pick(rng)
		<-n.signal(syscall.SIGKILL)
		pause(ctx, rng, 100, 900)
		restart(f, n)
	}},
	{"kill twice", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.pick(rng)
		for range 2 {
			<-n.signal(syscall.SIGKILL)
			restart(f, n)
			pause(ctx, rng, 20, 300)
		}
	}},
	{"freeze", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.pick(rng)
		n.signal(syscall.SIGSTOP)
		pause(ctx, rng, 200, 2500)
		n.signal(syscall.SIGCONT)
	}},
	{"stop", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.pick(rng)
		<-n.signal(syscall.SIGTERM)
		restart(f, n)
	}},
	{"store cut", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		n := f.pick(rng)
		n.store.Disconnect()
		pause(ctx, rng, 300, 5000)
		n.store.Restore()
	}},
	{"store down", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		for _, n := range f.nodes {
			n.store.Disconnect()
		}
		pause(ctx, rng, 300, 3000)
		for _, n := range f.nodes {
			n.store.Restore()
		}
	}},
	{"replica down", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		r := f.replicas[rng.IntN(len(f.replicas))]
		r.Down.Store(true)
		pause(ctx, rng, 100, 800)
		f.store.Put("servers", r.ID, nil)
		pause(ctx, rng, 200, 1200)
		r.Down.Store(false)
		f.store.Put("servers", r.ID, f.rows[r.ID])
	}},
	{"store silent", hinder(storeWay, func(w *relay.Relay, _ *rand.Rand) { w.Stall(relay.ToTarget, relay.FromTarget) })},
	{"store cut one way", hinder(storeWay, func(w *relay.Relay, _ *rand.Rand) { w.Stall(relay.FromTarget) })},
	{"store slow", hinder(storeWay, delayed)},
	{"replica silent", hinder(replicaWay, func(w *relay.Relay, _ *rand.Rand) { w.Stall(relay.ToTarget, relay.FromTarget) })},
	{"replica cut one way", hinder(replicaWay, func(w *relay.Relay, _ *rand.Rand) { w.Stall(relay.FromTarget) })},
	{"replica slow", hinder(replicaWay, delayed)},
	{"replica resets", hinder(replicaWay, func(w *relay.Relay, _ *rand.Rand) { w.Reset() })},
	{"zone out", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		key := "evacuate/" + zone(rng.IntN(3))
		f.store.Put("op", key, []byte("{}"))
		pause(ctx, rng, 300, 2000)
		f.store.Put("op", key, nil)
	}},
}

// hinder plays a fault of connections through a relay for some seconds.
func hinder(way func(*fleet, *rand.Rand) *relay.Relay, trouble func(*relay.Relay, *rand.Rand)) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, rng *rand.Rand) {
		w := way(f, rng)
		trouble(w, rng)
		pause(ctx, rng, 200, 4000)
		w.Restore()
	}
}

func storeWay(f *fleet, rng *rand.Rand) *relay.Relay { return f.pick(rng).store }

func replicaWay(f *fleet, rng *rand.Rand) *relay.Relay { return f.ways[rng.IntN(len(f.ways))] }

// delayed makes bytes late by up to longestDelay milliseconds.
func delayed(w *relay.Relay, rng *rand.Rand) {
	w.Delay(time.Duration(10+rng.IntN(longestDelay)) * time.Millisecond)
}

// longestDelay is beyond the time-outs of orders, in milliseconds.
const longestDelay = 700

// pick returns any node.
func (f *fleet) pick(rng *rand.Rand) *node { return f.nodes[rng.IntN(len(f.nodes))] }

// restart starts the node's process again. Where it can't be started the run
// goes on without it, and callers see that.
func restart(f *fleet, n *node) { _ = n.start(f.plan.Program) }

func pause(ctx context.Context, rng *rand.Rand, least, most int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(least+rng.IntN(most-least)) * time.Millisecond):
	}
}

// inject plays faults one after the other, with short pauses, until ctx ends.
// Two of these at once let faults overlap.
func (f *fleet) inject(ctx context.Context, rng *rand.Rand, told func(string)) {
	for ctx.Err() == nil {
		one := faults[rng.IntN(len(faults))]
		told(one.name)
		one.play(ctx, f, rng)
		pause(ctx, rng, 50, 700)
	}
}
