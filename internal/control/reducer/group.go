package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/queue"
	"snipeford/internal/policy/route"
)

// Constants of homes.
const (
	// initialPrefillRate is the prefill rate assumed of an engine before one
	// was observed.
	initialPrefillRate snipeford.TokensPerSecond = 50_000
	// prefillRateSmoothing is the weight of the newest observed prefill rate.
	prefillRateSmoothing = 0.1
	// minRateSampleTokens is the shortest prompt from which a prefill rate is
	// learned.
	minRateSampleTokens snipeford.Tokens = 8_192
	// arrivalRateSmoothing is the weight of the newest second in a band's
	// arrival rate.
	arrivalRateSmoothing = 0.2
	// serviceRateSmoothing is the weight of the newest second in a band's
	// service rate.
	serviceRateSmoothing = 0.1
	rebalanceInterval    = 1 * time.Second
	// firstTokenOverhead is the time to the first token at an idle engine
	// beyond the prefill itself.
	firstTokenOverhead = 50 * time.Millisecond
)

// group is this node's view of the replicas of one model in one failure domain.
// The dispatcher is set only while this node is the group's home.
type group struct {
	name    snipeford.Group
	homeRow snipeford.HomeRow
	summary snipeford.GroupSummary
	// sentTokens and sentCalls count what this entry node sent to the home
	// since its last summary.
	sentTokens snipeford.Tokens
	sentCalls  int
	// memory is the sum of the replicas' memory in the platform's list of VMs.
	memory     snipeford.Tokens
	dispatcher *dispatcher
}

// dispatcher is the state of a group's home.
type dispatcher struct {
	fence    snipeford.FencingToken
	queue    snipeford.Queue
	router   snipeford.Router
	affinity route.Affinity
	replicas []*replica
	// views are the replicas as the router sees them.
	views   []*snipeford.Replica
	running map[snipeford.CallID]*attempt
	calls   map[snipeford.CallID]snipeford.Call
	// arrivedTokens is the offered prompt work of each band since rebalancedAt,
	// and arrivalRate its smoothed rate.
	arrivedTokens [snipeford.BandCount]snipeford.Tokens
	arrivalRate   [snipeford.BandCount]snipeford.TokensPerSecond
	rebalancedAt  snipeford.Instant
	// dispatchedTokens is the work of each band dispatched since rebalancedAt,
	// and serviceRate the smoothed rate at which a band is served while calls
	// of it are queued.
	dispatchedTokens [snipeford.BandCount]snipeford.Tokens
	serviceRate      [snipeford.BandCount]snipeford.TokensPerSecond
	// backloggedSeconds counts the seconds in a row in which each band had
	// queued calls.
	backloggedSeconds [snipeford.BandCount]int
	// usage is each organisation's offered work, which decays with
	// usageHalfLife. usages holds the same in the order of the first calls, so that sums
	// are equal in all runs.
	usage  map[snipeford.Organisation]*usage
	usages []*usage
	// reservedReplicas are the replicas on which memory is reserved for
	// reservingCall, a queued call with a large prompt.
	reservedReplicas []*replica
	reservingCall    *snipeford.QueuedCall
}

func (s *State) newDispatcher(name snipeford.Group, fence snipeford.FencingToken) *dispatcher {
	queueName, routeName := s.settings.QueuePolicy, s.settings.RoutePolicy
	if IsService(name) {
		routeName = "LeastOutstanding"
	}
	// The names were validated at startup, so there are no errors.
	q, _ := queue.Table.New(queueName)
	r, _ := route.Table.New(routeName)
	return &dispatcher{
		fence:   fence,
		queue:   q,
		router:  r,
		running: map[snipeford.CallID]*attempt{},
		calls:   map[snipeford.CallID]snipeford.Call{},
		usage:   map[snipeford.Organisation]*usage{},
	}
}

func (d *dispatcher) usableCount() int {
	n := 0
	for _, r := range d.replicas {
		if r.Usable {
			n++
		}
	}
	return n
}

func (d *dispatcher) largestMemory() snipeford.Tokens {
	var n snipeford.Tokens
	for _, r := range d.replicas {
		if r.Usable {
			n = max(n, r.Memory)
		}
	}
	return n
}

// fits reports whether the group's replicas together have enough memory for the
// call. A group whose memory is not known fits all calls.
func (g *group) fits(c snipeford.Call) bool {
	return g.memory == 0 || c.Prompt+c.MaxOutput <= g.memory
}

// cost returns the cost of a call at the group: its expected wait, in tokens of
// one replica's prompt work.
func (g *group) cost(now snipeford.Instant, c snipeford.Call) snipeford.Tokens {
	summary := g.summary
	if g.dispatcher != nil {
		summary = g.summarize(now)
	}
	cost := summary.ShortPromptCost
	if snipeford.BandOf(c.Prompt) != snipeford.BandShort {
		cost = (summary.Backlog + g.sentTokens) / snipeford.Tokens(max(1, summary.WarmReplicas))
	}
	if summary.FreeSlots <= g.sentCalls {
		cost += fullWindowCost
	}
	if summary.WarmReplicas == 0 {
		// A cold engine is slow, and slower the longer the prompt is.
		cost += c.Prompt
	}
	return cost
}

// summarize returns the summary of the group that heartbeats carry to the entry
// nodes.
func (g *group) summarize(now snipeford.Instant) snipeford.GroupSummary {
	d := g.dispatcher
	out := snipeford.GroupSummary{Group: g.name, Fence: d.fence, Backlog: d.queue.Work()}
	lowest := snipeford.Tokens(-1)
	for _, r := range d.replicas {
		if !r.Usable {
			continue
		}
		r.refresh(now)
		out.UsableReplicas++
		out.FreeSlots += max(0, r.Window-r.Running)
		if !r.Cold {
			out.WarmReplicas++
		}
		out.TotalMemory += r.Memory
		out.LargestMemory = max(out.LargestMemory, r.Memory)
		out.PrefillRate += r.PrefillRate
		out.Backlog += r.PrefillBacklog
		if cost := d.shortPromptCost(r); lowest < 0 || cost < lowest {
			lowest = cost
		}
	}
	out.ShortPromptCost = max(lowest, 0)
	return out
}

// fullWindowCost is added to a call's cost where no slot is free: to the cost of
// a group for prompts of every length, and to that of a replica for short
// prompts. It is one second of prefill at initialPrefillRate.
const fullWindowCost snipeford.Tokens = 50_000

// shortPromptCost returns the cost of a short prompt at a replica, in tokens.
func (d *dispatcher) shortPromptCost(r *replica) snipeford.Tokens {
	cost := d.router.ShortPromptCost(&r.Replica)
	if r.Running >= r.Window {
		cost += fullWindowCost
	}
	return cost
}

// trackCall adds a call to the group's home and to groupByCall.
func (s *State) trackCall(g *group, c snipeford.Call) {
	g.dispatcher.calls[c.ID] = c
	s.groupByCall[c.ID] = g
}

// untrackCall removes a call from the group's home and from groupByCall, and
// cancels its memory reservation.
func (s *State) untrackCall(g *group, id snipeford.CallID) {
	g.dispatcher.cancelReservation(id)
	delete(g.dispatcher.calls, id)
	delete(s.groupByCall, id)
}

// findAttempt returns the group that runs or queues a call, and the call's
// running attempt, if any.
func (s *State) findAttempt(id snipeford.CallID) (*group, *attempt) {
	g := s.groupByCall[id]
	if g == nil {
		return nil, nil
	}
	return g, g.dispatcher.running[id]
}

// groupOf returns the group of an engine or of a plain service's replica.
func groupOf(u snipeford.Upstream) snipeford.Group {
	if u.Kind == snipeford.KindService {
		return snipeford.Group{Model: snipeford.ServiceModel(u.Service), Domain: u.Domain}
	}
	return u.Group()
}
