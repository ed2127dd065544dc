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

// mostOpen bounds the requests that are open at once.
const mostOpen = 2_000

// Run sends all requests at their times and returns what callers saw, in the
// order of the requests. Progress gets a line a second where it is not nil.
func Run(ctx context.Context, c *Client, requests []arrival.Request, progress io.Writer) []Result {
	results := make([]Result, len(requests))
	open := make(chan struct{}, mostOpen)
	start := c.Timer.Now()
	var group sync.WaitGroup
	line := start
	for i, q := range requests {
		if !c.Timer.Sleep(ctx, start.Add(q.At).Sub(c.Timer.Now())) {
			break
		}
		if now := c.Timer.Now(); progress != nil && now.Sub(line) >= time.Second {
			line = now
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

// Summary is what a run comes to.
type Summary struct {
	Requests, Whole, Broken, Cut, Resumed int
	Refused                               map[string]int
	Bands                                 [snipeford.BandCount]*Latency
	Gaps                                  *Latency
	OrdersSent, OrdersAccepted            int
	LookupsSent, LookupsAnswered          int
	BandRefused                           [snipeford.BandCount]int
}

// Summarize adds results up.
func Summarize(results []Result) Summary {
	s := Summary{Refused: map[string]int{}, Gaps: NewLatency()}
	for band := range s.Bands {
		s.Bands[band] = NewLatency()
	}
	for _, r := range results {
		s.add(r)
	}
	return s
}

func (s *Summary) add(r Result) {
	s.Requests++
	s.Resumed += r.Resumed
	if r.Cut {
		s.Cut++
	}
	if r.Broken {
		s.Broken++
	}
	if r.Cause != "" {
		s.Refused[r.Cause]++
	}
	switch r.Request.Kind {
	case arrival.Order:
		s.OrdersSent++
		if r.Whole {
			s.OrdersAccepted++
		}
		return
	case arrival.Lookup:
		s.LookupsSent++
		if r.Whole {
			s.LookupsAnswered++
		}
		return
	}
	band := snipeford.BandOf(r.Request.Prompt)
	if !r.Whole {
		s.BandRefused[band]++
		return
	}
	s.Whole++
	s.Bands[band].Add(r.FirstToken)
	for _, g := range r.Gaps {
		s.Gaps.Add(g)
	}
}
