package bench

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/virtual"
)

// Times of the failure domain's leave and return, and of the sudden chill.
const (
	changeLength = 150 * time.Second
	outAt        = 40 * time.Second
	backAt       = 80 * time.Second
	changeLoad   = 0.60
	sliceLength  = 5 * time.Second
	// settleTime is within how long short requests have to be well again.
	settleTime = 10 * time.Second
	// shortBound is the slowdown that short requests have to keep.
	shortBound = 2.0
	chillAt    = 40 * time.Second
)

// DomainChange measures service in slices of time while one of three failure
// domains is taken out and comes back cold.
func DomainChange(r *Report, d Deployment, seed uint64) {
	requests := arrival.Generate(d.mix(seed, changeLoad, changeLength))
	f := virtual.New(d.setup(chosen, requests))
	leaving := d.Domains[0]
	f.At(outAt, func() { f.Configure([]snipeford.FailureDomain{leaving}) })
	f.At(backAt, func() {
		// Its engines were stopped meanwhile and come back without memory.
		for _, u := range f.Upstreams() {
			if u.Domain == leaving {
				f.Stop(u.ID)
				f.Start(u.ID)
			}
		}
		f.Configure(nil)
	})
	outcomes := f.Run(changeLength + deadline)
	r.Title("%s, %.0f%% load, failure domain %s out at %s, back cold at %s, seed %d", d.Name, changeLoad*100, leaving, outAt, backAt, seed)
	timeSlices(r, outcomes, changeLength)
	after := collect(outcomes, outAt+settleTime, backAt, nil)
	returned := collect(outcomes, backAt+settleTime, changeLength, nil)
	lost := collect(outcomes, 0, changeLength, nil).Lost
	r.Add(after.slowdown(snipeford.BandShort, 99), d.Name, "DomainOut.ShortSlowdownP99")
	r.Add(returned.slowdown(snipeford.BandShort, 99), d.Name, "DomainBack.ShortSlowdownP99")
	r.Add(float64(lost), d.Name, "DomainChange.AdmittedAndLost")
	r.Add(float64(f.Excess()), d.Name, "DomainChange.Excess")
	fmt.Fprintf(r.Out, "\nlost %d, requests above what cold engines bore %d; slowdown of short ones p99 from %s after: out %.2f, back %.2f\n",
		lost, f.Excess(), settleTime, after.slowdown(snipeford.BandShort, 99), returned.slowdown(snipeford.BandShort, 99))
}

// timeSlices prints a row for each slice of time.
func timeSlices(r *Report, outcomes []virtual.Result, length time.Duration) {
	r.Head("from s", "sent", "refused", "lost", "1-4k p50/p99 ms", "slowdown p99", "4-32k p95 ms", "goodput kt/s")
	for from := time.Duration(0); from < length; from += sliceLength {
		b := collect(outcomes, from, from+sliceLength, nil)
		sent, refused := 0, 0
		for band := range b.Sent {
			sent += b.Sent[band]
			refused += b.Refused[band]
		}
		r.Row(int(from.Seconds()), sent, refused, b.Lost,
			fmt.Sprintf("%.0f / %.0f", milliseconds(b.FirstTokenTime[snipeford.BandShort].Percentile(50)), milliseconds(b.FirstTokenTime[snipeford.BandShort].Percentile(99))),
			fmt.Sprintf("%.2f", b.slowdown(snipeford.BandShort, 99)), fmt.Sprintf("%.0f", milliseconds(b.FirstTokenTime[snipeford.BandMedium].Percentile(95))),
			fmt.Sprintf("%.0f", doneWork(outcomes, from, from+sliceLength)))
	}
}

// doneWork returns the thousands of tokens a second of the requests that ended
// well in a slice of time.
func doneWork(outcomes []virtual.Result, from, to time.Duration) float64 {
	var work snipeford.Tokens
	for _, o := range outcomes {
		if end := o.Request.At + o.Took; o.Done && end >= from && end < to {
			work += o.Request.Prompt + snipeford.Tokens(len(o.Gaps)+1)
		}
	}
	return float64(work) / (to - from).Seconds() / 1000
}

// Chill measures service while a third of the engines turns cold unannounced.
func Chill(r *Report, d Deployment, seed uint64) {
	requests := arrival.Generate(d.mix(seed, changeLoad, 100*time.Second))
	f := virtual.New(d.setup(chosen, requests))
	f.At(chillAt, func() {
		for i, u := range f.Upstreams() {
			if i%3 == 0 {
				f.Chill(u.ID)
			}
		}
	})
	outcomes := f.Run(100*time.Second + deadline)
	r.Title("%s, %.0f%% load, every third engine turns cold unannounced at %s, seed %d", d.Name, changeLoad*100, chillAt, seed)
	timeSlices(r, outcomes, 100*time.Second)
	after := collect(outcomes, chillAt+settleTime, 100*time.Second, nil)
	lost := collect(outcomes, 0, 100*time.Second, nil).Lost
	offered, retried := f.State().RetryCounts()
	r.Add(after.slowdown(snipeford.BandShort, 99), d.Name, "Chill.ShortSlowdownP99")
	r.Add(float64(lost), d.Name, "Chill.AdmittedAndLost")
	r.Add(float64(retried)/float64(offered), d.Name, "Chill.RetryShare")
	fmt.Fprintf(r.Out, "\nlost %d, above what they bore before the reports said so %d; retries %.3f of the offered requests\n", lost, f.Excess(), float64(retried)/float64(offered))
}
