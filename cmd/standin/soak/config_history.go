package soak

import (
	"cmp"
	"slices"
	"syscall"
	"time"

	"snipeford"
	"snipeford/platform/standin"
)

// Routes and keys that requests use beside those of the configurations.
const (
	firstKey   = "good"
	badKey     = "bad"
	neverRoute = "never"
	neverKey   = "never"
	timedRoute = "timed"
	// markerRoute begins the names of the routes that versions have of their own, and
	// badRoute those of routes that one version has in an invalid form.
	markerRoute = "m"
	badRoute    = "bad"
)

// version is a configuration that nodes have to accept, at least in part.
type version struct {
	number int
	// routes are the routes by name. A node may drop one with damage, keep the one that it
	// had, or accept it.
	routes map[string]standin.Route
	keys   map[string]bool
	// routeNames and keyNames list the routes and keys, the latest last.
	routeNames, keyNames []string
	// sent and acknowledged are the times of its first write.
	sent, acknowledged snipeford.Instant
	body               []byte
}

// outcome is what a response, or the replica, tells about the configuration in force.
type outcome int

const (
	// unknownOutcome tells nothing, as most failures do.
	unknownOutcome outcome = iota
	// ranOutcome means that a replica ran the request.
	ranOutcome
	// noRouteOutcome and noKeyOutcome mean that the node knew no such route or key.
	noRouteOutcome
	noKeyOutcome
)

// sighting is what a request found out about its node.
type sighting struct {
	exchange
	outcome outcome
	// shown is the time at which the outcome was seen, by the replica or else by the client.
	shown   snipeford.Instant
	service string
}

// allows reports whether the node may do as it did while the version is in force.
func (v *version) allows(s sighting) bool {
	route, found := v.routes[s.route]
	switch s.outcome {
	case ranOutcome:
		return found && (route.Damage != nil || route.Service == s.service) && v.keys[cmp.Or(s.key, firstKey)]
	case noRouteOutcome:
		return !found || route.Damage != nil
	case noKeyOutcome:
		return !v.keys[cmp.Or(s.key, firstKey)]
	}
	return true
}

// has reports whether the version has the request's route and key without doubt.
func (v *version) has(s sighting) bool {
	route, found := v.routes[s.route]
	return found && route.Damage == nil && v.keys[cmp.Or(s.key, firstKey)]
}

// sentBy returns the number of versions that the operator had begun to send at a time.
func sentBy(versions []*version, at snipeford.Instant) int {
	n := len(versions)
	for n > 0 && versions[n-1].sent > at {
		n--
	}
	return n
}

// requiredAt returns the index of the oldest version that nodes in touch may use at a time.
func requiredAt(versions []*version, at snipeford.Instant) int {
	i := len(versions) - 1
	for i > 0 && versions[i].acknowledged.Add(configurationTime) > at {
		i--
	}
	return i
}

type span struct{ from, until snipeford.Instant }

func overlaps(spans []span, from, until snipeford.Instant) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= until && s.until >= from })
}

// bound is the index of a version that an incarnation of a node has shown to have.
type bound struct {
	at          snipeford.Instant
	incarnation int
	index       int
}

type nodeHistory struct {
	name string
	// disturbed are the times in which its process or its path to the store was disturbed.
	disturbed []span
	starts    []processStart
	bounds    []bound
	added     served
}

type processStart struct {
	at  snipeford.Instant
	old bool
}

// incarnation returns the index of the process that runs at a time.
func (n *nodeHistory) incarnation(at snipeford.Instant) int {
	i := len(n.starts) - 1
	for i > 0 && n.starts[i].at > at {
		i--
	}
	return i
}

func (n *nodeHistory) isOld(at snipeford.Instant) bool {
	i := n.incarnation(at)
	return i >= 0 && n.starts[i].old
}

func (n *nodeHistory) isDisturbed(from, until snipeford.Instant) bool {
	return overlaps(n.disturbed, from.Add(-contactTime), until)
}

// boundAt returns the newest version that an incarnation had shown at a time.
func (n *nodeHistory) boundAt(incarnation int, at snipeford.Instant) int {
	index := 0
	for i := len(n.bounds) - 1; i >= 0 && n.bounds[i].incarnation >= incarnation; i-- {
		if b := n.bounds[i]; b.at <= at && b.incarnation == incarnation {
			index = max(index, b.index)
		}
	}
	return index
}

// ranOld reports whether the node ran the program of an earlier build at a time.
func (n *node) ranOld(oldProgram string, at snipeford.Instant) bool {
	old := false
	for _, d := range n.disturbed.all() {
		if d.signal == 0 && d.at <= at {
			old = oldProgram != "" && d.program == oldProgram
		}
	}
	return old
}

func (n *node) setProgram(program string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program = program
}

// configurationHistory returns the node's disturbances and starts, given the periods in
// which its path to the store was disturbed. It also returns the ends
// of processes that no signal explains.
func (n *node) configurationHistory(name, oldProgram string, storeCuts []span, until snipeford.Instant) (*nodeHistory, []snipeford.Instant) {
	h := &nodeHistory{name: name, disturbed: storeCuts}
	list := n.disturbed.all()
	for i, d := range list {
		s := span{d.at, until}
		end := slices.IndexFunc(list[i:], func(next disturbance) bool {
			return next.signal == 0 || d.signal == syscall.SIGSTOP && next.signal == syscall.SIGCONT
		})
		if end >= 0 {
			s.until = list[i+end].at
		}
		if d.signal == 0 {
			h.starts = append(h.starts, processStart{d.at, oldProgram != "" && d.program == oldProgram})
		}
		if d.signal != syscall.SIGCONT {
			h.disturbed = append(h.disturbed, s)
		}
	}
	var unexplained []snipeford.Instant
	for _, at := range n.exits.all() {
		if !overlaps(h.disturbed, at.Add(-time.Millisecond), at) {
			unexplained = append(unexplained, at)
			h.disturbed = append(h.disturbed, span{at, until})
		}
	}
	return h, unexplained
}
