// Package bench measures queueing, routing and placement under load and faults.
// Seeded arrivals and virtual time make the results repeatable. Each table has
// its own file, and bounds refer to figures by name.
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

// Policies lists the compared policies. The first is the baseline, the last is
// the one that nodes use.
var Policies = []Policy{
	{"FIFO, least outstanding", "Fifo", "LeastOutstanding"},
	{"shortest first", "Shortest", "LeastOutstanding"},
	{"fixed split", "Shortest", "FixedSplit"},
	{"moving split", "Shortest", "MovingSplit"},
	{"fair and length-aware", "Fair", "MovingSplit"},
}

// deployedPolicy is the policy that nodes use.
var deployedPolicy = Policies[len(Policies)-1]

// Deployment is the size and the traffic of a production deployment. Its engine
// count differs from that of placing.Deployment with the same name.
type Deployment struct {
	Name    string
	Domains []snipeford.FailureDomain
	Engines int
	Shares  []arrival.OrganisationShare
}

// Deployments lists the two production deployments.
var Deployments = []Deployment{
	{"Quindio", []snipeford.FailureDomain{"Armenia", "Manizales", "Pereira"}, 20, organisationShares(0.30, 0.18, 0.14)},
	{"Uwimana", []snipeford.FailureDomain{"Kigali-1", "Kigali-2", "Kigali-3"}, 25, organisationShares(0.26, 0.22, 0.16)},
}

// organisationCount is the number of organisations of each deployment.
const organisationCount = 10

// organisationShares gives the large organisations the given shares and divides
// the rest equally among the others.
func organisationShares(large ...float64) []arrival.OrganisationShare {
	rest := 1.0
	var out []arrival.OrganisationShare
	for i, share := range large {
		rest -= share
		out = append(out, arrival.OrganisationShare{Name: organisationName(i), Share: share})
	}
	for i := len(large); i < organisationCount; i++ {
		out = append(out, arrival.OrganisationShare{Name: organisationName(i), Share: rest / float64(organisationCount-len(large))})
	}
	return out
}

func organisationName(i int) snipeford.Organisation {
	return snipeford.Organisation(fmt.Sprintf("organisation-%02d", i+1))
}

// Parameters of a run. requestTimeout runs from the arrival of a request to the end
// of its response. meanOutput is the assumed mean output of a completion in
// tokens, and minRate the lower bound of arrival.Mix.Rate in requests per second.
const (
	warmUp            = 20 * time.Second
	requestTimeout    = 120 * time.Second
	shortQueueTimeout = 2 * time.Second
	longQueueTimeout  = 60 * time.Second
	loadReportDelay   = 500 * time.Millisecond
	cacheEventDelay   = 2 * time.Second
	meanOutput        = 90
	minRate           = 0.1
)

// mix returns the workload for a load, given as a fraction of the total prefill rate
// of all engines when every step is full.
func (d Deployment) mix(seed uint64, loadFraction float64, length time.Duration) arrival.Mix {
	m := arrival.Mix{Seed: seed, Duration: length, Organisations: d.Shares, BandShares: arrival.DefaultBands, SharedPrefixShare: 0.3, SharedPrefixCount: 20}
	perRequest := arrival.MeanPrompt(m) + meanOutput
	capacity := float64(d.Engines) * float64(batch.Config{}.WithDefaults().PrefillRate())
	m.Rate = max(minRate, loadFraction*capacity/perRequest)
	return m
}

// config returns the configuration of a run of a policy on the given requests.
func (d Deployment) config(p Policy, requests []arrival.Request) virtual.Config {
	rules := map[snipeford.Organisation]snipeford.OrganisationRule{}
	for _, s := range d.Shares {
		rules[s.Name] = snipeford.OrganisationRule{Weight: 1}
	}
	return virtual.Config{
		QueuePolicy: p.Queue, RoutePolicy: p.Route, Domains: d.Domains, Engines: d.Engines, Rules: rules, Requests: requests,
		Deadline: requestTimeout, ShortQueueTimeout: shortQueueTimeout, LongQueueTimeout: longQueueTimeout, LoadReportDelay: loadReportDelay, CacheEventDelay: cacheEventDelay, CacheEventLossInterval: 10,
	}
}

// Stats holds the time to first token, the slowdown and the outcome of the
// requests of a run by length band.
type Stats struct {
	FirstTokenTime [snipeford.BandCount]*load.Histogram
	Slowdown       [snipeford.BandCount]*load.Histogram
	Sent           [snipeford.BandCount]int
	// Unserved counts the requests that did not complete for any reason: refusals,
	// timeouts and failures. Tables print it as refused.
	Unserved [snipeford.BandCount]int
	// Lost counts the requests among Unserved that were admitted to a queue.
	Lost int
	Gaps *load.Histogram
	// CompletedTokens counts the tokens of requests that completed within the
	// window.
	CompletedTokens snipeford.Tokens
	until           time.Duration
	// LongestFirstToken is the longest time to first token of prompts above
	// MaxLongPrompt.
	LongestFirstToken time.Duration
}

// slowdownScale is the value in microseconds that represents a slowdown of one
// in a histogram.
const slowdownScale = 1_000

// collect aggregates the results of the requests that arrived in a window. If
// include is not nil, it selects the results.
func collect(results []virtual.Result, from, to time.Duration, include func(virtual.Result) bool) Stats {
	s := Stats{Gaps: load.NewHistogram(), until: to}
	for band := range s.FirstTokenTime {
		s.FirstTokenTime[band], s.Slowdown[band] = load.NewHistogram(), load.NewHistogram()
	}
	for _, r := range results {
		if r.Request.At >= from && r.Request.At < to && (include == nil || include(r)) {
			s.add(r)
		}
	}
	return s
}

func (s *Stats) add(r virtual.Result) {
	band := snipeford.BandOf(r.Request.Prompt)
	s.Sent[band]++
	if !r.Done {
		s.Unserved[band]++
		if admittedAndLost(r) {
			s.Lost++
		}
		return
	}
	if r.Request.At+r.Duration < s.until {
		s.CompletedTokens += r.Request.Prompt + snipeford.Tokens(len(r.Gaps)+1)
	}
	s.FirstTokenTime[band].Add(r.TimeToFirstToken)
	idle := batch.Config{}.WithDefaults().IdleTimeToFirstToken(r.Request.Prompt)
	s.Slowdown[band].Add(time.Duration(float64(r.TimeToFirstToken) / float64(idle) * slowdownScale * float64(time.Microsecond)))
	for _, g := range r.Gaps {
		s.Gaps.Add(g)
	}
	if band == snipeford.BandHuge {
		s.LongestFirstToken = max(s.LongestFirstToken, r.TimeToFirstToken)
	}
}

// admittedAndLost reports whether a request that did not complete was admitted
// to a queue instead of being refused early.
func admittedAndLost(r virtual.Result) bool {
	return r.Cause != snipeford.CauseOverload && r.Cause != snipeford.CauseRateLimit && r.Cause != snipeford.CauseConcurrencyLimit
}

// slowdown returns a percentile of the slowdown in a band.
func (s *Stats) slowdown(band snipeford.LengthBand, percent float64) float64 {
	return float64(s.Slowdown[band].Percentile(percent).Microseconds()) / slowdownScale
}
