package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"snipeford"
)

// second is one second in the reducer's time.
const second = snipeford.Instant(time.Second)

var (
	engineOne  = snipeford.Upstream{ID: "engine-1", Kind: snipeford.KindEngine, Model: "M", Domain: "A", Memory: 400_000}
	engineTwo  = snipeford.Upstream{ID: "engine-2", Kind: snipeford.KindEngine, Model: "M", Domain: "A", Memory: 400_000}
	serviceOne = snipeford.Upstream{ID: "service-1", Kind: snipeford.KindService, Service: "Orders", Domain: "A"}
)

func configuration(version snipeford.Version, out ...snipeford.FailureDomain) snipeford.Configuration {
	c := snipeford.Configuration{Version: version, OutDomains: out}
	c.Rules.Organisations = map[snipeford.Organisation]snipeford.OrganisationRule{"light": {}, "heavy": {}}
	return c
}

// newStandalone returns the state of a node that is the home of all groups.
func newStandalone(t *testing.T, upstreams ...snipeford.Upstream) *State {
	t.Helper()
	s := New(Settings{Member: snipeford.Member{Node: "node-1", Domain: "A"}, QueuePolicy: "Fair", RoutePolicy: "MovingSplit", Standalone: true})
	s.Apply(0, UpstreamsListed{upstreams})
	s.Apply(0, ConfigurationRead{configuration(1)})
	return s
}

// warmUp reports the upstream as warm and grows its window to the full size.
func warmUp(s *State, u snipeford.Upstream) {
	s.Apply(0, LoadReported{snipeford.LoadReport{Upstream: u.ID, Incarnation: "i", MemorySize: u.Memory}})
	for _, g := range s.groups {
		for _, r := range g.dispatcher.replicas {
			if r.ID == u.ID {
				for range 20 {
					r.window.Succeeded(0, 0, 0)
				}
			}
		}
	}
}

func newCall(id snipeford.CallID, model snipeford.Model, prompt snipeford.Tokens) snipeford.Call {
	return snipeford.Call{ID: id, Organisation: "light", Model: model, Prompt: prompt, MaxOutput: 100, Idempotent: true, QueueDeadline: 10 * second, Deadline: 60 * second}
}

// firstOf returns the first effect of type E.
func firstOf[E Effect](effects []Effect) (E, bool) {
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var none E
	return none, false
}

func mustFind[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	found, ok := firstOf[E](effects)
	if !ok {
		t.Fatalf("got effects %#v, want one of type %T", effects, found)
	}
	return found
}

func wantNone[E Effect](t *testing.T, effects []Effect) {
	t.Helper()
	if found, ok := firstOf[E](effects); ok {
		t.Fatalf("got %#v, want no effect of its type", found)
	}
}

func TestDispatch(t *testing.T) {
	t.Run("a plain service's call needs no memory", func(t *testing.T) {
		s := newStandalone(t, serviceOne)
		c := newCall("c", snipeford.ServiceModel("Orders"), 0)
		c.MaxOutput = 0
		mustFind[Forward](t, s.Apply(second, CallArrived{c}))
		d := mustFind[Dispatch](t, s.Apply(second, CallForwarded{c, groupOf(serviceOne)}))
		if got, want := d.Parts[0].Upstream.ID, serviceOne.ID; got != want {
			t.Errorf("got upstream %s, want %s", got, want)
		}
	})
	t.Run("a cold upstream gets one call at a time", func(t *testing.T) {
		s := newStandalone(t, engineOne)
		s.Apply(0, LoadReported{snipeford.LoadReport{Upstream: "engine-1", Incarnation: "i", MemorySize: 400_000, Cold: true}})
		mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("c1", "M", 1_000), groupOf(engineOne)}))
		wantNone[Dispatch](t, s.Apply(second, CallForwarded{newCall("c2", "M", 1_000), groupOf(engineOne)}))
	})
	t.Run("a prompt larger than one engine spans several engines", func(t *testing.T) {
		s := newStandalone(t, engineOne, engineTwo)
		warmUp(s, engineOne)
		warmUp(s, engineTwo)
		d := mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("c", "M", 600_000), groupOf(engineOne)}))
		if got, want := len(d.Parts), 2; got != want {
			t.Errorf("got %d parts, want %d", got, want)
		}
	})
	t.Run("a prompt larger than the largest group is refused on arrival", func(t *testing.T) {
		s := newStandalone(t, engineOne, engineTwo)
		r := mustFind[Refuse](t, s.Apply(second, CallArrived{newCall("c", "M", 900_000)}))
		if got, want := r.Refusal.Outcome, snipeford.NotRun; got != want {
			t.Errorf("got outcome %s, want %s", got, want)
		}
	})
}

func TestFailedAttempt(t *testing.T) {
	start := func(t *testing.T, idempotent bool) *State {
		s := newStandalone(t, engineOne)
		warmUp(s, engineOne)
		c := newCall("c", "M", 1_000)
		c.Idempotent = idempotent
		mustFind[Dispatch](t, s.Apply(second, CallForwarded{c, groupOf(engineOne)}))
		return s
	}
	t.Run("an idempotent call is retried from its offset", func(t *testing.T) {
		s := start(t, true)
		s.Apply(second, AttemptEnded{"c", snipeford.EndBroken, 7})
		d := mustFind[Dispatch](t, s.Apply(2*second, Ticked{}))
		if got, want := d.Offset, snipeford.Tokens(7); got != want {
			t.Errorf("got offset %d, want %d", got, want)
		}
	})
	t.Run("a non-idempotent call is returned with outcome unknown", func(t *testing.T) {
		s := start(t, false)
		b := mustFind[ReturnToEntry](t, s.Apply(second, AttemptEnded{"c", snipeford.EndBroken, 0}))
		if got, want := b.Outcome, snipeford.Unknown; got != want {
			t.Errorf("got outcome %s, want %s", got, want)
		}
		wantNone[Dispatch](t, s.Apply(3*second, Ticked{}))
	})
	t.Run("a non-idempotent call is retried if no byte of it was sent", func(t *testing.T) {
		s := start(t, false)
		s.Apply(second, AttemptEnded{"c", snipeford.EndUnsent, 0})
		mustFind[Dispatch](t, s.Apply(2*second, Ticked{}))
	})
}

func TestOutDomain(t *testing.T) {
	s := newStandalone(t, engineOne)
	s.Apply(second, ConfigurationRead{configuration(2, "A")})
	t.Run("gets no new calls", func(t *testing.T) {
		effects := s.Apply(second, CallForwarded{newCall("c", "M", 1_000), groupOf(engineOne)})
		wantNone[Dispatch](t, effects)
		b := mustFind[ReturnToEntry](t, effects)
		if got, want := b.Outcome, snipeford.NotRun; got != want {
			t.Errorf("got outcome %s, want %s", got, want)
		}
	})
	t.Run("an older configuration does not take effect", func(t *testing.T) {
		wantNone[PublishConfiguration](t, s.Apply(second, ConfigurationRead{configuration(1)}))
	})
	t.Run("a newer configuration makes the domain usable again", func(t *testing.T) {
		mustFind[PublishConfiguration](t, s.Apply(second, ConfigurationRead{configuration(3)}))
		mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("d", "M", 1_000), groupOf(engineOne)}))
	})
}

func TestReservation(t *testing.T) {
	t.Run("a reservation is not delayed by a shorter prompt that arrives later", func(t *testing.T) {
		s := newStandalone(t, engineOne)
		warmUp(s, engineOne)
		mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("running", "M", 250_000), groupOf(engineOne)}))
		wantNone[Dispatch](t, s.Apply(second, CallForwarded{newCall("claimant", "M", 300_000), groupOf(engineOne)}))
		wantNone[Dispatch](t, s.Apply(second, CallForwarded{newCall("shorter", "M", 200_000), groupOf(engineOne)}))
		s.Apply(second, FirstTokenReceived{"running"})
		d := mustFind[Dispatch](t, s.Apply(2*second, AttemptEnded{"running", snipeford.EndDone, 10}))
		if got, want := d.Call, snipeford.CallID("claimant"); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	})
	t.Run("a cancelled call releases its reservation", func(t *testing.T) {
		s := newStandalone(t, engineOne)
		warmUp(s, engineOne)
		mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("running", "M", 250_000), groupOf(engineOne)}))
		s.Apply(second, CallForwarded{newCall("claimant", "M", 300_000), groupOf(engineOne)})
		s.Apply(second, CallCancelled{"claimant"})
		if got := s.groups[groupOf(engineOne)].dispatcher.replicas[0].Reserved; got != 0 {
			t.Errorf("got %d tokens reserved, want 0", got)
		}
	})
}

// TestRetryBudget checks that retries stay within the retry budget when each
// attempt fails.
func TestRetryBudget(t *testing.T) {
	s := newStandalone(t, engineOne)
	warmUp(s, engineOne)
	now := second
	retries := 0
	for i := range 400 {
		id := snipeford.CallID(fmt.Sprint("call-", i))
		c := newCall(id, "M", 1_000)
		c.QueueDeadline, c.Deadline = 1000*second, 1000*second
		s.Apply(now, CallArrived{c})
		s.Apply(now, CallForwarded{c, groupOf(engineOne)})
		for range 8 {
			now += second / 4
			for _, e := range s.Apply(now, Ticked{}) {
				if d, ok := e.(Dispatch); ok && d.Attempt > 1 {
					retries++
				}
			}
			s.Apply(now, AttemptEnded{id, snipeford.EndBroken, 0})
			warmUp(s, engineOne)
		}
	}
	if got, want := retries, 400/10+30; got > want {
		t.Errorf("got %d retries of 400 offered calls, want at most a tenth and one burst: %d", got, want)
	}
}

// TestLightLoadIsNotOverload guards against calls that are refused for overload
// because the recent service rate of a group with little load was taken for its
// capacity.
func TestLightLoadIsNotOverload(t *testing.T) {
	s := newStandalone(t, engineOne)
	warmUp(s, engineOne)
	now := second
	for i := range 20 {
		now += second / 2
		id := snipeford.CallID(fmt.Sprint("call-", i))
		c := newCall(id, "M", 1_000)
		c.QueueDeadline, c.Deadline = now+2*second, now+60*second
		s.Apply(now, Ticked{})
		mustFind[Dispatch](t, s.Apply(now, CallForwarded{c, groupOf(engineOne)}))
		s.Apply(now, AttemptEnded{id, snipeford.EndDone, 10})
	}
	// A failed attempt pauses the replica; the next call waits for the end of
	// the pause instead of being refused.
	c := newCall("broken", "M", 1_000)
	s.Apply(now, CallForwarded{c, groupOf(engineOne)})
	s.Apply(now, AttemptEnded{"broken", snipeford.EndBroken, 0})
	next := newCall("next", "M", 4_000)
	next.QueueDeadline = now + 2*second
	wantNone[ReturnToEntry](t, s.Apply(now, CallForwarded{next, groupOf(engineOne)}))
}

func TestFailedReplicaPauses(t *testing.T) {
	s := newStandalone(t, engineOne, engineTwo)
	warmUp(s, engineOne)
	warmUp(s, engineTwo)
	first := mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("c", "M", 1_000), groupOf(engineOne)}))
	s.Apply(second, AttemptEnded{"c", snipeford.EndUnsent, 0})
	again := mustFind[Dispatch](t, s.Apply(second+second/10, Ticked{}))
	if got, not := again.Parts[0].Upstream.ID, first.Parts[0].Upstream.ID; got == not {
		t.Errorf("got replica %s again, want the other one", got)
	}
}

// TestEffectsDependOnEventsAlone checks that two nodes with the same events have the
// same effects in the same order, so that a trace can be replayed.
func TestEffectsDependOnEventsAlone(t *testing.T) {
	run := func() string {
		var list []snipeford.Upstream
		for i := range 12 {
			list = append(list, snipeford.Upstream{ID: snipeford.UpstreamID(fmt.Sprint("e", i)), Kind: snipeford.KindEngine, Model: snipeford.Model(fmt.Sprint("m", i)), Memory: 100_000})
		}
		s := newStandalone(t, list...)
		effects := slices.Clone(s.Apply(10*second, Ticked{}))
		effects = append(effects, s.Apply(10*second+1, ConfigurationRead{configuration(9)})...)
		return fmt.Sprintf("%+v", effects)
	}
	want := run()
	for range 10 {
		if got := run(); got != want {
			t.Fatalf("got effects %s, want %s", got, want)
		}
	}
}
