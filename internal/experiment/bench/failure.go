package bench

import (
	"fmt"
	"time"

	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/virtual"
)

const (
	failureDuration = 100 * time.Second
	failureStart    = 40 * time.Second
	failureInterval = 2 * time.Second
)

// Failure measures retries while a third of the engines fails repeatedly.
func Failure(r *Report, d Deployment, seed uint64) {
	requests := arrival.Generate(d.mix(seed, offeredLoad, failureDuration))
	sim := virtual.New(d.config(deployedPolicy, requests))
	for i, u := range sim.Upstreams() {
		if i%3 != 0 {
			continue
		}
		for at := failureStart; at < failureDuration; at += failureInterval {
			sim.At(at, func() { sim.Stop(u.ID) })
			sim.At(at+failureInterval/2, func() { sim.Start(u.ID) })
		}
	}
	results := sim.Run(failureDuration + requestTimeout)
	offered, retried := sim.State().RetryCounts()
	share := float64(retried) / float64(offered)
	stats := collect(results, 0, failureDuration, nil)
	r.Title("%s, %.0f%% load, every third engine fails each %s from %s on, seed %d", d.Name, offeredLoad*100, failureInterval, failureStart, seed)
	printTimeSlices(r, results, failureDuration)
	fmt.Fprintf(r.Out, "\nretries %d of %d offered (%.3f); not served after a failure %d\n", retried, offered, share, stats.Lost)
	r.Add(share, d.Name, "Failure.RetryShare")
	r.Add(float64(sim.UsedMemory()), d.Name, "Failure.HeldTokensAfter")
}

// Prefixes measures the effect of prefix affinity with cache events that are on
// time, late, incomplete or missing.
func Prefixes(r *Report, d Deployment, length time.Duration, seed uint64) {
	mix := d.mix(seed, 0.80, length)
	mix.SharedPrefixShare, mix.SharedPrefixCount = 0.7, 40
	requests := arrival.Generate(mix)
	r.Title("%s, 80%% load, 70%% of the requests share one of 40 prefixes, seed %d", d.Name, seed)
	r.Head("cache events", "hit ratio", "4-32k p50/p95 ms", "slowdown 1-4k p99", "busiest engine's part of the hottest prefix")
	for _, c := range []struct {
		name         string
		delay        time.Duration
		lossInterval int
		hidden       bool
	}{
		{"no affinity", 0, 0, true},
		{"in time", 0, 0, false},
		{"5 s late", 5 * time.Second, 0, false},
		{"every second lost", 2 * time.Second, 2, false},
		{"absent", 0, 1, false},
	} {
		config := d.config(deployedPolicy, requests)
		config.CacheEventDelay, config.CacheEventLossInterval, config.HidePrefixes = c.delay, c.lossInterval, c.hidden
		sim := virtual.New(config)
		stats := collect(sim.Run(length+requestTimeout), warmUp, length, nil)
		hit := sim.HitRatio()
		r.Row(c.name, fmt.Sprintf("%.2f", hit), fmt.Sprintf("%.0f / %.0f", milliseconds(stats.FirstTokenTime[1].Percentile(50)), milliseconds(stats.FirstTokenTime[1].Percentile(95))),
			fmt.Sprintf("%.2f", stats.slowdown(0, 99)), fmt.Sprintf("%.2f", sim.HottestPrefixShare()))
		r.Add(hit, d.Name, "Prefix", c.name, "HitRatio")
	}
}
