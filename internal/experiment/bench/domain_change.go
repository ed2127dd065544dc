package bench

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/virtual"
)

// Times and load of the experiments on failure domains, cold engines and failures.
// offeredLoad is a fraction of the total prefill rate of all engines, and
// sliceDuration the time that a row of printTimeSlices covers.
const (
	domainChangeDuration = 150 * time.Second
	domainOutAt          = 40 * time.Second
	domainBackAt         = 80 * time.Second
	offeredLoad          = 0.60
	sliceDuration        = 5 * time.Second
	// recoveryTime is the time within which short requests have to recover.
	recoveryTime = 10 * time.Second
	// maxShortSlowdown is the slowdown that short requests must not exceed.
	maxShortSlowdown = 2.0
	coldAt           = 40 * time.Second
)

// DomainChange measures the service over time while one of three failure domains
// is taken out and later returns with cold engines.
func DomainChange(r *Report, d Deployment, seed uint64) {
	requests := arrival.Generate(d.mix(seed, offeredLoad, domainChangeDuration))
	sim := virtual.New(d.config(deployedPolicy, requests))
	leaving := d.Domains[0]
	sim.At(domainOutAt, func() { sim.Configure([]snipeford.FailureDomain{leaving}) })
	sim.At(domainBackAt, func() {
		// The engines were stopped meanwhile and restart with empty memory.
		for _, u := range sim.Upstreams() {
			if u.Domain == leaving {
				sim.Stop(u.ID)
				sim.Start(u.ID)
			}
		}
		sim.Configure(nil)
	})
	results := sim.Run(domainChangeDuration + requestTimeout)
	r.Title("%s, %.0f%% load, failure domain %s out at %s, back cold at %s, seed %d", d.Name, offeredLoad*100, leaving, domainOutAt, domainBackAt, seed)
	printTimeSlices(r, results, domainChangeDuration)
	after := collect(results, domainOutAt+recoveryTime, domainBackAt, nil)
	returned := collect(results, domainBackAt+recoveryTime, domainChangeDuration, nil)
	lost := collect(results, 0, domainChangeDuration, nil).Lost
	r.Add(after.slowdown(snipeford.BandShort, 99), d.Name, "DomainOut.ShortSlowdownP99")
	r.Add(returned.slowdown(snipeford.BandShort, 99), d.Name, "DomainBack.ShortSlowdownP99")
	r.Add(float64(lost), d.Name, "DomainChange.AdmittedAndLost")
	r.Add(float64(sim.Excess()), d.Name, "DomainChange.Excess")
	fmt.Fprintf(r.Out, "\nlost %d, requests above what cold engines bore %d; slowdown of short ones p99 from %s after: out %.2f, back %.2f\n",
		lost, sim.Excess(), recoveryTime, after.slowdown(snipeford.BandShort, 99), returned.slowdown(snipeford.BandShort, 99))
}

// printTimeSlices prints a table with a row for each time slice.
func printTimeSlices(r *Report, results []virtual.Result, length time.Duration) {
	r.Head("from s", "sent", "refused", "lost", "1-4k p50/p99 ms", "slowdown p99", "4-32k p95 ms", "goodput kt/s")
	for from := time.Duration(0); from < length; from += sliceDuration {
		stats := collect(results, from, from+sliceDuration, nil)
		sent, unserved := 0, 0
		for band := range stats.Sent {
			sent += stats.Sent[band]
			unserved += stats.Unserved[band]
		}
		r.Row(int(from.Seconds()), sent, unserved, stats.Lost,
			fmt.Sprintf("%.0f / %.0f", milliseconds(stats.FirstTokenTime[snipeford.BandShort].Percentile(50)), milliseconds(stats.FirstTokenTime[snipeford.BandShort].Percentile(99))),
			fmt.Sprintf("%.2f", stats.slowdown(snipeford.BandShort, 99)), fmt.Sprintf("%.0f", milliseconds(stats.FirstTokenTime[snipeford.BandMedium].Percentile(95))),
			fmt.Sprintf("%.0f", sliceGoodput(results, from, from+sliceDuration)))
	}
}

// sliceGoodput returns the goodput in a time slice, in thousands of tokens per
// second. Only requests that completed in the slice count.
func sliceGoodput(results []virtual.Result, from, to time.Duration) float64 {
	var tokens snipeford.Tokens
	for _, o := range results {
		if end := o.Request.At + o.Duration; o.Done && end >= from && end < to {
			tokens += o.Request.Prompt + snipeford.Tokens(len(o.Gaps)+1)
		}
	}
	return float64(tokens) / (to - from).Seconds() / 1000
}

// ColdEngines measures the service while a third of the engines becomes cold
// without notice. The names of its figures start with Chill.
func ColdEngines(r *Report, d Deployment, seed uint64) {
	requests := arrival.Generate(d.mix(seed, offeredLoad, 100*time.Second))
	sim := virtual.New(d.config(deployedPolicy, requests))
	sim.At(coldAt, func() {
		for i, u := range sim.Upstreams() {
			if i%3 == 0 {
				sim.SetCold(u.ID)
			}
		}
	})
	results := sim.Run(100*time.Second + requestTimeout)
	r.Title("%s, %.0f%% load, every third engine turns cold unannounced at %s, seed %d", d.Name, offeredLoad*100, coldAt, seed)
	printTimeSlices(r, results, 100*time.Second)
	after := collect(results, coldAt+recoveryTime, 100*time.Second, nil)
	lost := collect(results, 0, 100*time.Second, nil).Lost
	offered, retried := sim.State().RetryCounts()
	r.Add(after.slowdown(snipeford.BandShort, 99), d.Name, "Chill.ShortSlowdownP99")
	r.Add(float64(lost), d.Name, "Chill.AdmittedAndLost")
	r.Add(float64(retried)/float64(offered), d.Name, "Chill.RetryShare")
	fmt.Fprintf(r.Out, "\nlost %d, above what they bore before the reports said so %d; retries %.3f of the offered requests\n", lost, sim.Excess(), float64(retried)/float64(offered))
}
