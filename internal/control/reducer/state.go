// Package reducer decides: State takes one event at a time and returns effects
// as data. It reads no clock, draws no random number and does no input or
// output, so that the same code runs in a node and under virtual time.
//
// A call passes entry.go (admission and choice of the group), then, at the
// group's home, group.go (queue and dispatch). membership.go and homes.go
// decide which node is a home, limits.go lends the organisations' limits.
package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/fleet/lease"
	"snipeford/internal/policy/limit"
	"snipeford/internal/policy/retry"
)

// Times of the reducer's own duties.
const (
	// TickInterval is the time between two Ticked events.
	TickInterval = 50 * time.Millisecond

	heartbeatEvery     = 1 * time.Second
	readRowsEvery      = 1 * time.Second
	pollLoadEvery      = 1 * time.Second
	readUpstreamsEvery = 1 * time.Second
	readVersionEvery   = 2 * time.Second
	claimEvery         = 500 * time.Millisecond
	// peerFresh is how long a heartbeat counts as news of the peer.
	peerFresh = 3 * time.Second
)

// Settings says who this node is and which policies it runs.
type Settings struct {
	Member      snipeford.Member
	QueuePolicy string
	RoutePolicy string
	// Standalone makes the node the home of all groups without lease or table, as
	// in virtual time.
	Standalone bool
}

// State is all that a node's decisions rest on.
type State struct {
	settings      Settings
	configuration snipeford.Configuration
	upstreams     map[snipeford.UpstreamID]snipeford.Upstream
	listed        bool
	groups        map[snipeford.Group]*group
	byModel       map[snipeford.Model][]*group
	calls         map[snipeford.CallID]*call
	pending       []*call
	// homed finds the group that dispatches a call.
	homed    map[snipeford.CallID]*group
	accounts map[snipeford.Organisation]*limit.Limiter
	lenders  map[snipeford.Organisation]*limit.ShareAllocator
	outputs  map[snipeford.Organisation]float64
	retries  retry.Budget
	own      lease.Holder
	view     lease.View
	members  []snipeford.Member
	peers    map[snipeford.NodeID]peer
	// handed holds the homes that this node gave away, with the instant.
	handed    []handedHome
	tableUp   bool
	tableSeen snipeford.Instant
	// heldOver is until when homes go on after an outage of the table.
	heldOver snipeford.Instant
	leaving  bool
	due      schedule
	out      []Effect
}

type handedHome struct {
	at  snipeford.Instant
	row snipeford.HomeRow
}

type peer struct {
	heard snipeford.Instant
	beat  snipeford.Heartbeat
}

// schedule holds the instants of the next periodic duties.
type schedule struct {
	renewal, rows, claim, heartbeat, upstreams, version, load snipeford.Instant
}

// due reports whether the duty's time has come, and sets its next time.
func due(at *snipeford.Instant, now snipeford.Instant, every time.Duration) bool {
	if now < *at {
		return false
	}
	*at = now.Add(every)
	return true
}

// New returns the state of a node that knows nothing yet.
func New(settings Settings) *State {
	return &State{
		settings:  settings,
		upstreams: map[snipeford.UpstreamID]snipeford.Upstream{},
		groups:    map[snipeford.Group]*group{},
		byModel:   map[snipeford.Model][]*group{},
		calls:     map[snipeford.CallID]*call{},
		homed:     map[snipeford.CallID]*group{},
		accounts:  map[snipeford.Organisation]*limit.Limiter{},
		lenders:   map[snipeford.Organisation]*limit.ShareAllocator{},
		outputs:   map[snipeford.Organisation]float64{},
		peers:     map[snipeford.NodeID]peer{},
	}
}

// Apply takes in one event and returns what to do. The returned slice is valid
// until the next call.
func (s *State) Apply(now snipeford.Instant, e Event) []Effect {
	s.out = s.out[:0]
	switch e := e.(type) {
	case Ticked:
		s.tick(now)
	case CallArrived:
		s.arrived(now, e.Call)
	case CallReturned:
		s.bounced(now, e)
	case CallEnded:
		s.ended(e.Call)
	case CallForwarded:
		s.offered(now, e)
	case CallCancelled:
		s.withdrawn(e.Call)
	case FirstTokenReceived:
		s.firstToken(now, e.Call)
	case PromptPartStarted:
		s.partStarted(e)
	case AttemptEnded:
		s.attemptEnded(now, e)
	case LoadReported:
		s.loadReported(now, e.Load)
	case CacheEvicted:
		s.cacheEvicted(e)
	default:
		s.applyFleet(now, e)
	}
	return s.out
}

// applyFleet takes in the events that are not about calls.
func (s *State) applyFleet(now snipeford.Instant, e Event) {
	switch e := e.(type) {
	case UpstreamsListed:
		s.upstreamsListed(now, e.Upstreams)
	case ConfigurationRead:
		s.configurationRead(now, e.Configuration)
	case LeaseRenewalEnded:
		s.leaseAnswered(now, e)
	case MembershipRead:
		s.rowsRead(now, e)
	case HomeClaimed:
		s.homeClaimed(now, e)
	case HomeTransferred:
		s.homeHanded(now, e.Row)
	case HeartbeatReceived:
		s.heartbeatHeard(now, e.Heartbeat)
	case LeaveRequested:
		s.leave()
	}
}

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

func (s *State) tick(now snipeford.Instant) {
	if !s.settings.Standalone {
		s.tickMembership(now)
		s.tickHomes(now)
	}
	polled := due(&s.due.load, now, pollLoadEvery)
	for _, g := range s.groups {
		if g.dispatcher == nil {
			continue
		}
		if polled {
			s.pollLoads(g)
		}
		s.expire(now, g)
		s.dispatch(now, g)
		g.dispatcher.arrange(now)
	}
	s.retryPending(now)
}

func (s *State) pollLoads(g *group) {
	for _, r := range g.dispatcher.replicas {
		s.emit(PollLoad{r.upstream})
	}
}

// Ready reports whether the balancer shall send requests: the node has a
// configuration, knows the upstreams and its peers, and is not the only one
// that is cut off from the table.
func (s *State) Ready(now snipeford.Instant) bool {
	known := s.view.Loaded() || len(s.fresh(now)) > 0
	return s.configuration.Version > 0 && s.listed && known && !s.leaving && !s.cutOff(now)
}

// cutOff reports whether the table answers others but not this node: a peer
// that would have noticed an outage by now says that the table answers it.
func (s *State) cutOff(now snipeford.Instant) bool {
	if s.tableUp {
		return false
	}
	for _, p := range s.fresh(now) {
		if p.beat.TableReachable && p.heard.Sub(s.tableSeen) > outageNoticed {
			return true
		}
	}
	return false
}

// outageNoticed is within what time after the table's last answer every node
// has noticed an outage and told its peers.
const outageNoticed = 3500 * time.Millisecond

// Configuration returns the configuration in force at this node.
func (s *State) Configuration() snipeford.Configuration { return s.configuration }

// RetryCounts returns the retry budget's counts.
func (s *State) RetryCounts() (offered, retried int) { return s.retries.Offered, s.retries.Retried }
