package bench

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
	"snipeford/internal/experiment/virtual"
)

// Loads of the neighbour table: lightLoad is the load of the light organisation
// as a fraction of the total prefill rate of all engines. The heavy organisation
// sends heavyFactor times as much.
const (
	lightLoad   = 0.02
	heavyFactor = 50
)

// Neighbour measures the latency of a light organisation alone and next to a
// heavy one.
func Neighbour(r *Report, d Deployment, length time.Duration, seed uint64) {
	light, heavy := arrival.OrganisationShare{Name: "light", Share: 1}, arrival.OrganisationShare{Name: "heavy", Share: 1}
	lightMix := d.mix(seed, lightLoad, length)
	lightMix.Organisations = []arrival.OrganisationShare{light}
	heavyMix := d.mix(seed+1, lightLoad*heavyFactor, length)
	heavyMix.Organisations = []arrival.OrganisationShare{heavy}
	alone := arrival.Generate(lightMix)
	both := merge(alone, arrival.Generate(heavyMix))
	r.Title("%s, a light organisation (%.0f%% load) alone and beside one that sends %d times as much, seed %d", d.Name, lightLoad*100, heavyFactor, seed)
	r.Head("policy", "alone p50/p99 ms", "beside p50/p99 ms", "ratio of p99", "light refused beside")
	for _, p := range []Policy{Policies[0], deployedPolicy} {
		neighbourRow(r, d, p, alone, both, length)
	}
}

func neighbourRow(r *Report, d Deployment, p Policy, alone, both []arrival.Request, length time.Duration) {
	aloneResult := d.lightLatency(p, alone, length)
	bothResult := d.lightLatency(p, both, length)
	ratio := milliseconds(bothResult.firstToken.Percentile(99)) / milliseconds(aloneResult.firstToken.Percentile(99))
	r.Row(p.Name, fmt.Sprintf("%.0f / %.0f", milliseconds(aloneResult.firstToken.Percentile(50)), milliseconds(aloneResult.firstToken.Percentile(99))),
		fmt.Sprintf("%.0f / %.0f", milliseconds(bothResult.firstToken.Percentile(50)), milliseconds(bothResult.firstToken.Percentile(99))), fmt.Sprintf("%.2f", ratio), bothResult.unserved)
	r.Add(ratio, d.Name, figureName(p), "NeighbourRatioP99")
	r.Add(float64(bothResult.unserved), d.Name, figureName(p), "NeighbourLightRefused")
}

type lightResult struct {
	firstToken *load.Histogram
	unserved   int
}

func (d Deployment) lightLatency(p Policy, requests []arrival.Request, length time.Duration) lightResult {
	config := d.config(p, requests)
	config.Rules = map[snipeford.Organisation]snipeford.OrganisationRule{"light": {Weight: 1}, "heavy": {Weight: 1}}
	out := lightResult{firstToken: load.NewHistogram()}
	for _, o := range virtual.New(config).Run(length + requestTimeout) {
		switch {
		case o.Request.Organisation != "light" || o.Request.At < warmUp:
		case o.Done:
			out.firstToken.Add(o.TimeToFirstToken)
		default:
			out.unserved++
		}
	}
	return out
}

// merge merges two lists of requests by arrival time and renumbers them.
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
