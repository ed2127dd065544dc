package reducer

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snipeford"
)

// The seed is fixed so that the verdict is the same every time; flags of the
// command line come after and override it.
func init() { _ = flag.Set("rapid.seed", "1") }

// world applies random events to a reducer and keeps what they must respect.
type world struct {
	state   *State
	now     snipeford.Instant
	open    map[snipeford.CallID]bool
	running map[snipeford.CallID]Dispatch
	ended   map[snipeford.CallID]int
	next    int
}

var worldUpstreams = []snipeford.Upstream{engineOne, engineTwo, {ID: "engine-3", Kind: snipeford.KindEngine, Model: "M", Domain: "B", Memory: 400_000}}

func newWorld() *world {
	w := &world{
		state:   New(Settings{Member: snipeford.Member{Node: "node-1", Domain: "A"}, QueuePolicy: "Fair", RoutePolicy: "MovingSplit", Standalone: true}),
		open:    map[snipeford.CallID]bool{},
		running: map[snipeford.CallID]Dispatch{},
		ended:   map[snipeford.CallID]int{},
	}
	w.state.Apply(0, UpstreamsListed{worldUpstreams})
	w.state.Apply(0, ConfigurationRead{rules(1)})
	return w
}

// apply applies an event and checks its effects.
func (w *world) apply(t *rapid.T, e Event) {
	for _, effect := range append([]Effect(nil), w.state.Apply(w.now, e)...) {
		switch effect := effect.(type) {
		case Dispatch:
			if _, twice := w.running[effect.Call]; twice {
				t.Fatalf("call %s was dispatched while it runs", effect.Call)
			}
			w.running[effect.Call] = effect
		case ReturnToEntry:
			w.end(t, effect.Call)
		case Complete:
			w.end(t, effect.Call)
		}
	}
	w.check(t)
}

func (w *world) end(t *rapid.T, id snipeford.CallID) {
	w.ended[id]++
	if w.ended[id] > 1 {
		t.Fatalf("call %s ended twice at its home", id)
	}
	delete(w.open, id)
}

// check compares the books of each replica with what runs.
func (w *world) check(t *rapid.T) {
	for _, g := range w.state.groups {
		for _, r := range g.dispatcher.replicas {
			if r.own < 0 || r.Committed < 0 || r.ShortPrefillBacklog < 0 || r.longs < 0 {
				t.Fatalf("got negative books %+v", r)
			}
			if r.Committed > r.Memory {
				t.Fatalf("got %d tokens committed at %s of %d", r.Committed, r.ID, r.Memory)
			}
			if r.own == 0 && (r.Committed != 0 || r.ShortPrefillBacklog != 0 || r.longs != 0) {
				t.Fatalf("got books %+v of an idle replica", r)
			}
		}
	}
}

func (w *world) offer(t *rapid.T) {
	w.next++
	id := snipeford.CallID(fmt.Sprint("call-", w.next))
	c := newCall(id, "M", snipeford.Tokens(rapid.SampledFrom([]int{1_000, 4_000, 20_000, 90_000, 250_000, 600_000}).Draw(t, "prompt")))
	c.Organisation = snipeford.Organisation(rapid.SampledFrom([]string{"light", "heavy"}).Draw(t, "organisation"))
	c.Idempotent = rapid.Bool().Draw(t, "idempotent")
	c.QueueDeadline, c.Deadline = w.now+5*second, w.now+60*second
	w.open[id] = true
	w.apply(t, CallForwarded{c, groupOf(rapid.SampledFrom(worldUpstreams).Draw(t, "upstream"))})
}

// some returns one of the keys in a fixed order, or an empty one.
func some[V any](t *rapid.T, m map[snipeford.CallID]V) snipeford.CallID {
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

func (w *world) endAttempt(t *rapid.T, end snipeford.AttemptEnd) {
	id := some(t, w.running)
	if id == "" {
		return
	}
	delete(w.running, id)
	w.apply(t, AttemptEnded{Call: id, End: end})
	if end == snipeford.EndCancelled {
		delete(w.open, id)
	}
}

func (w *world) step(t *rapid.T) {
	ends := []snipeford.AttemptEnd{snipeford.EndDone, snipeford.EndBroken, snipeford.EndRejected, snipeford.EndUnsent, snipeford.EndCancelled}
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0, 1, 2:
		w.offer(t)
	case 3:
		w.apply(t, FirstTokenReceived{some(t, w.running)})
	case 4, 5:
		w.endAttempt(t, rapid.SampledFrom(ends).Draw(t, "end"))
	case 6:
		u := rapid.SampledFrom(worldUpstreams).Draw(t, "reported")
		run := snipeford.Incarnation(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "incarnation"))
		w.apply(t, LoadReported{snipeford.LoadReport{Upstream: u.ID, Incarnation: run, MemorySize: u.Memory, Cold: rapid.Bool().Draw(t, "cold")}})
	case 7:
		version := w.state.configuration.Version + 1
		if rapid.Bool().Draw(t, "out") {
			w.apply(t, ConfigurationRead{rules(version, "A")})
		} else {
			w.apply(t, ConfigurationRead{rules(version)})
		}
	case 8:
		w.now += snipeford.Instant(rapid.Int64Range(0, int64(2*second)).Draw(t, "pause"))
		w.apply(t, Ticked{})
	}
}

// TestProperties checks, over random events: a call is never dispatched while
// it runs, ends at most once, and in the end each call has ended; memory is
// never committed twice, and idle replicas hold nothing.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step(t)
		}
		for range 400 {
			w.now += second
			w.apply(t, Ticked{})
			for len(w.running) > 0 {
				w.endAttempt(t, snipeford.EndDone)
			}
		}
		if len(w.open) > 0 {
			t.Fatalf("got calls %v that never ended", w.open)
		}
	})
}
