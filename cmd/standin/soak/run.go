package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// injectors is how many faults may overlap.
	injectors = 2
	// warmUp is how long the nodes have to find each other before the faults.
	warmUp = 1500 * time.Millisecond
	// settle is how long after the last request runs are still counted: longer
	// than any request may take.
	settle = 2 * time.Second
	// leastWhole is the share of the requests that must be answered whole: the
	// faults hit one node or replica of several at a time.
	leastWhole = 0.3
)

// Run plays one seed.
func Run(ctx context.Context, p Plan) (*Report, error) {
	f, err := start(p)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	r := &Report{Seed: p.Seed, Faults: map[string]int{}}
	pauseFor(ctx, warmUp)
	faulty, stop := context.WithTimeout(ctx, p.Duration)
	defer stop()
	var group sync.WaitGroup
	for i := range p.Clients {
		group.Go(func() { f.client(faulty, i, r) })
	}
	for i := range injectors {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(10+i)))
		group.Go(func() { f.inject(faulty, rng, r.told) })
	}
	group.Wait()
	pauseFor(ctx, settle)
	f.judge(r)
	return r, nil
}

func (r *Report) told(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults[name]++
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// judge checks what the replicas saw against what callers were promised.
func (f *fleet) judge(r *Report) {
	for _, id := range r.once {
		if n := f.ledger.Count(id); n > 1 {
			r.violate("%s ran %d times, want once at most", id, n)
		}
	}
	for _, id := range r.promised {
		if n := f.ledger.Count(id); n > 0 {
			r.violate("%s was refused as not run, and ran %d times", id, n)
		}
	}
	if n := f.ledger.Count("wrong tenant or key passed on"); n > 0 {
		r.violate("%d requests with a wrong organisation or a key", n)
	}
	if float64(r.Completed) < leastWhole*float64(r.Sent) {
		r.violate("%d of %d requests whole, want %v of them at least", r.Completed, r.Sent, leastWhole)
	}
}
