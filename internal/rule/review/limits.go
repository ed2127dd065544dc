package review

import (
	"fmt"
	"time"

	"snipeford"
)

// checkTimeouts reports routes whose callers give up before a response counts as late.
func (r *reviewer) checkTimeouts() {
	for _, e := range entries(&r.Next, snipeford.EntryRoute) {
		if e.Route != nil && e.Route.Timeout > 0 && e.Route.Timeout < e.Route.LatencyTarget {
			r.report(Warning, e, snipeford.FieldTimeout, "timeout of %v is under the latency target of %v", e.Route.Timeout, e.Route.LatencyTarget)
		}
	}
}

// checkAttempts reports routes with several attempts where the settings allow no retries.
func (r *reviewer) checkAttempts() {
	if r.Node == nil || r.Node.RetryRatio > 0 || r.Node.RetrySlack > 0 {
		return
	}
	for _, e := range entries(&r.Next, snipeford.EntryRoute) {
		if e.Route != nil && e.Route.MaxAttempts > 1 && e.Route.Idempotent() {
			r.report(Warning, e, snipeford.FieldMaxAttempts, "%d attempts, but the settings of the node have no retry budget", e.Route.MaxAttempts)
		}
	}
}

// checkColdBounds reports services with one half of a bound for cold upstreams, and engines
// that end their cold period before they have had as many requests as they run at once: the
// first full load then meets an engine that is warm by its age only.
func (r *reviewer) checkColdBounds() {
	for _, e := range entries(&r.Next, snipeford.EntryService) {
		s := e.Service
		switch {
		case s == nil:
		case s.ColdPeriod > 0 && s.ColdRequestsPerSecond <= 0:
			r.report(Warning, e, snipeford.FieldColdRequestsPerSecond, "cold period of %v without a request rate bounds nothing", s.ColdPeriod)
		case s.ColdPeriod == 0 && s.ColdRequestsPerSecond > 0:
			r.report(Warning, e, snipeford.FieldColdPeriod, "request rate of cold upstreams without a cold period")
		case s.Engine != nil && s.ColdPeriod > 0 && s.ColdRequestsPerSecond*s.ColdPeriod.Seconds() < float64(s.Engine.Slots):
			r.report(Warning, e, snipeford.FieldColdRequestsPerSecond, "%v requests per second for %v are fewer requests than the %d that an engine runs at once",
				s.ColdRequestsPerSecond, s.ColdPeriod, s.Engine.Slots)
		}
	}
}

// enforcedFactor is how many times a limit nodes may enforce without a finding. The slack
// that they add is under the limit itself for all limits of the platform's configurations.
const enforcedFactor = 2

// checkCallerLimits reports limits that are far under what nodes enforce, since they add a
// slack or use a default.
func (r *reviewer) checkCallerLimits() {
	e := single(&r.Next, snipeford.EntryLimits, "limits")
	set, enforced := r.Next.Routing.Limits, r.Enforced
	for _, l := range []struct {
		field         snipeford.EntryField
		set, enforced int64
		unit          string
	}{
		{snipeford.FieldHeaderBytes, int64(set.HeaderBytes), int64(enforced.HeaderBytes), "bytes"},
		{snipeford.FieldBodyBytes, set.BodyBytes, enforced.BodyBytes, "bytes"},
		{snipeford.FieldHeaderTimeout, set.HeaderTimeout.Milliseconds(), enforced.HeaderTimeout.Milliseconds(), "ms"},
		{snipeford.FieldIdleTimeout, set.IdleTimeout.Milliseconds(), enforced.IdleTimeout.Milliseconds(), "ms"},
	} {
		switch {
		case l.set == 0 && l.enforced > 0:
			r.report(Warning, e, l.field, "no valid limit is set, so that nodes enforce %d %s", l.enforced, l.unit)
		case l.enforced > enforcedFactor*l.set:
			r.report(Warning, e, l.field, "limit of %d %s is under the %d %s that nodes enforce", l.set, l.unit, l.enforced, l.unit)
		}
	}
}

// checkBodyCapacity reports a limit on bodies that a node has no memory for.
func (r *reviewer) checkBodyCapacity() {
	if r.Node != nil && r.Enforced.BodyBytes > r.Node.Capacity {
		r.report(Warning, single(&r.Next, snipeford.EntryLimits, "limits"), snipeford.FieldBodyBytes,
			"limit of %d bytes is over the %d bytes that the node holds of all callers", r.Enforced.BodyBytes, r.Node.Capacity)
	}
}

const (
	// entryTime is the time of a whole core to decode and index an entry: a first version with
	// 1,650 routes took 11 ms.
	entryTime = 7 * time.Microsecond
	// keyTime is the same for an API key, as measured for the decoder's pauses.
	keyTime = 700 * time.Nanosecond
	// applyShare is the part of the configuration bound that remains to apply a version, as a
	// feeder's rows may be 0.7 of it old.
	applyShare = 0.3
)

// checkApplyTime reports more changed entries than the VM applies in its bound. All entries
// count if the configuration in force is not known.
func (r *reviewer) checkApplyTime() {
	if r.Node == nil || r.Node.ProcessorShare <= 0 {
		return
	}
	count, work := 0, time.Duration(0)
	same := unchanged(r.InForce, &r.Next)
	for i := range r.Next.Entries {
		e := &r.Next.Entries[i]
		if e.Index < 0 || same[e] {
			continue
		}
		count++
		if work += entryTime; e.Access != nil {
			work += time.Duration(len(e.Access.Keys)) * keyTime
		}
	}
	needed := time.Duration(float64(work) / r.Node.ProcessorShare)
	if limit := time.Duration(applyShare * float64(r.Node.ConfigurationBound)); needed > limit {
		r.findings = append(r.findings, Finding{Severity: Warning, Index: -1, Text: fmt.Sprintf(
			"%d changed entries take about %v of the VM's share of a core, over the %v that remain of its bound", count, needed.Round(time.Millisecond), limit)})
	}
}
