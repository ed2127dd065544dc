package placer_test

import (
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/placer"
	"snipeford/internal/rule/plan"
)

func view() *directory.View {
	engine := &snipeford.EngineProfile{Slots: 16, Memory: 300_000, StepTime: time.Millisecond, PrefillRate: 100_000, PrefillChunk: 2_000, DecodeStepsPerPass: 50}
	r := snipeford.Routing{Version: 1, Services: []snipeford.ServiceProfile{{Name: "s", Engine: engine}}}
	v := &directory.View{Plan: plan.New(r), Usable: map[snipeford.ServiceName][]directory.Upstream{}}
	for _, id := range []snipeford.UpstreamID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		v.Usable["s"] = append(v.Usable["s"], directory.Upstream{Upstream: snipeford.Upstream{ID: id}})
	}
	return v
}

// TestIsolatedNodesUseDifferentEngines checks that nodes that cannot reach each
// other spread their requests. None knows what the others place, so that with
// one common order of engines all would choose the same one.
func TestIsolatedNodesUseDifferentEngines(t *testing.T) {
	used := map[snipeford.UpstreamID]int{}
	for _, node := range []snipeford.NodeID{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9", "n10", "n11", "n12"} {
		s := placer.State{Node: node}
		s.Apply(0, placer.DirectoryChanged{View: view()})
		request := snipeford.PlacementRequest{
			RequestID: "r", EntryNode: node, Service: "s", Prompt: 1_000, ExpectedOutput: 100, FirstEventTarget: 300 * time.Millisecond,
			EventGapTarget: 250 * time.Millisecond, TimeLeft: time.Second, StreamIdleTimeout: 2 * time.Second, FirstEventTimeout: time.Second,
		}
		for _, reply := range s.Apply(0, placer.PlacementRequested{Request: request}) {
			used[reply.Placement.Upstream]++
		}
	}
	if len(used) < 4 {
		t.Errorf("got requests per engine %v, want at least 4 engines used", used)
	}
}
