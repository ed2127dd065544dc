package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

// toldTime is how long before a request its node must have passed on the limit.
const toldTime = 500 * time.Millisecond

var requestLimits = []float64{0, 0.2, 1.1, 3, 10}

type limitStage struct {
	from      snipeford.Instant
	perSecond float64
}

// limitedReplica is a replica that states a limit, and later another one.
type limitedReplica struct {
	replica *standin.Replica
	stages  []limitStage
}

// limitRandomly has every second replica state limits, at times drawn from the seed.
func (f *fleet) limitRandomly(r *standin.Replica) {
	rng := f.randomOf(r)
	if rng.IntN(2) == 0 {
		return
	}
	l := &limitedReplica{replica: r}
	at := f.clock.Now().Add(warmUpTime)
	for range 2 {
		at = at.Add(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		l.stages = append(l.stages, limitStage{at, requestLimits[rng.IntN(len(requestLimits))]})
		at = at.Add(f.plan.Duration / 2)
	}
	r.RequestLimit = func() string { return l.text(f.clock.Now()) }
	f.limited.add(l)
}

func (l *limitedReplica) text(now snipeford.Instant) string {
	text := ""
	for _, stage := range l.stages {
		if now >= stage.from {
			text = strconv.FormatFloat(stage.perSecond, 'f', -1, 64)
		}
	}
	return text
}

// checkLimits checks that no replica gets more requests than it states to take.
func (f *fleet) checkLimits(r *Report) {
	byID := map[string]exchange{}
	for _, e := range r.exchanges {
		byID[e.id] = e
	}
	for _, l := range f.limited.all() {
		counted := f.countedArrivals(l, byID)
		for i, stage := range l.stages {
			until := f.clock.Now()
			if i+1 < len(l.stages) {
				until = l.stages[i+1].from
			}
			got := standin.MaxInWindow(counted, stage.from.Add(standin.LimitNoticeTime), until)
			want := standin.MaxLimitedArrivals(stage.perSecond)
			r.addRemark("%s: %d requests in %v at a limit of %v a second, %d allowed", l.replica.ID, got, standin.LimitWindow, stage.perSecond, want)
			if got > want {
				r.addViolation("%s got %d requests in %v at a limit of %v a second, want at most %d", l.replica.ID, got, standin.LimitWindow, stage.perSecond, want)
			}
		}
	}
	f.checkDirectives(r, byID)
	f.checkDepartures(r, byID)
}

// countedArrivals returns the times of the requests that reached the replica from nodes
// that were calm and had passed on a response with a limit of the replica.
func (f *fleet) countedArrivals(l *limitedReplica, exchanges map[string]exchange) []snipeford.Instant {
	var out []snipeford.Instant
	for n, list := range f.deliveries(l.replica, exchanges) {
		told := times(list, func(d delivery) bool { return d.limited }, func(d delivery) snipeford.Instant { return d.ended })
		out = append(out, times(list, func(d delivery) bool {
			return n.isCalm(d.At) && n.wasTold(told, d.At.Add(-toldTime), d.At)
		}, func(d delivery) snipeford.Instant { return d.At })...)
	}
	slices.Sort(out)
	return out
}

// wasTold reports whether one of the times lies after the node's last disturbance up to an
// instant and not after another one.
func (n *node) wasTold(times []snipeford.Instant, until, at snipeford.Instant) bool {
	last := n.lastDisturbance(at).at
	return slices.ContainsFunc(times, func(t snipeford.Instant) bool { return t > last && t <= until })
}

// limitSeries are the series of faults of variant Limit: those of all kinds, returns of the
// store, and what replicas ask of nodes. The pauses are long enough for nodes to be in touch
// between two faults.
var limitSeries = append(overlapping(1, faults),
	faultSeries{faults, 1500, []int{6000}},
	faultSeries{returnFaults, 4000, []int{9000}},
	faultSeries{[]fault{{"leave", leave}}, 200, []int{1200}},
	faultSeries{[]fault{{"pause", pause}}, 300, []int{2500}})

// pause makes one replica, or half of them, ask for no requests for a while.
func pause(ctx context.Context, f *fleet, rng *rand.Rand) {
	count := 1
	if rng.IntN(2) == 0 {
		count = len(f.upstreams) / 2
	}
	until := f.clock.Now().Add(time.Duration(600+rng.IntN(3400)) * time.Millisecond)
	for _, i := range rng.Perm(len(f.upstreams))[:count] {
		f.upstreams[i].pausedUntil.Store(int64(until))
	}
	f.clock.Sleep(ctx, until.Sub(f.clock.Now()))
}

// delivery is a request that reached a replica. last reports whether it reached no other one
// later, so that the response is this replica's.
type delivery struct {
	standin.Arrival
	exchange
	last bool
}

// deliveries returns the requests that reached a replica, by their nodes, without those of
// nodes that ran the earlier build.
func (f *fleet) deliveries(r *standin.Replica, exchanges map[string]exchange) map[*node][]delivery {
	out := map[*node][]delivery{}
	for _, a := range r.Arrivals() {
		if e, ok := exchanges[a.ID]; ok && !e.node.ranOld(f.plan.OldProgram, e.sent) {
			all := f.requestLog.Get(a.ID).Arrivals
			out[e.node] = append(out[e.node], delivery{a, e, all[len(all)-1] == a.At})
		}
	}
	return out
}

// times returns the times of the requests that match.
func times(list []delivery, match func(delivery) bool, at func(delivery) snipeford.Instant) []snipeford.Instant {
	var out []snipeford.Instant
	for _, d := range list {
		if match(d) {
			out = append(out, at(d))
		}
	}
	return out
}

// checkDirectives checks that nodes send nothing to replicas that leave or pause. A pause
// counts for the node that has the caller and, in runs with links, for the one from which
// the connection comes.
func (f *fleet) checkDirectives(r *Report, exchanges map[string]exchange) {
	var late, over []string
	told, paused := 0, 0
	for _, h := range f.upstreams {
		for _, replica := range h.replicas.all() {
			for n, list := range f.deliveries(replica.Replica, exchanges) {
				name := callerName(slices.Index(f.nodes, n))
				responses, sent := n.lateAfterLeaving(list)
				told += responses
				for _, d := range sent {
					late = append(late, fmt.Sprintf("%s, sent to %s at %.3f s, reached %s", d.id, name, d.sent.Seconds(), replica.ID))
				}
				for _, d := range n.enforcedPauses(list, f.cutsOf(h.relayOf(slices.Index(f.nodes, n)))) {
					if got := inPause(list, d); got > standin.MaxPauseArrivals {
						over = append(over, fmt.Sprintf("%d of callers of %s to %s in the %v from %.3f s", got, name, replica.ID, d.Pause, d.At.Seconds()))
					}
				}
			}
			for i, n := range f.nodes {
				list := replica.ArrivalsFrom(callerName(i))
				for _, a := range f.enforcedArrivals(n, list, f.cutsOf(h.relayOf(i))) {
					paused++
					if got := standin.InPause(list, a); got > standin.MaxPauseArrivals {
						over = append(over, fmt.Sprintf("%d from %s to %s in the %v from %.3f s: %s", got, callerName(i), replica.ID, a.Pause, a.At.Seconds(), describeArrivals(list, a)))
					}
				}
			}
		}
	}
	r.addRemark("%d responses of leaving replicas, %d late requests; %d pauses, %d with more than %d requests", told, len(late), paused, len(over), standin.MaxPauseArrivals)
	addFindings(r, fmt.Sprintf("request later than %v after a response of a leaving replica", standin.LeavingNoticeTime), late)
	addFindings(r, "requests in a pause", over)
}

// lateAfterLeaving returns the number of responses that told the node that the replica
// leaves, and the requests that were sent too long after one of them.
func (n *node) lateAfterLeaving(list []delivery) (int, []delivery) {
	told := times(list, func(d delivery) bool { return d.Leaving && d.leaving && d.last }, func(d delivery) snipeford.Instant { return d.began })
	return len(told), slices.DeleteFunc(slices.Clone(list), func(d delivery) bool {
		return !n.wasTold(told, d.sent.Add(-standin.LeavingNoticeTime), d.At)
	})
}

// enforcedPauses returns the requests whose responses state a pause, without those whose
// node, or its path to the replica, was disturbed. cuts are the disturbances of the path.
func (n *node) enforcedPauses(list []delivery, cuts []span) []delivery {
	return slices.DeleteFunc(slices.Clone(list), func(d delivery) bool {
		end := d.At.Add(d.Pause)
		return d.Pause <= standin.PauseNoticeTime || n.lastDisturbance(end).at >= d.sent || overlaps(cuts, d.sent, end)
	})
}

// enforcedArrivals is enforcedPauses for the connections that come from a node, whichever
// node has the caller. It leaves out the earlier build.
func (f *fleet) enforcedArrivals(n *node, list []standin.Arrival, cuts []span) []standin.Arrival {
	return slices.DeleteFunc(slices.Clone(list), func(a standin.Arrival) bool {
		d := delivery{Arrival: a, exchange: exchange{sent: a.At}}
		return n.ranOld(f.plan.OldProgram, a.At) || len(n.enforcedPauses([]delivery{d}, cuts)) == 0
	})
}

// describeArrivals returns the requests that arrived in a pause, with their times.
func describeArrivals(list []standin.Arrival, stated standin.Arrival) string {
	var out []string
	for _, a := range list {
		if a.At >= stated.At && a.At < stated.At.Add(stated.Pause) {
			out = append(out, fmt.Sprintf("%s %.3f", a.ID, a.At.Seconds()))
		}
	}
	return strings.Join(out, ", ")
}

// inPause counts the requests in the enforced part of a pause.
func inPause(list []delivery, stated delivery) int {
	arrivals := make([]standin.Arrival, len(list))
	for i, d := range list {
		arrivals[i] = d.Arrival
	}
	return standin.InPause(arrivals, stated.Arrival)
}
