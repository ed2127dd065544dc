package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/experiment/arrival"
)

// maxConcurrentRequests limits the requests in flight. At the limit, Run delays the
// next request.
const maxConcurrentRequests = 2_000

// Run sends each request at its arrival time and returns the results in the order
// of the requests. If progress is not nil, it gets a line per second.
func Run(ctx context.Context, c *Client, requests []arrival.Request, progress io.Writer) []Result {
	results := make([]Result, len(requests))
	open := make(chan struct{}, maxConcurrentRequests)
	start := c.Timer.Now()
	var group sync.WaitGroup
	lastProgress := start
	for i, q := range requests {
		if !c.Timer.Sleep(ctx, start.Add(q.At).Sub(c.Timer.Now())) {
			break
		}
		if now := c.Timer.Now(); progress != nil && now.Sub(lastProgress) >= time.Second {
			lastProgress = now
			fmt.Fprintf(progress, "%3.0f s: %d of %d sent, %d open\n", now.Sub(start).Seconds(), i, len(requests), len(open))
		}
		open <- struct{}{}
		group.Go(func() {
			results[i] = c.Do(ctx, q)
			<-open
		})
	}
	group.Wait()
	return results
}

// Summary aggregates the results of a run.
type Summary struct {
	Requests, Complete, Corrupt, Disconnected, Resumes int
	RefusedByCause                                     map[string]int
	FirstTokenByBand                                   [snipeford.BandCount]*Histogram
	Gaps                                               *Histogram
	OrdersSent, OrdersAccepted                         int
	LookupsSent, LookupsAnswered                       int
	UnservedByBand                                     [snipeford.BandCount]int
}

// Summarize aggregates results.
func Summarize(results []Result) Summary {
	s := Summary{RefusedByCause: map[string]int{}, Gaps: NewHistogram()}
	for band := range s.FirstTokenByBand {
		s.FirstTokenByBand[band] = NewHistogram()
	}
	for _, r := range results {
		s.add(r)
	}
	return s
}

func (s *Summary) add(r Result) {
	s.Requests++
	s.Resumes += r.Resumes
	if r.Disconnected {
		s.Disconnected++
	}
	if r.Corrupt {
		s.Corrupt++
	}
	if r.Cause != "" {
		s.RefusedByCause[r.Cause]++
	}
	switch r.Request.Kind {
	case arrival.Order:
		s.OrdersSent++
		if r.Complete {
			s.OrdersAccepted++
		}
		return
	case arrival.Lookup:
		s.LookupsSent++
		if r.Complete {
			s.LookupsAnswered++
		}
		return
	}
	band := snipeford.BandOf(r.Request.Prompt)
	if !r.Complete {
		s.UnservedByBand[band]++
		return
	}
	s.Complete++
	s.FirstTokenByBand[band].Add(r.TimeToFirstToken)
	for _, g := range r.Gaps {
		s.Gaps.Add(g)
	}
}
