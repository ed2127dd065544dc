package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/queue"
	"snipeford/internal/policy/route"
)

// Constants of the home role.
const (
	// firstRate is the prefill speed assumed of an engine before it was seen.
	firstRate snipeford.TokensPerSecond = 50_000
	// rateSmoothing is the weight of the newest observed prefill speed.
	rateSmoothing = 0.1
	// rateFrom is the least prompt from which a prefill speed is learned.
	rateFrom snipeford.Tokens = 8_192
	// loadSmoothing is the weight of the newest second in a band's load.
	loadSmoothing = 0.2
	// paceSmoothing is the weight of the newest second in the group's pace.
	paceSmoothing = 0.1
	arrangeEvery  = 1 * time.Second
	// firstTokenGrace is what an idle engine takes beyond the prefill itself.
	firstTokenGrace = 50 * time.Millisecond
)

// group is the replicas of one model in one failure domain, as this node sees
// them. The dispatcher is set only while this node is the group's home.
type group struct {
	name    snipeford.Group
	row     snipeford.HomeRow
	summary snipeford.GroupSummary
	// sent and sentCalls count what this entry sent since the last summary.
	sent      snipeford.Tokens
	sentCalls int
	// memory is the replicas' memory together, by the platform's list.
	memory     snipeford.Tokens
	dispatcher *dispatcher
}

// dispatcher is the state by which a home decides for its group.
type dispatcher struct {
	fence    snipeford.FencingToken
	queue    snipeford.Queue
	router   snipeford.Router
	affinity route.Affinity
	replicas []*replica
	views    []*snipeford.Replica
	running  map[snipeford.CallID]*running
	calls    map[snipeford.CallID]snipeford.Call
	// arriving is the offered work of each band since arranged, and load the
	// learned rate of it.
	arriving [snipeford.BandCount]snipeford.Tokens
	load     [snipeford.BandCount]snipeford.TokensPerSecond
	arranged snipeford.Instant
	// sent is the work of each band dispatched since arranged, and pace the
	// learned rate at which a band is served while some of it waits.
	sent [snipeford.BandCount]snipeford.Tokens
	pace [snipeford.BandCount]snipeford.TokensPerSecond
	// pressed counts the seconds for which some of a band has waited.
	pressed [snipeford.BandCount]int
	// usage is each organisation's offered work, halved every usageHalfLife.
	usage map[snipeford.Organisation]*usage
	// claimed holds the replicas that a prompt larger than one engine waits for.
	claimed  []*replica
	claimant *snipeford.QueuedCall
}

func (s *State) newDispatcher(name snipeford.Group, fence snipeford.FencingToken) *dispatcher {
	queueName, routeName := s.settings.QueuePolicy, s.settings.RoutePolicy
	if IsService(name) {
		routeName = "LeastOutstanding"
	}
	// The settings were checked at the start, so that both names are known.
	q, _ := queue.Table.New(queueName)
	r, _ := route.Table.New(routeName)
	return &dispatcher{
		fence:   fence,
		queue:   q,
		router:  r,
		running: map[snipeford.CallID]*running{},
		calls:   map[snipeford.CallID]snipeford.Call{},
		usage:   map[snipeford.Organisation]*usage{},
	}
}

func (d *dispatcher) usable() int {
	n := 0
	for _, r := range d.replicas {
		if r.Usable {
			n++
		}
	}
	return n
}

func (d *dispatcher) largest() snipeford.Tokens {
	var n snipeford.Tokens
	for _, r := range d.replicas {
		if r.Usable {
			n = max(n, r.Memory)
		}
	}
	return n
}

// holds reports whether the group's replicas together have the memory.
func (g *group) holds(c snipeford.Call) bool {
	return g.memory == 0 || c.Prompt+c.MaxOutput <= g.memory
}

// cost returns the wait of a call in tokens of one replica's work.
func (g *group) cost(now snipeford.Instant, c snipeford.Call) snipeford.Tokens {
	summary := g.summary
	if g.dispatcher != nil {
		summary = g.summarize(now)
	}
	cost := summary.ShortPromptCost
	if snipeford.BandOf(c.Prompt) != snipeford.BandShort {
		cost = (summary.Backlog + g.sent) / snipeford.Tokens(max(1, summary.WarmReplicas))
	}
	if summary.FreeSlots <= g.sentCalls {
		cost += fullWindow
	}
	if summary.WarmReplicas == 0 {
		// A cold engine is slow, the more so the longer the prompt.
		cost += c.Prompt
	}
	return cost
}

// summarize returns what the home tells the entries.
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
		if wait := d.shortWait(r); lowest < 0 || wait < lowest {
			lowest = wait
		}
	}
	out.ShortPromptCost = max(lowest, 0)
	return out
}

// fullWindow is what a short prompt is told to wait, in tokens, where the
// replica's window is full.
const fullWindow snipeford.Tokens = 50_000

// shortWait returns the wait of a short prompt at a replica, in tokens.
func (d *dispatcher) shortWait(r *replica) snipeford.Tokens {
	wait := d.router.ShortPromptCost(&r.Replica)
	if r.Running >= r.Window {
		wait += fullWindow
	}
	return wait
}

// accept and forget keep the dispatcher's calls and the index of them.
func (s *State) accept(g *group, c snipeford.Call) {
	g.dispatcher.calls[c.ID] = c
	s.homed[c.ID] = g
}

func (s *State) forget(g *group, id snipeford.CallID) {
	g.dispatcher.unclaim(id)
	delete(g.dispatcher.calls, id)
	delete(s.homed, id)
}

// find returns the group that dispatches a call, and its running attempt.
func (s *State) find(id snipeford.CallID) (*group, *running) {
	g := s.homed[id]
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
