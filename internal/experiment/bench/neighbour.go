package bench

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
	"snipeford/internal/experiment/virtual"
)

// Loads of the neighbour table: a light organisation sends lightPart of what
// the engines bear, its heavy neighbour heavyTimes as much.
const (
	lightPart  = 0.02
	heavyTimes = 50
)

// Neighbour measures a light organisation alone and beside a heavy one.
func Neighbour(r *Report, d Deployment, length time.Duration, seed uint64) {
	light, heavy := arrival.OrganisationShare{Name: "light", Share: 1}, arrival.OrganisationShare{Name: "heavy", Share: 1}
	lightMix := d.mix(seed, lightPart, length)
	lightMix.Organisations = []arrival.OrganisationShare{light}
	heavyMix := d.mix(seed+1, lightPart*heavyTimes, length)
	heavyMix.Organisations = []arrival.OrganisationShare{heavy}
	alone := arrival.Generate(lightMix)
	both := merge(alone, arrival.Generate(heavyMix))
	r.Title("%s, a light organisation (%.0f%% load) alone and beside one that sends %d times as much, seed %d", d.Name, lightPart*100, heavyTimes, seed)
	r.Head("policy", "alone p50/p99 ms", "beside p50/p99 ms", "ratio of p99", "light refused beside")
	for _, p := range []Policy{Policies[0], chosen} {
		neighbourRow(r, d, p, alone, both, length)
	}
}

func neighbourRow(r *Report, d Deployment, p Policy, alone, both []arrival.Request, length time.Duration) {
	before := d.lightLatency(p, alone, length)
	after := d.lightLatency(p, both, length)
	ratio := milliseconds(after.all.Percentile(99)) / milliseconds(before.all.Percentile(99))
	r.Row(p.Name, fmt.Sprintf("%.0f / %.0f", milliseconds(before.all.Percentile(50)), milliseconds(before.all.Percentile(99))),
		fmt.Sprintf("%.0f / %.0f", milliseconds(after.all.Percentile(50)), milliseconds(after.all.Percentile(99))), fmt.Sprintf("%.2f", ratio), after.refused)
	r.Add(ratio, d.Name, figureName(p), "NeighbourRatioP99")
	r.Add(float64(after.refused), d.Name, figureName(p), "NeighbourLightRefused")
}

type lightResult struct {
	all     *load.Histogram
	refused int
}

func (d Deployment) lightLatency(p Policy, requests []arrival.Request, length time.Duration) lightResult {
	setup := d.setup(p, requests)
	setup.Rules = map[snipeford.Organisation]snipeford.OrganisationRule{"light": {Weight: 1}, "heavy": {Weight: 1}}
	out := lightResult{all: load.NewHistogram()}
	for _, o := range virtual.New(setup).Run(length + deadline) {
		switch {
		case o.Request.Organisation != "light" || o.Request.At < warmUp:
		case o.Done:
			out.all.Add(o.FirstToken)
		default:
			out.refused++
		}
	}
	return out
}

// merge puts two lists of requests in the order of their arrival.
func merge(a, b []arrival.Request) []arrival.Request {
	out := make([]arrival.Request, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].At <= b[0].At {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	out = append(append(out, a...), b...)
	for i := range out {
		out[i].Number = i + 1
	}
	return out
}
