package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
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
		n.store.Cut()
		pause(ctx, rng, 300, 5000)
		n.store.Mend()
	}},
	{"store down", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		for _, n := range f.nodes {
			n.store.Cut()
		}
		pause(ctx, rng, 300, 3000)
		for _, n := range f.nodes {
			n.store.Mend()
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
	{"zone out", func(ctx context.Context, f *fleet, rng *rand.Rand) {
		key := "evacuate/" + zone(rng.IntN(3))
		f.store.Put("op", key, []byte("{}"))
		pause(ctx, rng, 300, 2000)
		f.store.Put("op", key, nil)
	}},
}

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
