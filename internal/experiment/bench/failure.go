package bench

import (
	"fmt"
	"time"

	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/virtual"
)

const (
	failLength = 100 * time.Second
	failAt     = 40 * time.Second
	failEvery  = 2 * time.Second
)

// Failure measures retries while a third of the engines fails again and again.
func Failure(r *Report, d Deployment, seed uint64) {
	requests := arrival.Generate(d.mix(seed, changeLoad, failLength))
	f := virtual.New(d.setup(chosen, requests))
	for i, u := range f.Upstreams() {
		if i%3 != 0 {
			continue
		}
		for at := failAt; at < failLength; at += failEvery {
			f.At(at, func() { f.Stop(u.ID) })
			f.At(at+failEvery/2, func() { f.Start(u.ID) })
		}
	}
	outcomes := f.Run(failLength + deadline)
	offered, retried := f.State().RetryCounts()
	share := float64(retried) / float64(offered)
	b := collect(outcomes, 0, failLength, nil)
	r.Title("%s, %.0f%% load, every third engine fails each %s from %s on, seed %d", d.Name, changeLoad*100, failEvery, failAt, seed)
	timeSlices(r, outcomes, failLength)
	fmt.Fprintf(r.Out, "\nretries %d of %d offered (%.3f); not served after a failure %d\n", retried, offered, share, b.Lost)
	r.Add(share, d.Name, "Failure.RetryShare")
	r.Add(float64(f.UsedMemory()), d.Name, "Failure.HeldTokensAfter")
}

// Prefixes measures what prefix affinity brings, with cache events in time,
// late, with gaps, and none at all.
func Prefixes(r *Report, d Deployment, length time.Duration, seed uint64) {
	mix := d.mix(seed, 0.80, length)
	mix.SharedPrefixShare, mix.SharedPrefixCount = 0.7, 40
	requests := arrival.Generate(mix)
	r.Title("%s, 80%% load, 70%% of the requests share one of 40 prefixes, seed %d", d.Name, seed)
	r.Head("cache events", "hit ratio", "4-32k p50/p95 ms", "slowdown 1-4k p99", "busiest engine's part of the hottest prefix")
	for _, c := range []struct {
		name     string
		lag      time.Duration
		gap      int
		noPrefix bool
	}{
		{"no affinity", 0, 0, true},
		{"in time", 0, 0, false},
		{"5 s late", 5 * time.Second, 0, false},
		{"every second lost", 2 * time.Second, 2, false},
		{"absent", 0, 1, false},
	} {
		setup := d.setup(chosen, requests)
		setup.CacheEventDelay, setup.CacheEventLossInterval, setup.HidePrefixes = c.lag, c.gap, c.noPrefix
		f := virtual.New(setup)
		b := collect(f.Run(length+deadline), warmUp, length, nil)
		hit := f.HitRatio()
		r.Row(c.name, fmt.Sprintf("%.2f", hit), fmt.Sprintf("%.0f / %.0f", milliseconds(b.FirstTokenTime[1].Percentile(50)), milliseconds(b.FirstTokenTime[1].Percentile(95))),
			fmt.Sprintf("%.2f", b.slowdown(0, 99)), fmt.Sprintf("%.2f", f.HottestPrefixShare()))
		r.Add(hit, d.Name, "Prefix", c.name, "HitRatio")
	}
}
