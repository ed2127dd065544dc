package reducer

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snipeford"
)

// The fixed seed makes the test deterministic. Flags of the command line are
// parsed later and override it.
func init() { _ = flag.Set("rapid.seed", "1") }

// harness applies random events to a reducer and checks the properties of
// TestProperties after each of them.
type harness struct {
	state *State
	now   snipeford.Instant
	// unfinished holds the calls that have not ended at their home.
	unfinished     map[snipeford.CallID]bool
	running        map[snipeford.CallID]Dispatch
	ended          map[snipeford.CallID]int
	lastCallNumber int
}

var harnessUpstreams = []snipeford.Upstream{engineOne, engineTwo, {ID: "engine-3", Kind: snipeford.KindEngine, Model: "M", Domain: "B", Memory: 400_000}}

func newHarness() *harness {
	h := &harness{
		state:      New(Settings{Member: snipeford.Member{Node: "node-1", Domain: "A"}, QueuePolicy: "Fair", RoutePolicy: "MovingSplit", Standalone: true}),
		unfinished: map[snipeford.CallID]bool{},
		running:    map[snipeford.CallID]Dispatch{},
		ended:      map[snipeford.CallID]int{},
	}
	h.state.Apply(0, UpstreamsListed{harnessUpstreams})
	h.state.Apply(0, ConfigurationRead{configuration(1)})
	return h
}

// apply applies an event and checks its effects.
func (h *harness) apply(t *rapid.T, e Event) {
	for _, effect := range append([]Effect(nil), h.state.Apply(h.now, e)...) {
		switch effect := effect.(type) {
		case Dispatch:
			if _, twice := h.running[effect.Call]; twice {
				t.Fatalf("call %s was dispatched while it runs", effect.Call)
			}
			h.running[effect.Call] = effect
		case ReturnToEntry:
			h.end(t, effect.Call)
		case Complete:
			h.end(t, effect.Call)
		}
	}
	h.check(t)
}

func (h *harness) end(t *rapid.T, id snipeford.CallID) {
	h.ended[id]++
	if h.ended[id] > 1 {
		t.Fatalf("call %s ended twice at its home", id)
	}
	delete(h.unfinished, id)
}

// check compares the accounting of each replica with its running calls.
func (h *harness) check(t *rapid.T) {
	for _, g := range h.state.groups {
		for _, r := range g.dispatcher.replicas {
			if r.ownRunning < 0 || r.Committed < 0 || r.ShortPrefillBacklog < 0 || r.nonShortPrefills < 0 {
				t.Fatalf("got negative counts in %+v", r)
			}
			if r.Committed > r.Memory {
				t.Fatalf("got %d tokens committed at %s, want at most %d", r.Committed, r.ID, r.Memory)
			}
			if r.ownRunning == 0 && (r.Committed != 0 || r.ShortPrefillBacklog != 0 || r.nonShortPrefills != 0) {
				t.Fatalf("got idle replica %+v, want no committed memory or prefill backlog", r)
			}
		}
	}
}

func (h *harness) offer(t *rapid.T) {
	h.lastCallNumber++
	id := snipeford.CallID(fmt.Sprint("call-", h.lastCallNumber))
	c := newCall(id, "M", snipeford.Tokens(rapid.SampledFrom([]int{1_000, 4_000, 20_000, 90_000, 250_000, 600_000}).Draw(t, "prompt")))
	c.Organisation = snipeford.Organisation(rapid.SampledFrom([]string{"light", "heavy"}).Draw(t, "organisation"))
	c.Idempotent = rapid.Bool().Draw(t, "idempotent")
	c.QueueDeadline, c.Deadline = h.now+5*second, h.now+60*second
	h.unfinished[id] = true
	h.apply(t, CallForwarded{c, groupOf(rapid.SampledFrom(harnessUpstreams).Draw(t, "upstream"))})
}

// drawCall returns one of the keys, or an empty one if there are none. The keys
// are ordered so that a seed always draws the same.
func drawCall[V any](t *rapid.T, m map[snipeford.CallID]V) snipeford.CallID {
	var keys []snipeford.CallID
	for i := range 10_000 {
		id := snipeford.CallID(fmt.Sprint("call-", i))
		if _, ok := m[id]; ok {
			keys = append(keys, id)
		}
		if len(keys) == len(m) {
			break
		}
	}
	if len(keys) == 0 {
		return ""
	}
	return rapid.SampledFrom(keys).Draw(t, "call")
}

func (h *harness) endAttempt(t *rapid.T, end snipeford.AttemptEnd) {
	id := drawCall(t, h.running)
	if id == "" {
		return
	}
	delete(h.running, id)
	h.apply(t, AttemptEnded{Call: id, End: end})
	if end == snipeford.EndCancelled {
		delete(h.unfinished, id)
	}
}

func (h *harness) step(t *rapid.T) {
	ends := []snipeford.AttemptEnd{snipeford.EndDone, snipeford.EndBroken, snipeford.EndRejected, snipeford.EndUnsent, snipeford.EndCancelled}
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0, 1, 2:
		h.offer(t)
	case 3:
		h.apply(t, FirstTokenReceived{drawCall(t, h.running)})
	case 4, 5:
		h.endAttempt(t, rapid.SampledFrom(ends).Draw(t, "end"))
	case 6:
		u := rapid.SampledFrom(harnessUpstreams).Draw(t, "reported")
		incarnation := snipeford.Incarnation(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "incarnation"))
		h.apply(t, LoadReported{snipeford.LoadReport{Upstream: u.ID, Incarnation: incarnation, MemorySize: u.Memory, Cold: rapid.Bool().Draw(t, "cold")}})
	case 7:
		version := h.state.configuration.Version + 1
		if rapid.Bool().Draw(t, "out") {
			h.apply(t, ConfigurationRead{configuration(version, "A")})
		} else {
			h.apply(t, ConfigurationRead{configuration(version)})
		}
	case 8:
		h.now += snipeford.Instant(rapid.Int64Range(0, int64(2*second)).Draw(t, "pause"))
		h.apply(t, Ticked{})
	}
}

// TestProperties checks over random events that a call is never dispatched
// while it runs, that it ends at most once and each call ends eventually, that
// the committed memory never exceeds a replica's memory, and that idle replicas
// have no committed memory or prefill backlog.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.step(t)
		}
		for range 400 {
			h.now += second
			h.apply(t, Ticked{})
			for len(h.running) > 0 {
				h.endAttempt(t, snipeford.EndDone)
			}
		}
		if len(h.unfinished) > 0 {
			t.Fatalf("got calls %v that never ended", h.unfinished)
		}
	})
}
