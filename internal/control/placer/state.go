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

// RequestEnded reports that a request has ended. FaultUpstream names the
// upstream that made it fail if that is another one than the request ran on.
type RequestEnded struct {
	Service       snipeford.ServiceName
	RequestID     snipeford.RequestID
	Failed        bool
	FaultUpstream snipeford.UpstreamID
}

// NodeSynced reports all running requests of another node. They replace those
// that were reported before.
type NodeSynced struct {
	Node  snipeford.NodeID
	Calls []snipeford.PlacedCall
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
	services map[snipeford.ServiceName]*placement.State
	replies  []PlacementReply
}

// Apply applies one event and returns the replies to send. The returned slice
// is valid until the next call.
func (s *State) Apply(now snipeford.Instant, e Event) []PlacementReply {
	s.replies = s.replies[:0]
	switch e := e.(type) {
	case PlacementRequested:
		s.requestPlacement(now, e.Request)
	case PlacedByOtherNode:
		s.placementState(e.Call.Request.Service).AddPlaced(now, e.Call)
	case FirstEventReceived:
		s.placementState(e.Service).First(now, e.RequestID, e.Load)
	case RequestEnded:
		s.placementState(e.Service).End(now, e.RequestID, e.Failed, e.FaultUpstream)
	case NodeSynced:
		s.replacePlacedCalls(now, e)
	case NodeLost:
		s.forgetPlacedCalls(now, e.Node)
		for _, service := range s.services {
			service.RemoveQueued(e.Node)
		}
	case DirectoryChanged:
		s.updateDirectory(e.View)
	case Ticked:
		for _, service := range s.services {
			service.RemoveStale(now)
		}
	}
	for _, service := range s.services {
		s.addReplies(service.Next(now))
	}
	return s.replies
}

// requestPlacement places a request or, if it has to wait, replies that it is
// queued.
func (s *State) requestPlacement(now snipeford.Instant, request snipeford.PlacementRequest) {
	placed := s.placementState(request.Service).Ask(now, request)
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

func (s *State) placementState(name snipeford.ServiceName) *placement.State {
	if s.services == nil {
		s.services = map[snipeford.ServiceName]*placement.State{}
	}
	p, ok := s.services[name]
	if !ok {
		p = placement.New()
		s.services[name] = p
	}
	return p
}

func (s *State) replacePlacedCalls(now snipeford.Instant, e NodeSynced) {
	s.forgetPlacedCalls(now, e.Node)
	for _, call := range e.Calls {
		s.placementState(call.Request.Service).AddPlaced(now, call)
	}
}

func (s *State) forgetPlacedCalls(now snipeford.Instant, node snipeford.NodeID) {
	for _, service := range s.services {
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
		service := s.placementState(name)
		service.Configure(*profile.Engine, profile.ColdRequestsPerSecond)
		service.SetCandidates(s.candidates(list))
	}
	for name, service := range s.services {
		if _, ok := v.Usable[name]; !ok {
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

// PlacedCalls returns the running requests of an entry node.
func (s *State) PlacedCalls(now snipeford.Instant, node snipeford.NodeID) []snipeford.PlacedCall {
	var out []snipeford.PlacedCall
	for _, service := range s.services {
		out = slices.Concat(out, service.Placed(now, node))
	}
	return out
}

// tickInterval is the time between two Ticked events. Queued requests are
// reconsidered at each event, and therefore at least this often.
const tickInterval = 25 * time.Millisecond
