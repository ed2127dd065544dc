// Package bench measures the decisions under load and faults, repeatably: seeded
// arrivals under virtual time. Each table is one file; each figure has a name
// that a bound can refer to.
package bench

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
	"snipeford/internal/experiment/virtual"
)

// Policy is one row of the policy table.
type Policy struct{ Name, Queue, Route string }

// Policies are the compared ones; the first is the baseline, the last is what
// nodes run.
var Policies = []Policy{
	{"FIFO, least outstanding", "Fifo", "LeastOutstanding"},
	{"shortest first", "Shortest", "LeastOutstanding"},
	{"fixed split", "Shortest", "FixedSplit"},
	{"moving split", "Shortest", "MovingSplit"},
	{"fair and length-aware", "Fair", "MovingSplit"},
}

// chosen is what nodes run.
var chosen = Policies[len(Policies)-1]

// Deployment is one of the users' sizes of today.
type Deployment struct {
	Name     string
	Domains  []snipeford.FailureDomain
	Replicas int
	Shares   []arrival.OrganisationShare
}

// Deployments are those of the brief.
var Deployments = []Deployment{
	{"Quindio", []snipeford.FailureDomain{"Armenia", "Manizales", "Pereira"}, 20, shares(0.30, 0.18, 0.14)},
	{"Uwimana", []snipeford.FailureDomain{"Kigali-1", "Kigali-2", "Kigali-3"}, 25, shares(0.26, 0.22, 0.16)},
}

// organisations is how many each deployment has.
const organisations = 10

// shares gives the large organisations the named parts and the others equal
// parts of the rest.
func shares(large ...float64) []arrival.OrganisationShare {
	rest := 1.0
	var out []arrival.OrganisationShare
	for i, part := range large {
		rest -= part
		out = append(out, arrival.OrganisationShare{Name: organisation(i), Share: part})
	}
	for i := len(large); i < organisations; i++ {
		out = append(out, arrival.OrganisationShare{Name: organisation(i), Share: rest / float64(organisations-len(large))})
	}
	return out
}

func organisation(i int) snipeford.Organisation {
	return snipeford.Organisation(fmt.Sprintf("organisation-%02d", i+1))
}

// Times of a run.
const (
	warmUp      = 20 * time.Second
	deadline    = 120 * time.Second
	shortWait   = 2 * time.Second
	longWait    = 60 * time.Second
	reportLag   = 500 * time.Millisecond
	eventLag    = 2 * time.Second
	meanOutput  = 90
	minimumRate = 0.1
)

// mix returns the requests at a load, given as a part of what the engines bear
// together when every step is full.
func (d Deployment) mix(seed uint64, share float64, length time.Duration) arrival.Mix {
	m := arrival.Mix{Seed: seed, Duration: length, Organisations: d.Shares, BandShares: arrival.DefaultBands, SharedPrefixShare: 0.3, SharedPrefixCount: 20}
	perRequest := arrival.MeanPrompt(m) + meanOutput
	capacity := float64(d.Replicas) * float64(batch.Config{}.WithDefaults().PrefillRate())
	m.Rate = max(minimumRate, share*capacity/perRequest)
	return m
}

// setup returns a run of a policy over requests.
func (d Deployment) setup(p Policy, requests []arrival.Request) virtual.Setup {
	rules := map[snipeford.Organisation]snipeford.OrganisationRule{}
	for _, s := range d.Shares {
		rules[s.Name] = snipeford.OrganisationRule{Weight: 1}
	}
	return virtual.Setup{
		Queue: p.Queue, Route: p.Route, Domains: d.Domains, Replicas: d.Replicas, Rules: rules, Requests: requests,
		Deadline: deadline, ShortQueueTimeout: shortWait, LongQueueTimeout: longWait, LoadReportDelay: reportLag, CacheEventDelay: eventLag, CacheEventLossInterval: 10,
	}
}

// Stats is the time to first token, the slowdown and the fate of a run's
// requests by length band.
type Stats struct {
	FirstTokenTime [snipeford.BandCount]*load.Histogram
	Slowdown       [snipeford.BandCount]*load.Histogram
	Sent           [snipeford.BandCount]int
	Refused        [snipeford.BandCount]int
	Lost           int
	Gaps           *load.Histogram
	// CompletedTokens is the tokens of requests that ended well within the window.
	CompletedTokens snipeford.Tokens
	until           time.Duration
	// LongestFirstToken is the longest time to first token above LongPrompt.
	LongestFirstToken time.Duration
}

// slowdownScale stores a slowdown of one as this many microseconds.
const slowdownScale = 1_000

// collect adds up the outcomes of requests that arrived in a window.
func collect(outcomes []virtual.Result, from, to time.Duration, keep func(virtual.Result) bool) Stats {
	b := Stats{Gaps: load.NewHistogram(), until: to}
	for band := range b.FirstTokenTime {
		b.FirstTokenTime[band], b.Slowdown[band] = load.NewHistogram(), load.NewHistogram()
	}
	for _, o := range outcomes {
		if o.Request.At >= from && o.Request.At < to && (keep == nil || keep(o)) {
			b.add(o)
		}
	}
	return b
}

func (b *Stats) add(o virtual.Result) {
	band := snipeford.BandOf(o.Request.Prompt)
	b.Sent[band]++
	if !o.Done {
		b.Refused[band]++
		if admittedAndLost(o) {
			b.Lost++
		}
		return
	}
	if o.Request.At+o.Took < b.until {
		b.CompletedTokens += o.Request.Prompt + snipeford.Tokens(len(o.Gaps)+1)
	}
	b.FirstTokenTime[band].Add(o.FirstToken)
	idle := batch.Config{}.WithDefaults().IdleFirstToken(o.Request.Prompt)
	b.Slowdown[band].Add(time.Duration(float64(o.FirstToken) / float64(idle) * slowdownScale * float64(time.Microsecond)))
	for _, g := range o.Gaps {
		b.Gaps.Add(g)
	}
	if band == snipeford.BandHuge {
		b.LongestFirstToken = max(b.LongestFirstToken, o.FirstToken)
	}
}

// admittedAndLost reports whether a request that was taken into a queue got
// neither its answer nor an early refusal.
func admittedAndLost(o virtual.Result) bool {
	return o.Cause != snipeford.CauseOverload && o.Cause != snipeford.CauseRateLimit && o.Cause != snipeford.CauseConcurrencyLimit
}

// slowdown returns a percentile of a band's slowdown.
func (b *Stats) slowdown(band snipeford.LengthBand, percent float64) float64 {
	return float64(b.Slowdown[band].Percentile(percent).Microseconds()) / slowdownScale
}
