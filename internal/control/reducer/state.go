// Package reducer makes the control decisions of a node. State takes one event
// at a time and returns effects as data. It reads no clock, draws no random
// numbers and does no input or output, so that the same code runs in a node and
// in virtual time.
//
// A call passes entry.go (admission and choice of the group) and then, at the
// group's home, admission.go (queueing), dispatch.go and reservation.go (choice of the
// replicas and dispatch)
// and attempt.go (end of an attempt). membership.go and homes.go decide which
// node is the home of a group; membership.go also divides the organisations'
// limits between the nodes.
package reducer

import (
	"time"

	"snipeford"
	"snipeford/internal/fleet/lease"
	"snipeford/internal/policy/limit"
	"snipeford/internal/policy/retry"
)

// Intervals of the periodic work, and the timeout of peers.
const (
	// TickInterval is the time between two Ticked events.
	TickInterval = 50 * time.Millisecond

	heartbeatInterval         = 1 * time.Second
	membershipReadInterval    = 1 * time.Second
	loadPollInterval          = 1 * time.Second
	upstreamReadInterval      = 1 * time.Second
	configurationReadInterval = 2 * time.Second
	homeCheckInterval         = 500 * time.Millisecond
	// peerTimeout is how long a peer counts as alive after a heartbeat.
	peerTimeout = 3 * time.Second
)

// Settings holds the identity of this node and the names of its policies.
type Settings struct {
	Member      snipeford.Member
	QueuePolicy string
	RoutePolicy string
	// Standalone makes the node the home of all groups without a lease or the
	// table, as in virtual time.
	Standalone bool
}

// State holds everything that a node's decisions depend on.
type State struct {
	settings      Settings
	configuration snipeford.Configuration
	upstreams     map[snipeford.UpstreamID]snipeford.Upstream
	// upstreamListRead is set once the platform's VM list was read.
	upstreamListRead bool
	groups           map[snipeford.Group]*group
	// sortedGroups holds all groups, sorted by name, so that the order of effects
	// depends on the events alone.
	sortedGroups  []*group
	groupsByModel map[snipeford.Model][]*group
	// entryCalls holds the calls that entered at this node, and pending those
	// of them that have no home yet.
	entryCalls map[snipeford.CallID]*entryCall
	pending    []*entryCall
	// groupByCall maps a call to the group whose home on this node queues or
	// runs it.
	groupByCall map[snipeford.CallID]*group
	// limiters limits the calls of each organisation to this node's share, and
	// shareAllocators divides the limits of the organisations whose allocator
	// node is this node.
	limiters        map[snipeford.Organisation]*limit.Limiter
	shareAllocators map[snipeford.Organisation]*limit.ShareAllocator
	// outputShares holds the learned ratio of response length to allowed length.
	outputShares map[snipeford.Organisation]float64
	retries      retry.Budget
	ownLease     lease.Holder
	leases       lease.View
	members      []snipeford.Member
	peers        map[snipeford.NodeID]peer
	// transferred holds the homes that this node recently transferred to other
	// nodes.
	transferred []homeTransfer
	// tableUp is whether the table responded to the last request.
	tableUp          bool
	tableRespondedAt snipeford.Instant
	// homeGraceUntil is when the grace period ends in which homes may dispatch
	// without a lease after an outage of the table.
	homeGraceUntil snipeford.Instant
	leaving        bool
	next           schedule
	effects        []Effect
}

// homeTransfer is a home that was transferred to another node.
type homeTransfer struct {
	at  snipeford.Instant
	row snipeford.HomeRow
}

// peer is the last heartbeat of another node.
type peer struct {
	receivedAt snipeford.Instant
	heartbeat  snipeford.Heartbeat
}

// schedule holds the times at which the periodic work is next due.
type schedule struct {
	renewal, membership, homes, heartbeat, upstreams, configuration, load snipeford.Instant
}

// due reports whether the time next has come, and if so moves it to now plus
// the interval.
func due(next *snipeford.Instant, now snipeford.Instant, interval time.Duration) bool {
	if now < *next {
		return false
	}
	*next = now.Add(interval)
	return true
}

// New returns the state of a node that has no configuration, upstreams or peers
// yet.
func New(settings Settings) *State {
	return &State{
		settings:        settings,
		upstreams:       map[snipeford.UpstreamID]snipeford.Upstream{},
		groups:          map[snipeford.Group]*group{},
		groupsByModel:   map[snipeford.Model][]*group{},
		entryCalls:      map[snipeford.CallID]*entryCall{},
		groupByCall:     map[snipeford.CallID]*group{},
		limiters:        map[snipeford.Organisation]*limit.Limiter{},
		shareAllocators: map[snipeford.Organisation]*limit.ShareAllocator{},
		outputShares:    map[snipeford.Organisation]float64{},
		peers:           map[snipeford.NodeID]peer{},
	}
}

// Apply applies one event and returns the effects to carry out. The returned
// slice is valid until the next call.
func (s *State) Apply(now snipeford.Instant, e Event) []Effect {
	s.effects = s.effects[:0]
	switch e := e.(type) {
	case Ticked:
		s.tick(now)
	case CallArrived:
		s.callArrived(now, e.Call)
	case CallReturned:
		s.callReturned(now, e)
	case CallEnded:
		s.callEnded(e.Call)
	case CallForwarded:
		s.callForwarded(now, e)
	case CallCancelled:
		s.callCancelled(e.Call)
	case FirstTokenReceived:
		s.firstTokenReceived(now, e.Call)
	case PromptPartStarted:
		s.promptPartStarted(e)
	case AttemptEnded:
		s.attemptEnded(now, e)
	case LoadReported:
		s.loadReported(now, e.Load)
	case CacheEvicted:
		s.cacheEvicted(e)
	default:
		s.applyClusterEvent(now, e)
	}
	return s.effects
}

// applyClusterEvent applies the events about upstreams, the configuration,
// membership and homes.
func (s *State) applyClusterEvent(now snipeford.Instant, e Event) {
	switch e := e.(type) {
	case UpstreamsListed:
		s.upstreamsListed(now, e.Upstreams)
	case ConfigurationRead:
		s.configurationRead(now, e.Configuration)
	case LeaseRenewalEnded:
		s.leaseRenewalEnded(now, e)
	case MembershipRead:
		s.membershipRead(now, e)
	case HomeClaimed:
		s.homeClaimed(now, e)
	case HomeTransferred:
		s.homeTransferred(now, e.Row)
	case HeartbeatReceived:
		s.heartbeatReceived(now, e.Heartbeat)
	case LeaveRequested:
		s.leave()
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) tick(now snipeford.Instant) {
	if !s.settings.Standalone {
		s.tickMembership(now)
		s.tickHomes(now)
	}
	poll := due(&s.next.load, now, loadPollInterval)
	for _, g := range s.sortedGroups {
		if g.dispatcher == nil {
			continue
		}
		if poll {
			s.pollLoads(g)
		}
		s.expire(now, g)
		s.dispatch(now, g)
		g.dispatcher.rebalance(now)
	}
	s.retryPending(now)
}

func (s *State) pollLoads(g *group) {
	for _, r := range g.dispatcher.replicas {
		s.emit(PollLoad{r.upstream})
	}
}

// Ready reports whether a load balancer should send requests to this node: it
// has a configuration, has read the list of upstreams, has read the leases or
// recently received a heartbeat, is not leaving, and is not without access to
// the table while a peer has access.
func (s *State) Ready(now snipeford.Instant) bool {
	known := s.leases.Loaded() || len(s.recentPeers(now)) > 0
	return s.configuration.Version > 0 && s.upstreamListRead && known && !s.leaving && !s.isolatedFromTable(now)
}

// isolatedFromTable reports whether the table responds to at least one peer but
// not to this node: the last heartbeat of a recent peer reports the table as
// reachable, and arrived more than outageDetectionTime after the table's last
// response to this node.
func (s *State) isolatedFromTable(now snipeford.Instant) bool {
	if s.tableUp {
		return false
	}
	for _, p := range s.recentPeers(now) {
		if p.heartbeat.TableReachable && p.receivedAt.Sub(s.tableRespondedAt) > outageDetectionTime {
			return true
		}
	}
	return false
}

// outageDetectionTime is the time after the table's last response within which
// every node has detected an outage and reported it to its peers.
const outageDetectionTime = 3500 * time.Millisecond

// Configuration returns the configuration in force at this node.
func (s *State) Configuration() snipeford.Configuration { return s.configuration }

// RetryCounts returns the numbers of requests and retries that the retry budget
// counted.
func (s *State) RetryCounts() (offered, retried int) { return s.retries.Offered, s.retries.Retried }
