// Package placer runs the placement of requests to model engines: one reducer
// over all events, with effects as data, in one control goroutine.
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

// Event is one thing that happened.
type Event interface{ event() }

// PlacementRequested wants a place for a request of Ask.Node.
type PlacementRequested struct{ Request snipeford.PlacementRequest }

// PlacedRemotely says that a request of this node was placed elsewhere.
type PlacedRemotely struct{ Call snipeford.PlacedCall }

// FirstEventReceived says that a request's first event came.
type FirstEventReceived struct {
	Service   snipeford.ServiceName
	RequestID snipeford.RequestID
	Load      snipeford.EngineLoad
}

// RequestEnded says that a request is over. Fault may name the upstream that failed
// it, where that is not the one it ran on.
type RequestEnded struct {
	Service       snipeford.ServiceName
	RequestID     snipeford.RequestID
	Failed        bool
	FaultUpstream snipeford.UpstreamID
}

// NodeSynced brings all running requests of another node.
type NodeSynced struct {
	Node  snipeford.NodeID
	Calls []snipeford.PlacedCall
}

// NodeLost says that another node has not been heard of for long.
type NodeLost struct{ Node snipeford.NodeID }

// DirectoryChanged brings a new view of the directory.
type DirectoryChanged struct{ View *directory.View }

// Ticked comes every tickEvery.
type Ticked struct{}

func (PlacementRequested) event() {}
func (PlacedRemotely) event()     {}
func (FirstEventReceived) event() {}
func (RequestEnded) event()       {}
func (NodeSynced) event()         {}
func (NodeLost) event()           {}
func (DirectoryChanged) event()   {}
func (Ticked) event()             {}

// PlacementReply is the effect of Asked: the answer for the asking node.
type PlacementReply struct {
	Node      snipeford.NodeID
	Placement snipeford.Placement
}

// State knows the engines of all services.
type State struct {
	// Node shuffles the order of engines, so that nodes that decide by
	// themselves prefer different ones.
	Node     snipeford.NodeID
	services map[snipeford.ServiceName]*placement.State
	out      []PlacementReply
}

// Apply takes in one event. The result is valid until the next call.
func (s *State) Apply(now snipeford.Instant, e Event) []PlacementReply {
	s.out = s.out[:0]
	switch e := e.(type) {
	case PlacementRequested:
		s.ask(now, e.Request)
	case PlacedRemotely:
		s.service(e.Call.Request.Service).AddPlaced(now, e.Call)
	case FirstEventReceived:
		s.service(e.Service).First(now, e.RequestID, e.Load)
	case RequestEnded:
		s.service(e.Service).End(now, e.RequestID, e.Failed, e.FaultUpstream)
	case NodeSynced:
		s.sync(now, e)
	case NodeLost:
		s.forget(now, e.Node)
		for _, service := range s.services {
			service.RemoveQueued(e.Node)
		}
	case DirectoryChanged:
		s.view(e.View)
	case Ticked:
		for _, service := range s.services {
			service.RemoveStale(now)
		}
	}
	for _, service := range s.services {
		s.grant(service.Next(now))
	}
	return s.out
}

// ask places a request, or tells its node that it waits.
func (s *State) ask(now snipeford.Instant, ask snipeford.PlacementRequest) {
	placed := s.service(ask.Service).Ask(now, ask)
	s.grant(placed)
	if !slices.ContainsFunc(placed, func(p snipeford.Placement) bool { return p.RequestID == ask.RequestID }) {
		s.out = append(s.out, PlacementReply{ask.EntryNode, snipeford.Placement{RequestID: ask.RequestID, Queued: true}})
	}
}

func (s *State) grant(placed []snipeford.Placement) {
	for _, p := range placed {
		s.out = append(s.out, PlacementReply{p.EntryNode, p})
	}
}

func (s *State) service(name snipeford.ServiceName) *placement.State {
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

func (s *State) sync(now snipeford.Instant, e NodeSynced) {
	s.forget(now, e.Node)
	for _, call := range e.Calls {
		s.service(call.Request.Service).AddPlaced(now, call)
	}
}

func (s *State) forget(now snipeford.Instant, node snipeford.NodeID) {
	for _, service := range s.services {
		service.RemovePlaced(now, node)
	}
}

func (s *State) view(v *directory.View) {
	if v.Plan == nil {
		return
	}
	for name, list := range v.Usable {
		profile := v.Plan.Service(name)
		if profile.Engine == nil {
			continue
		}
		service := s.service(name)
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

// PlacedCalls returns the running requests of a node.
func (s *State) PlacedCalls(now snipeford.Instant, node snipeford.NodeID) []snipeford.PlacedCall {
	var out []snipeford.PlacedCall
	for _, service := range s.services {
		out = slices.Concat(out, service.Placed(now, node))
	}
	return out
}

// tickEvery is the time between two Ticked events: what waits is looked at
// whenever something happens, and that often at least.
const tickEvery = 25 * time.Millisecond
