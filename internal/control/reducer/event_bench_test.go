package reducer

import (
	"fmt"
	"testing"

	"snipeford"
)

// newStateOfSize returns the state of a standalone node with the given numbers
// of replicas and peers. A group has about eight replicas, at most fifteen.
func newStateOfSize(replicas, peers int) (*State, []snipeford.Upstream) {
	s := New(Settings{Member: snipeford.Member{Node: "node-1", Domain: "domain-0"}, QueuePolicy: "Fair", RoutePolicy: "MovingSplit", Standalone: true})
	groups := max(1, replicas/8)
	var list []snipeford.Upstream
	for i := range replicas {
		g := i % groups
		list = append(list, snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("engine-%05d", i)), Kind: snipeford.KindEngine, Memory: 400_000,
			Model: snipeford.Model(fmt.Sprint("model-", g/22)), Domain: snipeford.FailureDomain(fmt.Sprint("domain-", g%22)),
		})
	}
	s.Apply(0, UpstreamsListed{list})
	s.Apply(0, ConfigurationRead{configuration(1)})
	for _, u := range list {
		s.Apply(0, LoadReported{snipeford.LoadReport{Upstream: u.ID, Incarnation: "i", MemorySize: u.Memory}})
	}
	for i := range peers {
		m := snipeford.Member{Node: snipeford.NodeID(fmt.Sprint("peer-", i))}
		s.Apply(0, HeartbeatReceived{snipeford.Heartbeat{Member: m, TableReachable: true}})
	}
	return s, list
}

// applyCall applies the five events of a call that is served at once.
func applyCall(s *State, u snipeford.Upstream, i int) {
	now := snipeford.Instant(i) * 1000
	id := snipeford.CallID(fmt.Sprint(i))
	c := newCall(id, u.Model, 2_000)
	c.QueueDeadline, c.Deadline = now+10*second, now+60*second
	s.Apply(now, CallArrived{c})
	s.Apply(now, CallForwarded{c, groupOf(u)})
	s.Apply(now, FirstTokenReceived{id})
	s.Apply(now, AttemptEnded{id, snipeford.EndDone, 50})
	s.Apply(now, CallEnded{id})
}

const eventsPerCall = 5

func BenchmarkEvent(b *testing.B) {
	for _, size := range []struct{ replicas, peers int }{{25, 6}, {25, 389}, {5_400, 6}, {5_400, 389}} {
		b.Run(fmt.Sprintf("replicas=%d/peers=%d", size.replicas, size.peers), func(b *testing.B) {
			s, list := newStateOfSize(size.replicas, size.peers)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				applyCall(s, list[i%len(list)], i)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*eventsPerCall), "ns/event")
		})
	}
}

// TestAllocationsIndependentOfFleetSize guards against an event whose cost
// grows with the number of replicas or peers. It compares allocations because
// times vary between machines.
func TestAllocationsIndependentOfFleetSize(t *testing.T) {
	count := func(replicas, peers int) float64 {
		s, list := newStateOfSize(replicas, peers)
		i := 0
		// The first calls of each group allocate its maps.
		for ; i < 2*len(list); i++ {
			applyCall(s, list[i%len(list)], i)
		}
		return testing.AllocsPerRun(2_000, func() {
			applyCall(s, list[i%len(list)], i)
			i++
		})
	}
	small, large := count(25, 6), count(5_400, 389)
	if got, want := large, small*1.2+1; got > want {
		t.Errorf("got %.1f allocations per call at 5,400 replicas and 389 peers, want at most %.1f", got, want)
	}
}
