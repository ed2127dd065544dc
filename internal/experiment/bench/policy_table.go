package bench

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/virtual"
)

// OfferedLoads are the offered loads of the policy table, as fractions of the total
// prefill rate of all engines.
var OfferedLoads = []float64{0.50, 0.80, 0.95, 1.00, 1.30}

// PolicyTable compares the policies on the same seeded arrivals.
func PolicyTable(r *Report, d Deployment, policies []Policy, loadFractions []float64, length time.Duration, seed uint64) {
	for _, loadFraction := range loadFractions {
		requests := arrival.Generate(d.mix(seed, loadFraction, length))
		r.Title("%s, %.0f%% load, %d requests in %s, seed %d", d.Name, loadFraction*100, len(requests), length, seed)
		r.Head("policy", "1-4k p50/p95/p99 ms", "4-32k", "32-100k", ">100k", "slowdown 1-4k p50/p99", "gap p95 ms", "goodput kt/s", "refused", "lost", "longest wait >100k s")
		for _, p := range policies {
			policyRow(r, d, p, loadFraction, length, requests)
		}
	}
}

func policyRow(r *Report, d Deployment, p Policy, loadFraction float64, length time.Duration, requests []arrival.Request) {
	sim := virtual.New(d.config(p, requests))
	stats := collect(sim.Run(length+requestTimeout), warmUp, length, nil)
	goodput := float64(stats.CompletedTokens) / (length - warmUp).Seconds() / 1000
	unserved := 0
	for _, n := range stats.Unserved {
		unserved += n
	}
	r.Row(p.Name, percentiles(stats, snipeford.BandShort), percentiles(stats, snipeford.BandMedium), percentiles(stats, snipeford.BandLong), percentiles(stats, snipeford.BandHuge),
		fmt.Sprintf("%.2f / %.2f", stats.slowdown(snipeford.BandShort, 50), stats.slowdown(snipeford.BandShort, 99)),
		fmt.Sprintf("%.1f", milliseconds(stats.Gaps.Percentile(95))), fmt.Sprintf("%.0f", goodput), unserved, stats.Lost, fmt.Sprintf("%.1f", stats.LongestFirstToken.Seconds()))
	name := fmt.Sprintf("%s.%s.%.0f", d.Name, figureName(p), loadFraction*100)
	r.Add(stats.slowdown(snipeford.BandShort, 99), name, "ShortSlowdownP99")
	r.Add(milliseconds(stats.FirstTokenTime[snipeford.BandShort].Percentile(95)), name, "ShortFirstTokenP95Milliseconds")
	r.Add(milliseconds(stats.Gaps.Percentile(95)), name, "GapP95Milliseconds")
	r.Add(goodput, name, "GoodputKilotokensPerSecond")
	r.Add(float64(stats.Lost), name, "AdmittedAndLost")
	r.Add(float64(stats.Unserved[snipeford.BandShort]), name, "ShortRefused")
	r.Add(float64(sim.Excess()), name, "Excess")
}

func figureName(p Policy) string { return p.Queue + p.Route }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func percentiles(stats Stats, band snipeford.LengthBand) string {
	firstToken := stats.FirstTokenTime[band]
	return fmt.Sprintf("%.0f / %.0f / %.0f", milliseconds(firstToken.Percentile(50)), milliseconds(firstToken.Percentile(95)), milliseconds(firstToken.Percentile(99)))
}
