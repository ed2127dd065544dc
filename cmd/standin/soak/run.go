package soak

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"snipeford/platform/standin"
)

const (
	// concurrentFaults is the maximum number of faults that overlap.
	concurrentFaults = 2
	// warmUpTime lets the nodes discover each other before requests and faults start.
	warmUpTime = 1500 * time.Millisecond
	// drainTime is the wait between the end of the last client or fault and the
	// check of the runs. Runs that replicas start in that time are counted too.
	drainTime = 2 * time.Second
	// minCompletedShare is the minimum share of requests with a complete response.
	// Most faults affect only one of several nodes or replicas.
	minCompletedShare = 0.3
)

// Variant is the kind of faults of a run, and the clients and checks that go with it.
type Variant string

const (
	// Mixed has all kinds of faults.
	Mixed Variant = "mixed"
	// Planned has only planned work: stops, SIGHUP and new configurations.
	Planned Variant = "planned"
	// Poison has planned work, and requests with a prompt part on which replicas
	// crash.
	Poison Variant = "poison"
	// Request has planned work, and a request that comes again and on which replicas of
	// the plain service crash.
	Request Variant = "request"
	// Limit has all kinds of faults, and replicas that state request limits, leave or
	// pause.
	Limit Variant = "limit"
	// CutOff has planned work, crashes, and nodes that lose their links to replicas.
	CutOff Variant = "cut"
	// Config has faults of the store, of processes and of configurations, and clients that
	// use what configurations add and remove.
	Config Variant = "config"
	// Share has stops of nodes, and organisations of unlike size that compete for replicas.
	Share Variant = "share"
)

// Variants lists the names of all variants.
var Variants = []Variant{Mixed, Planned, Poison, Request, Limit, CutOff, Config, Share}

// play is what a run of a variant plays and checks.
type play struct {
	// replicaFaultRate is the share of requests into which replicas inject a fault.
	replicaFaultRate float64
	// nodeWarmUpTime is added to warmUpTime for each node, and spareReplicas is the number
	// of replicas of the second plain service.
	nodeWarmUpTime time.Duration
	spareReplicas  int
	// series are the faults, one list for each of those that overlap.
	series []faultSeries
	// next returns the requests of a client with a number. It may wait before. If it is
	// nil, runClient sends the requests.
	next func(f *fleet, ctx context.Context, number int) nextRequest
	// check checks what the clients saw, beside checkRuns.
	check func(f *fleet, r *Report)
}

var plays = map[Variant]play{
	Mixed:   {0.04, 0, 0, overlapping(concurrentFaults, faults), nil, nil},
	Planned: {0.01, 0, 0, overlapping(concurrentFaults, plannedFaults), (*fleet).nextPlannedRequest, (*fleet).checkCuts},
	// The checks judge only nodes that were not stopped shortly before.
	Poison:  {0.01, 0, 0, overlapping(1, poisonFaults), (*fleet).nextPoisonPrompt, (*fleet).checkPoison},
	Request: {0.01, 0, 0, overlapping(1, poisonFaults), (*fleet).nextPoisonRequest, (*fleet).checkPoison},
	Limit:   {0.04, 0, 0, limitSeries, (*fleet).nextLimitedRequest, (*fleet).checkLimits},
	CutOff:  {0.01, 0, 0, overlapping(concurrentCutFaults, cutFaults), (*fleet).nextCutRequest, (*fleet).checkCutOff},
	Config:  {0.01, 20 * time.Millisecond, 3, configurationSeries, (*fleet).nextConfigured, (*fleet).checkConfigurations},
	Share:   {0.01, 0, 0, shareSeries, (*fleet).nextShared, (*fleet).checkShares},
}

// Run performs one run with the plan's seed. One with cuts is compared with one without.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if p.Variant == CutOff && !p.WithoutCuts {
		return runBesideUncut(ctx, p)
	}
	return run(ctx, p)
}

func run(ctx context.Context, p Plan) (*Report, error) {
	if err := os.MkdirAll(p.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("create run directory: %w", err)
	}
	f, err := startFleet(p)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	r := &Report{Seed: p.Seed, Faults: map[string]int{}, maxRuns: map[string]int{}}
	sleep(ctx, warmUpTime+time.Duration(p.Nodes)*plays[p.Variant].nodeWarmUpTime)
	loadCtx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	var group sync.WaitGroup
	play := plays[p.Variant]
	for i := range p.clientCount() {
		group.Go(func() {
			if play.next == nil {
				f.runClient(loadCtx, i, r)
				return
			}
			f.runCaller(loadCtx, i, r, play.next(f, loadCtx, i))
		})
	}
	if p.Variant == Config {
		group.Go(func() { f.probeConfigurations(loadCtx, r) })
	}
	for i, series := range play.series {
		group.Go(func() { f.injectSeries(loadCtx, series, f.random(10+i), r) })
	}
	group.Wait()
	sleep(ctx, drainTime)
	f.checkRuns(r)
	if play.check != nil {
		play.check(f, r)
	}
	return r, nil
}

// limitClientFactor is the number of clients of variant Limit for each one of the plan.
// Only responses that begin between a replica's decision to leave and the last node's
// knowledge of it show whether nodes act on them.
const limitClientFactor = 3

func (p Plan) clientCount() int {
	if p.Variant == Limit {
		return limitClientFactor * p.Clients
	}
	if p.Variant == Share {
		return floodFactor * p.Clients
	}
	return p.Clients
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkRuns checks how often the replicas ran each request.
func (f *fleet) checkRuns(r *Report) {
	for _, id := range slices.Sorted(maps.Keys(r.maxRuns)) {
		if n, most := f.requestLog.Count(id), r.maxRuns[id]; n > most {
			r.addViolation("%s ran %d times, want at most %d (none after a bad key or a status that means that no replica ran it)", id, n, most)
		}
	}
	if n := f.requestLog.Count(standin.MisusedHeaders); n > 0 {
		r.addViolation("%d requests reached a replica with a wrong organisation or prompt, or with an API key", n)
	}
	switch f.plan.Variant {
	case Config:
		// Nodes without a configuration that is fresh enough have to refuse requests. Its own
		// check considers the nodes in touch.
	case CutOff:
		// Nothing helps while no node reaches a replica.
		reaching := f.countReaching(r)
		r.checkShare(reaching.sent, reaching.begun)
	case Limit:
		r.checkShare(f.countInTouch(r))
		r.checkShare(r.Sent, r.Completed)
	default:
		r.checkShare(r.Sent, r.Completed)
	}
}

// checkShare checks the share of requests that were served.
func (r *Report) checkShare(sent, completed int) {
	if float64(completed) < minCompletedShare*float64(sent) {
		r.addViolation("%d of %d requests got a complete response, want a share of at least %v", completed, sent, minCompletedShare)
	}
}

// log is a list to which several goroutines append. The zero value is empty.
type log[T any] struct {
	mu   sync.Mutex
	list []T
}

func (l *log[T]) add(entry T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, entry)
}

func (l *log[T]) all() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}
