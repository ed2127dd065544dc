package grant_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"snipeford"
)

var poisonKey = snipeford.RequestKey("h", "/x", "o", []byte("bad"))

// crashPlain reports a crash of an upstream of the service without engines.
func crashPlain(n *node, upstream string) {
	n.client.ReportCrash(snipeford.UpstreamCrash{
		Service: "plain", Upstream: snipeford.UpstreamID(upstream), PrefixParts: []snipeford.PrefixPart{poisonKey}, Age: 50 * time.Millisecond,
	})
	time.Sleep(100 * time.Millisecond)
}

func assertAllWatch(t *testing.T, nodes map[snipeford.NodeID]*node, want bool) {
	t.Helper()
	for name, n := range nodes {
		if got := n.client.Watched("plain", poisonKey); got != want {
			t.Errorf("%s: got watched %t, want %t", name, got, want)
		}
	}
}

func askPermit(n *node, id string) snipeford.Placement {
	p, _ := n.client.Place(context.Background(), snipeford.PlacementRequest{
		RequestID: snipeford.RequestID(id), Service: "plain", Permit: "e0", PrefixParts: []snipeford.PrefixPart{poisonKey},
	})
	return p
}

// TestCopiesOfRequestAtAllNodes guards against a request that crashes upstreams of a
// service without engines and comes again at nodes that have not seen the crash.
func TestCopiesOfRequestAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := cluster{nodes: defaultNodes}.start(t)
		assertAllWatch(t, nodes, false)
		crashPlain(nodes["n1"], "e0")
		assertAllWatch(t, nodes, true)
		permits := 0
		for name, n := range nodes {
			if p := askPermit(n, fmt.Sprint("copy-", name)); !p.Refused {
				permits++
			}
		}
		if permits != 1 {
			t.Errorf("got %d permits at the same time, want 1", permits)
		}
	})
}

func TestWatchEndsWithResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := cluster{nodes: defaultNodes}.start(t)
		crashPlain(nodes["n1"], "e0")
		if p := askPermit(nodes["n2"], "copy"); p.Refused {
			t.Fatalf("got %+v, want a permit", p)
		}
		nodes["n2"].client.ReportEnd("plain", "copy", snipeford.RequestEnd{Completed: true, Keys: []snipeford.PrefixPart{poisonKey}, Age: 60 * time.Millisecond})
		// Node n1 watches what it has seen for some seconds of its own.
		time.Sleep(6 * time.Second)
		assertAllWatch(t, nodes, false)
	})
}

// TestWatchOutlivesHome checks that the crashes before the end of a home are not
// forgotten, and that the next one quarantines the request.
func TestWatchOutlivesHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := cluster{nodes: defaultNodes}.start(t)
		ranked := rankedNodes()
		crashPlain(nodes[ranked[1]], "e0")
		crashPlain(nodes[ranked[2]], "e1")
		nodes[ranked[0]].stop()
		delete(nodes, ranked[0])
		time.Sleep(700 * time.Millisecond)
		assertAllWatch(t, nodes, true)
		crashPlain(nodes[ranked[2]], "e2")
		time.Sleep(500 * time.Millisecond)
		for name, n := range nodes {
			if p := askPermit(n, fmt.Sprint("copy-", name)); p.Cause != snipeford.CauseQuarantined {
				t.Errorf("%s: got %+v, want a refusal for the quarantine", name, p)
			}
		}
	})
}
