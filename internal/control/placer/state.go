// Package placer places requests on model engines. State is a reducer over the
// placement state of all services: it takes events and returns replies as data.
// Loop runs it in a single control goroutine.
package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/policy/placement"
	"snipeford/internal/policy/quarantine"
)

// Event is an input of State.Apply.
type Event interface{ event() }

// PlacementRequested asks for the placement of a request of
// Request.EntryNode.
type PlacementRequested struct{ Request snipeford.PlacementRequest }

// PlacedByOtherNode reports a request that another node has placed.
type PlacedByOtherNode struct{ Call snipeford.PlacedCall }

// FirstEventReceived reports the first event of a request's response stream and
// the engine load that came with it.
type FirstEventReceived struct {
	Service   snipeford.ServiceName
	RequestID snipeford.RequestID
	Load      snipeford.EngineLoad
}

// RequestEnded reports that a request has ended.
type RequestEnded struct {
	Service   snipeford.ServiceName
	RequestID snipeford.RequestID
	End       snipeford.RequestEnd
}

// UpstreamCrashed reports that an engine ended while a request ran on it. Own is set if
// this node received the request, and AtHome if it is the home of the service. Other
// nodes only keep their own reports, for the next home: a node that sees some of the
// requests would suspect those that ran beside the poison request.
type UpstreamCrashed struct {
	Crash       snipeford.UpstreamCrash
	Own, AtHome bool
}

// DirectivesReceived reports what an upstream asks of the nodes in a response. Node is the
// node that got the response, or empty if that is this one.
type DirectivesReceived struct {
	Report snipeford.DirectivesReport
	Node   snipeford.NodeID
}

// HomeTaken reports that this node has become the home of a service.
type HomeTaken struct{ Service snipeford.ServiceName }

// NodeSynced reports what another node knows. Its running requests replace those that
// were reported before.
type NodeSynced struct {
	Node  snipeford.NodeID
	Known Known
}

// Known is what a node reports to a new home of a service.
type Known struct {
	// Calls are the running requests of the node.
	Calls       []snipeford.PlacedCall
	Quarantines []snipeford.Quarantine    `json:",omitempty"`
	Crashes     []snipeford.UpstreamCrash `json:",omitempty"`
	Limits      []ServiceLimits           `json:",omitempty"`
	Pauses      []ServicePauses           `json:",omitempty"`
	Paces       []ServicePaces            `json:",omitempty"`
	// Usage is what organisations used by requests of the node.
	Usage []ServiceUsage `json:",omitempty"`
	// Leaving are the upstreams that have said in a response that they leave. They are for
	// the directory of the home.
	Leaving []snipeford.LeavingUpstream `json:",omitempty"`
}

// NodeLost reports that another node is gone or has been disconnected for too
// long.
type NodeLost struct{ Node snipeford.NodeID }

// DirectoryChanged reports a new view of the directory.
type DirectoryChanged struct{ View *directory.View }

// Ticked is sent every tickInterval.
type Ticked struct{}

func (PlacementRequested) event() {}
func (PlacedByOtherNode) event()  {}
func (FirstEventReceived) event() {}
func (RequestEnded) event()       {}
func (UpstreamCrashed) event()    {}
func (DirectivesReceived) event() {}
func (HomeTaken) event()          {}
func (NodeSynced) event()         {}
func (NodeLost) event()           {}
func (DirectoryChanged) event()   {}
func (Ticked) event()             {}

// PlacementReply is a placement to send to Node, the entry node of the request. Any
// event may have replies, because queued requests are reconsidered at each event.
type PlacementReply struct {
	Node      snipeford.NodeID
	Placement snipeford.Placement
}

// State holds the placement state of all services with model engines.
type State struct {
	// Node seeds the order of engines, so that nodes that place requests without
	// a reachable home of the service prefer different engines.
	Node     snipeford.NodeID
	services map[snipeford.ServiceName]*service
	// sorted holds the services by name. Loops over them have the same order in all runs.
	sorted  []*service
	replies []PlacementReply
	changes []snipeford.Quarantine
	watches []Watch
	// paceChanges are the changes of paces that the last event led to.
	paceChanges []PaceChange
	// pacedUpstreams is reused by updatePaces.
	pacedUpstreams []placement.PacedUpstream
	// summarizedAt is the time of the latest summaries.
	summarizedAt snipeford.Instant
	// reports are the crashes that this node has reported.
	reports []report
	// leaving are the upstreams that have said in a response that they leave.
	leaving []snipeford.LeavingUpstream
}

// service is the state of one service with model engines.
type service struct {
	*placement.State
	name       snipeford.ServiceName
	quarantine quarantine.State
	// hasEngines is set if the home places all requests of the service, so that no
	// permits are needed.
	hasEngines bool
	// watchedKeys, and paced for the upstreams with a pace, are the latest lists of a service
	// without engines for the other nodes.
	watchedKeys []snipeford.PrefixPart
	paced       []snipeford.UpstreamID
}

// Apply applies one event and returns the replies to send. The returned slice
// is valid until the next call.
func (s *State) Apply(now snipeford.Instant, e Event) []PlacementReply {
	s.replies, s.changes, s.watches, s.paceChanges = s.replies[:0], s.changes[:0], s.watches[:0], s.paceChanges[:0]
	switch e := e.(type) {
	case PlacementRequested:
		s.requestPlacement(now, e.Request)
	case PlacedByOtherNode:
		s.addPlaced(now, e.Call)
	case FirstEventReceived:
		s.service(e.Service).First(now, e.RequestID, e.Load)
	case RequestEnded:
		s.endRequest(now, e)
	case UpstreamCrashed:
		s.reportCrash(now, e)
	case NodeSynced:
		s.mergeKnown(now, e)
	case HomeTaken:
		s.recordOwnReports(now, e.Service)
	case DirectivesReceived:
		s.recordDirectives(now, e.Report)
		s.recordPause(now, e)
	case NodeLost:
		for _, service := range s.sorted {
			service.KeepMemory(now, e.Node)
		}
		s.forgetPlacedCalls(now, e.Node)
		for _, service := range s.sorted {
			service.RemoveQueued(e.Node)
			service.ForgetPausesOf(e.Node)
		}
	case DirectoryChanged:
		s.leaving = e.View.Leaving
		s.updatePaces(now, e.View)
		s.updateDirectory(e.View)
		s.retainLimits(now, e.View)
		s.mergeQuarantines(now, e.View.Quarantines)
	case Ticked:
		for _, service := range s.sorted {
			service.RemoveStale(now)
			service.ForgetPauses(now)
			service.EndQuietPaces(now)
			service.TakeLasting(now, quarantine.SurvivalTime, func(r snipeford.PlacementRequest, began snipeford.Instant) {
				service.quarantine.Decoding(r.PrefixParts, began)
			})
			service.quarantine.Tick(now)
		}
	}
	for _, service := range s.sorted {
		s.addReplies(service.Next(now))
		s.applyQuarantines(service)
		pacesChanged := s.takePaceChanges(service)
		keys, changed := service.quarantine.Watched()
		if changed {
			service.watchedKeys = keys
		}
		if (changed || pacesChanged) && !service.hasEngines {
			s.watches = append(s.watches, Watch{service.name, service.watchedKeys, service.paced})
		}
	}
	for _, reply := range s.replies {
		if reply.Placement.Refused {
			s.endSuspect(reply.Placement.RequestID)
		}
	}
	return s.replies
}

// mergeKnown merges what another node knows into the state of a home.
func (s *State) mergeKnown(now snipeford.Instant, e NodeSynced) {
	s.replacePlacedCalls(now, e)
	s.mergeQuarantines(now, e.Known.Quarantines)
	for _, c := range e.Known.Crashes {
		s.recordCrash(now, c)
	}
	s.mergeLimits(now, e.Known.Limits)
	s.mergePauses(now, e.Node, e.Known.Pauses)
	s.mergePaces(now, e.Known.Paces)
	s.mergeUsage(now, e.Node, e.Known.Usage)
}

// requestPlacement places a request or, if it has to wait, replies that it is
// queued.
func (s *State) requestPlacement(now snipeford.Instant, request snipeford.PlacementRequest) {
	if refusal := s.admit(now, request); refusal.Cause != "" {
		s.replies = append(s.replies, PlacementReply{request.EntryNode, refusedPlacement(request, refusal)})
		return
	}
	if request.Permit != "" {
		s.permit(now, request)
		return
	}
	placed := s.service(request.Service).Ask(now, request)
	s.addReplies(placed)
	if !slices.ContainsFunc(placed, func(p snipeford.Placement) bool { return p.RequestID == request.RequestID }) {
		s.replies = append(s.replies, PlacementReply{request.EntryNode, snipeford.Placement{RequestID: request.RequestID, Queued: true}})
	}
}

func (s *State) addReplies(placed []snipeford.Placement) {
	for _, p := range placed {
		s.replies = append(s.replies, PlacementReply{p.EntryNode, p})
	}
}

func (s *State) service(name snipeford.ServiceName) *service {
	if s.services == nil {
		s.services = map[snipeford.ServiceName]*service{}
	}
	p, ok := s.services[name]
	if !ok {
		p = &service{State: placement.New(), name: name, quarantine: quarantine.State{Service: name}}
		s.services[name] = p
		i, _ := slices.BinarySearchFunc(s.sorted, name, func(p *service, name snipeford.ServiceName) int { return cmp.Compare(p.name, name) })
		s.sorted = slices.Insert(s.sorted, i, p)
	}
	return p
}

func (s *State) replacePlacedCalls(now snipeford.Instant, e NodeSynced) {
	s.forgetPlacedCalls(now, e.Node)
	for _, call := range e.Known.Calls {
		s.service(call.Request.Service).AddPlaced(now, call)
	}
}

func (s *State) forgetPlacedCalls(now snipeford.Instant, node snipeford.NodeID) {
	for _, service := range s.sorted {
		service.RemovePlaced(now, node)
	}
}

func (s *State) updateDirectory(v *directory.View) {
	if v.Plan == nil {
		return
	}
	for name, list := range v.Usable {
		profile := v.Plan.Service(name)
		if profile.Engine == nil {
			continue
		}
		service := s.service(name)
		service.hasEngines = true
		service.Configure(*profile.Engine, profile.ColdRequestsPerSecond)
		service.SetCandidates(s.candidates(list))
	}
	for _, service := range s.sorted {
		if _, ok := v.Usable[service.name]; !ok {
			service.SetCandidates(nil)
		}
	}
}

func (s *State) candidates(list []directory.Upstream) []placement.Candidate {
	out := make([]placement.Candidate, 0, len(list))
	for _, u := range list {
		out = append(out, placement.Candidate{ID: u.ID, Domain: u.Domain, ColdUntil: u.ColdUntil})
	}
	rank := func(c placement.Candidate) uint64 { return xxhash.Sum64String(string(s.Node) + "|" + string(c.ID)) }
	slices.SortFunc(out, func(a, b placement.Candidate) int { return cmp.Compare(rank(a), rank(b)) })
	return out
}

// Known returns what this node reports to a new home.
func (s *State) Known(now snipeford.Instant) Known {
	known := Known{Quarantines: s.Quarantines(), Crashes: s.repeatedReports(now), Limits: s.statedLimits(now), Pauses: s.ownPauses(now), Paces: s.statedPaces(now), Usage: s.ownUsage(now), Leaving: s.leaving}
	for _, service := range s.sorted {
		known.Calls = slices.Concat(known.Calls, service.Placed(now, s.Node))
	}
	return known
}

// tickInterval is the time between two Ticked events. Queued requests are
// reconsidered at each event, and therefore at least this often.
const tickInterval = 25 * time.Millisecond
