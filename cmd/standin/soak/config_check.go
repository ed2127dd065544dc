package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

// Bounds of the platform's rules; the nodes' settings have the first two.
const (
	configurationTime = 2 * time.Second
	revocationTime    = 5 * time.Second
	contactTime       = 3 * time.Second
	// rollbackSlack is the time after a sign of a version within which the node may still
	// use an older one, and disturbedRollbackSlack that of a disturbed node.
	rollbackSlack          = 250 * time.Millisecond
	disturbedRollbackSlack = 8 * rollbackSlack
	// timeoutNoticeTime is how much later than its route's time-out a request may end.
	timeoutNoticeTime = 500 * time.Millisecond
	// allowedDenials is the number of refusals of requests that all versions allow, by nodes
	// out of touch.
	allowedDenials = 10
	// minLateEnds and maxLateEndShare are the requests that have to outlast their route's
	// time-out for a violation.
	minLateEnds     = 8
	maxLateEndShare = 0.25
	// minAddedRequests is the minimum number of requests on added routes that are compared
	// with those on the first routes, and minAddedShare the share of them to serve, relative
	// to the first routes.
	minAddedRequests = 20
	minAddedShare    = 0.25
)

const (
	findingStale   = "older configuration in force"
	findingRegress = "older configuration after a newer one"
	findingRevoked = "revoked key ran"
	findingDenied  = "refused although all configurations allow it"
	findingForeign = "ran although no configuration allows it"
)

// unusablePeriod is a time in which the store has a configuration that nodes refuse. Nodes
// can know the one before only if they read it at valid or later.
type unusablePeriod struct{ valid, from, until snipeford.Instant }

// storeReturn is a return of the store from a copy. The operator writes its latest
// configuration again at rewritten.
type storeReturn struct{ from, rewritten snipeford.Instant }

type configurationCheck struct {
	versions []*version
	// core are the times in which the store was disturbed.
	core     []span
	returns  []storeReturn
	unusable []unusablePeriod
	// until is the time of the last request.
	until snipeford.Instant
	nodes map[*node]*nodeHistory
	// findings lists violations, and denials those at nodes out of touch. oldFindings
	// counts those of old builds.
	findings    map[string][]string
	denials     []string
	oldFindings map[string]int
	// added and first count the requests on added and first routes at nodes in touch, and
	// lateEnds those beyond their route's time-out.
	added, first served
	lateEnds     served
	// told counts the requests that told something, and those of them at nodes in touch.
	told served
}

func sightingOf(e exchange, record standin.Record) sighting {
	s := sighting{exchange: e, shown: e.ended}
	switch {
	case record.Runs > 0:
		s.outcome, s.service = ranOutcome, record.Service
		s.shown = min(e.ended, record.Arrivals[len(record.Arrivals)-1])
	case e.status == http.StatusNotFound:
		s.outcome = noRouteOutcome
	case e.status == http.StatusUnauthorized, e.status == http.StatusForbidden:
		s.outcome = noKeyOutcome
	}
	return s
}

// isStable reports whether the store was not disturbed in a period, nor shortly before.
func (c *configurationCheck) isStable(from, until snipeford.Instant) bool {
	for _, r := range c.returns {
		// A version that the copy lacks is acknowledged anew.
		if from < r.rewritten.Add(configurationTime) && until >= r.from {
			return false
		}
	}
	return !overlaps(c.core, from.Add(-contactTime), until)
}

// isInTouch reports whether a node was in touch with a stable store in a period.
func (c *configurationCheck) isInTouch(n *nodeHistory, from, until snipeford.Instant) bool {
	for _, u := range c.unusable {
		if from >= u.from && from <= u.until {
			from = min(from, u.valid)
		}
	}
	return c.isStable(from, until) && !n.isDisturbed(from, until)
}

// judge judges all sightings, in the order in which they were seen.
func (c *configurationCheck) judge(sightings []sighting) {
	c.findings, c.oldFindings = map[string][]string{}, map[string]int{}
	slices.SortStableFunc(sightings, func(a, b sighting) int { return cmp.Compare(a.shown, b.shown) })
	for _, s := range sightings {
		n := c.nodes[s.node]
		inTouch := c.isInTouch(n, s.sent, s.ended)
		c.judgeOne(n, s, inTouch)
		if inTouch && !n.isOld(s.sent) {
			c.count(n, s)
		}
	}
}

// firstAllowing returns the index of the first version in a range that allows what the
// node did, or -1.
func (c *configurationCheck) firstAllowing(s sighting, from, end int) int {
	for i := from; i < end; i++ {
		if c.versions[i].allows(s) {
			return i
		}
	}
	return -1
}

func (c *configurationCheck) judgeOne(n *nodeHistory, s sighting, inTouch bool) {
	if s.outcome == unknownOutcome {
		return
	}
	c.told.add(inTouch)
	end := sentBy(c.versions, s.ended)
	if c.isRevoked(s) {
		c.add(n, findingRevoked, s, 0)
	}
	if c.firstAllowing(s, 0, end) < 0 {
		c.judgeForeign(n, s, inTouch)
		return
	}
	slack := rollbackSlack
	if n.isDisturbed(s.sent, s.sent) {
		slack = disturbedRollbackSlack
	}
	incarnation := n.incarnation(s.sent)
	shown := n.boundAt(incarnation, s.sent.Add(-slack))
	required := requiredAt(c.versions, s.sent)
	switch {
	case c.firstAllowing(s, shown, end) < 0:
		c.add(n, findingRegress, s, shown)
	case inTouch && c.firstAllowing(s, required, end) < 0:
		c.add(n, findingStale, s, required)
	}
	latest := n.boundAt(incarnation, s.sent)
	if i := c.firstAllowing(s, latest, end); i > latest {
		n.bounds = append(n.bounds, bound{s.shown, incarnation, i})
	}
}

// judgeForeign judges an outcome that no version so far allows.
func (c *configurationCheck) judgeForeign(n *nodeHistory, s sighting, inTouch bool) {
	switch {
	case s.outcome == ranOutcome:
		c.add(n, findingForeign, s, 0)
	case !c.versions[0].has(s):
		// The request was not proper: its key, or its route, never existed.
	case inTouch || n.isOld(s.sent):
		c.add(n, findingDenied, s, 0)
	default:
		c.denials = append(c.denials, c.describe(n, s, 0))
	}
}

// isRevoked reports whether a request ran too late after its key was taken away, whatever
// the state of its node.
func (c *configurationCheck) isRevoked(s sighting) bool {
	if s.outcome != ranOutcome {
		return false
	}
	had := false
	for _, v := range c.versions {
		has := v.keys[cmp.Or(s.key, firstKey)]
		if had && !has {
			return s.sent > v.acknowledged.Add(revocationTime)
		}
		had = had || has
	}
	return false
}

// count counts requests on added and first routes at nodes in touch, and those that outlast
// their time-out.
func (c *configurationCheck) count(n *nodeHistory, s sighting) {
	required, end := requiredAt(c.versions, s.sent), sentBy(c.versions, s.ended)
	allowed := c.versions[required:end]
	_, isFirst := c.versions[0].routes[s.route]
	switch {
	case slices.ContainsFunc(allowed, func(v *version) bool { return !v.has(s) }):
	case s.route == timedRoute:
		c.countEnd(s, allowed)
	case s.poll:
	case isFirst:
		c.first.add(s.isServed())
	default:
		c.added.add(s.isServed())
		n.added.add(s.isServed())
	}
}

// countEnd counts a request on a route whose time-out it exceeds. Its fields are all
// requests and those that ended too late.
func (c *configurationCheck) countEnd(s sighting, allowed []*version) {
	var longest time.Duration
	for _, v := range allowed {
		longest = max(longest, v.routes[s.route].timeout)
	}
	if s.work.Delay >= longest+timeoutNoticeTime {
		c.lateEnds.add(s.ended.Sub(s.sent) > longest+timeoutNoticeTime)
	}
}

// add records a finding. index is the version that the node had to have.
func (c *configurationCheck) add(n *nodeHistory, kind string, s sighting, index int) {
	if n.isOld(s.sent) {
		c.oldFindings[kind]++
		return
	}
	c.findings[kind] = append(c.findings[kind], c.describe(n, s, index))
}

func (c *configurationCheck) describe(n *nodeHistory, s sighting, index int) string {
	text := fmt.Sprintf("%s at %s, %.3f s: /%s/ with key %q, status %d", s.id, n.name, s.sent.Seconds(), s.route, cmp.Or(s.key, firstKey), s.status)
	if s.outcome == ranOutcome {
		text += " from service " + s.service
	}
	if index > 0 {
		v := c.versions[index]
		text += fmt.Sprintf("; version %d was acknowledged at %.3f s", v.number, v.acknowledged.Seconds())
	}
	return text
}

const printedFindings = 5

func (f *fleet) checkConfigurations(r *Report) {
	now := f.clock.Now()
	f.operator.endUnusableLocked(now)
	c := &configurationCheck{
		versions: f.operator.versions.all(), unusable: f.operator.unusable,
		core: f.storeDisturbances.all(), returns: f.storeReturns.all(), nodes: map[*node]*nodeHistory{},
	}
	for i, n := range f.nodes {
		history, exits := n.configurationHistory(callerName(i), f.plan.OldProgram, now)
		c.nodes[n] = history
		for _, at := range exits {
			if history.isOld(at.Add(-time.Millisecond)) {
				r.addRemark("old build: %s ended by itself at %.3f s", history.name, at.Seconds())
				continue
			}
			r.addViolation("%s ended by itself at %.3f s", history.name, at.Seconds())
		}
	}
	var sightings []sighting
	for _, e := range r.exchanges {
		sightings = append(sightings, sightingOf(e, f.requestLog.Get(e.id)))
		c.until = max(c.until, e.sent)
	}
	c.judge(sightings)
	c.report(r)
	r.addRemark("times count from %s; nodes asked for new versions every %v", f.clock.Wall().Add(-time.Duration(now)).Format("15:04:05.000"), f.pollInterval(0))
	c.reportTimes(r)
}

func (c *configurationCheck) report(r *Report) {
	r.addRemark("%d versions, %d periods with an unusable one; %d disturbances of the store, %d returns from a copy; %d of %d signs at nodes in touch",
		len(c.versions), len(c.unusable), len(c.core), len(c.returns), c.told.begun, c.told.sent)
	worst := &nodeHistory{}
	for _, n := range c.nodes {
		if n.added.sent > 0 && (worst.added.sent == 0 || n.added.share() < worst.added.share()) {
			worst = n
		}
	}
	r.addRemark("added routes served %v from %v after the acknowledgement (least at %s: %v), first routes %v; %d of %d requests outlasted their route's time-out by %v",
		c.added, configurationTime, worst.name, worst.added, c.first, c.lateEnds.begun, c.lateEnds.sent, timeoutNoticeTime)
	counts := fmt.Sprintf("refused although all configurations allow it, at nodes out of touch: %d", len(c.denials))
	for _, kind := range []string{findingStale, findingRegress, findingRevoked, findingDenied, findingForeign} {
		counts += fmt.Sprintf("; %s: %d", kind, len(c.findings[kind]))
	}
	r.addRemark("%s", counts)
	for _, kind := range slices.Sorted(maps.Keys(c.oldFindings)) {
		r.addRemark("old build: %s: %d", kind, c.oldFindings[kind])
	}
	for _, kind := range slices.Sorted(maps.Keys(c.findings)) {
		addFindings(r, kind, c.findings[kind])
	}
	c.reportShares(r)
}

// reportShares adds the violations that are decided by numbers of requests.
func (c *configurationCheck) reportShares(r *Report) {
	if len(c.denials) > allowedDenials {
		addFindings(r, "nodes out of touch: "+findingDenied, c.denials)
	}
	if c.added.sent >= minAddedRequests && c.first.sent > 0 && c.added.share() < minAddedShare*c.first.share() {
		r.addViolation("%v requests on added routes served, %v on first routes", c.added, c.first)
	}
	if c.first.sent >= minSample && c.first.share() < minCompletedShare {
		r.addViolation("%v requests on first routes got a complete response at nodes in touch, want a share of at least %v", c.first, minCompletedShare)
	}
	if c.lateEnds.begun >= minLateEnds && c.lateEnds.share() > maxLateEndShare {
		r.addViolation("%v requests outlasted their route's time-out by %v", c.lateEnds, timeoutNoticeTime)
	}
}

func addFindings(r *Report, kind string, list []string) {
	for i, text := range list {
		if i == printedFindings {
			r.addViolation("%s: %d more", kind, len(list)-printedFindings)
			return
		}
		r.addViolation("%s: %s", kind, text)
	}
}

// spreadTime is the time that a version took to be in force on all nodes.
type spreadTime struct {
	longest time.Duration
	// slowest is the node that took longest, and version the number of the version.
	slowest string
	version int
	from    snipeford.Instant
	// disturbed reports whether the store was disturbed before all nodes had shown the
	// version, or no node was sound, and missing whether a node did not show it.
	disturbed, missing bool
}

// spread returns the time from a moment until all nodes have shown a version. It
// considers the nodes of the new build whose processes and paths were sound all the while.
func (c *configurationCheck) spread(index int, from snipeford.Instant) spreadTime {
	out := spreadTime{disturbed: true, version: c.versions[index].number, from: from}
	for _, n := range c.nodes {
		if n.isOld(from) || n.isDisturbed(from, from) {
			continue
		}
		shown, found := from.Add(configurationTime), false
		incarnation := n.incarnation(from)
		if i := slices.IndexFunc(n.bounds, func(b bound) bool { return b.incarnation == incarnation && b.index >= index }); i >= 0 {
			shown, found = n.bounds[i].at, true
		}
		switch {
		case overlaps(c.core, from.Add(time.Millisecond), shown):
			return spreadTime{disturbed: true}
		case n.isDisturbed(from, shown) || !found && shown > c.until:
			continue
		}
		if d := shown.Sub(from); out.slowest == "" || d > out.longest {
			out.longest, out.slowest = max(d, 0), n.name
		}
		out.disturbed = false
		out.missing = out.missing || !found
	}
	return out
}

// reportTimes adds how long versions took to be in force on all nodes: from their
// acknowledgement, and, for those that were acknowledged while the store was not stable,
// from its return if that is later.
func (c *configurationCheck) reportTimes(r *Report) {
	var sound, returned []spreadTime
	for i := 1; i < len(c.versions); i++ {
		if at := c.versions[i].acknowledged; c.isStable(at, at) {
			sound = append(sound, c.spread(i, at))
		} else {
			returned = append(returned, c.spread(i, c.soundAfter(at)))
		}
	}
	r.addRemark("in force on all nodes while the store is sound: %s", describeTimes(sound))
	r.addRemark("in force on all nodes after the store's return: %s", describeTimes(returned))
}

// soundAfter returns the first time from a moment on at which the store is not disturbed.
func (c *configurationCheck) soundAfter(at snipeford.Instant) snipeford.Instant {
	for _, s := range c.core {
		if s.from <= at && at < s.until {
			return c.soundAfter(s.until)
		}
	}
	for _, back := range c.returns {
		if back.from <= at && at < back.rewritten {
			return c.soundAfter(back.rewritten)
		}
	}
	return at
}

func describeTimes(all []spreadTime) string {
	disturbed := len(all)
	all = slices.DeleteFunc(all, func(t spreadTime) bool { return t.disturbed })
	disturbed -= len(all)
	missing := len(all)
	all = slices.DeleteFunc(all, func(t spreadTime) bool { return t.missing })
	missing -= len(all)
	text := "none"
	if n := len(all); n > 0 {
		slices.SortFunc(all, func(a, b spreadTime) int { return cmp.Compare(a.longest, b.longest) })
		at := func(share float64) time.Duration {
			return all[min(n-1, int(share*float64(n)))].longest.Round(time.Millisecond)
		}
		last := all[n-1]
		text = fmt.Sprintf("p50 %v, p99 %v, most %v of %d (version %d at %s from %.3f s)", at(0.5), at(0.99), at(1), n, last.version, last.slowest, last.from.Seconds())
	}
	return fmt.Sprintf("%s; %d never shown by some node, %d disturbed", text, missing, disturbed)
}
