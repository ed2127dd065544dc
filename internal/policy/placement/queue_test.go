package placement_test

import (
	"strconv"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/experiment/placing"
	"snipeford/internal/policy/placement"
)

func newState(engines int) *placement.State {
	s := placement.New()
	s.Configure(placing.Profile, 0)
	s.SetCandidates(placing.Candidates(engines))
	return s
}

func short(call string) snipeford.PlacementRequest {
	return snipeford.PlacementRequest{RequestID: snipeford.RequestID(call), Prompt: 5_000, ExpectedOutput: 1_700, FirstEventTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond, TimeLeft: 10 * time.Second, StreamIdleTimeout: 2 * time.Second, FirstEventTimeout: 2 * time.Second}
}

func long(call string, prompt snipeford.Tokens) snipeford.PlacementRequest {
	return snipeford.PlacementRequest{RequestID: snipeford.RequestID(call), Prompt: prompt, ExpectedOutput: 900, FirstEventTarget: 3 * time.Second, EventGapTarget: time.Second, TimeLeft: 15 * time.Second, StreamIdleTimeout: 12 * time.Second, FirstEventTimeout: 12 * time.Second}
}

func at(d time.Duration) snipeford.Instant { return snipeford.Instant(d) }

func find(t *testing.T, list []snipeford.Placement, call snipeford.RequestID) snipeford.Placement {
	t.Helper()
	for _, p := range list {
		if p.RequestID == call {
			return p
		}
	}
	t.Fatalf("got %+v, want a placement of %s", list, call)
	return snipeford.Placement{}
}

func TestShortPromptIsPlacedAtOnce(t *testing.T) {
	p := find(t, newState(18).Ask(0, short("a")), "a")
	if p.Refused || len(p.Helpers) > 0 {
		t.Errorf("got %+v, want one engine without helpers", p)
	}
}

func TestLongPromptIsReadJointly(t *testing.T) {
	p := find(t, newState(18).Ask(0, long("a", 154_000)), "a")
	if got := len(p.Helpers); got < 5 {
		t.Errorf("got %d helpers, want 5 or more: one engine needs longer than the target", got)
	}
	if p.ReservedMemory != 0 {
		t.Errorf("got %d tokens reserved, want none: the prompt fits one engine", p.ReservedMemory)
	}
}

func TestPromptBeyondOneEngine(t *testing.T) {
	p := find(t, newState(18).Ask(0, long("a", 600_000)), "a")
	engines := snipeford.Tokens(1 + len(p.Helpers))
	if p.Refused || p.ReservedMemory*engines < 600_900 {
		t.Errorf("got %+v, want memory for the whole prompt on several engines", p)
	}
	t.Run("gets no more engines than it needs", func(t *testing.T) {
		if engines > 6 {
			t.Errorf("got %d engines, want 6 at most: it would hold up all others", engines)
		}
	})
}

// TestEveryGiantFindsEngines answers prompts of any length beyond one engine:
// each needs another number of engines.
func TestEveryGiantFindsEngines(t *testing.T) {
	for tokens := snipeford.Tokens(320_000); tokens <= 900_000; tokens += 20_000 {
		p := find(t, newState(18).Ask(0, long("a", tokens)), "a")
		if p.Refused || len(p.Helpers) == 0 {
			t.Errorf("%d tokens: got %+v, want several engines", tokens, p)
		}
	}
}

// TestPromptWhoseHelpersFail answers the loss of many engines at once: each
// helper that is gone costs a try.
func TestPromptWhoseHelpersFail(t *testing.T) {
	ask := long("a", 154_000)
	ask.AvoidHelpers = true
	if p := find(t, newState(18).Ask(0, ask), "a"); p.Refused || len(p.Helpers) > 0 {
		t.Errorf("got %+v, want one engine alone", p)
	}
	t.Run("but not where it fits none", func(t *testing.T) {
		ask := long("b", 600_000)
		ask.AvoidHelpers = true
		if p := find(t, newState(18).Ask(0, ask), "b"); p.Refused || len(p.Helpers) == 0 {
			t.Errorf("got %+v, want several engines", p)
		}
	})
}

func TestHelpersAreFreeAfterTheFirstEvent(t *testing.T) {
	s := newState(4)
	s.Ask(0, long("a", 200_000))
	s.First(at(100*time.Millisecond), "a", snipeford.EngineLoad{})
	p := find(t, s.Ask(at(110*time.Millisecond), long("b", 200_000)), "b")
	if len(p.Helpers) == 0 {
		t.Errorf("got %+v, want helpers: their reading is done", p)
	}
}

func TestShortPromptsKeepOffLongReading(t *testing.T) {
	s := newState(6)
	busy := find(t, s.Ask(0, snipeford.PlacementRequest{RequestID: "long", Prompt: 100_000, ExpectedOutput: 900, FirstEventTarget: 10 * time.Second, EventGapTarget: time.Second, TimeLeft: 15 * time.Second, StreamIdleTimeout: 12 * time.Second, FirstEventTimeout: 12 * time.Second}), "long")
	reading := map[snipeford.UpstreamID]bool{busy.Upstream: true}
	for _, id := range busy.Helpers {
		reading[id] = true
	}
	for i := range 6 {
		p := find(t, s.Ask(at(time.Millisecond), short("s"+strconv.Itoa(i))), snipeford.RequestID("s"+strconv.Itoa(i)))
		if reading[p.Upstream] {
			t.Errorf("got %s, want an engine that reads no long prompt", p.Upstream)
		}
	}
}

func TestFullEnginesMakeRequestsWait(t *testing.T) {
	s := newState(1)
	for i := range placing.Profile.Slots {
		s.Ask(0, short("s"+strconv.Itoa(i)))
		s.First(0, snipeford.RequestID("s"+strconv.Itoa(i)), snipeford.EngineLoad{})
	}
	if got := s.Ask(0, short("late")); len(got) != 0 {
		t.Errorf("got %+v, want no placement: all slots are taken", got)
	}
	s.End(at(10*time.Millisecond), "s0", false, "")
	if p := find(t, s.Next(at(20*time.Millisecond)), "late"); p.Refused {
		t.Errorf("got %+v, want the place that became free", p)
	}
}

// TestRequestsOfOthers answers a node that can't reach the home and places by
// itself: the engine tells that it has more to do than the home knows.
func TestRequestsOfOthers(t *testing.T) {
	s := newState(2)
	s.Ask(0, short("a"))
	busy := find(t, s.Ask(0, short("b")), "b").Upstream
	s.First(at(100*time.Millisecond), "b", snipeford.EngineLoad{Known: true, Running: 16, Waiting: 3})
	for i := range 4 {
		call := snipeford.RequestID("c" + strconv.Itoa(i))
		if p := find(t, s.Ask(at(110*time.Millisecond), short(string(call))), call); p.Upstream == busy {
			t.Errorf("got the engine that others have filled, want the other one")
		}
	}
}

func TestTimelyOnesGoFirst(t *testing.T) {
	s := newState(1)
	for i := range placing.Profile.Slots {
		s.Ask(0, short("s"+strconv.Itoa(i)))
		s.First(0, snipeford.RequestID("s"+strconv.Itoa(i)), snipeford.EngineLoad{})
	}
	s.Ask(0, short("missed"))
	now := at(400 * time.Millisecond)
	s.Ask(now, short("timely"))
	s.End(now, "s0", false, "")
	placed := s.Next(now)
	if len(placed) != 1 || placed[0].RequestID != "timely" {
		t.Errorf("got %+v, want the request that can still be timely", placed)
	}
}

func TestRefusals(t *testing.T) {
	t.Run("at once without engines", func(t *testing.T) {
		p := find(t, newState(0).Ask(0, short("a")), "a")
		if !p.Refused || p.RetryAfter <= 0 {
			t.Errorf("got %+v, want a refusal that says when to come back", p)
		}
	})
	t.Run("a short one that waited in vain", func(t *testing.T) {
		s := newState(1)
		for i := range placing.Profile.Slots {
			s.Ask(0, short("s"+strconv.Itoa(i)))
		}
		s.Ask(0, short("late"))
		p := find(t, s.Next(at(3*time.Second)), "late")
		if !p.Refused || p.RetryAfter > short("").TimeLeft/3 {
			t.Errorf("got %+v, want a refusal within the caller's patience", p)
		}
	})
	t.Run("a caller that left is forgotten", func(t *testing.T) {
		s := newState(0)
		s.SetCandidates(placing.Candidates(1))
		for i := range placing.Profile.Slots {
			s.Ask(0, short("s"+strconv.Itoa(i)))
		}
		s.Ask(0, short("gone"))
		s.End(0, "gone", false, "")
		for _, p := range s.Next(at(3 * time.Second)) {
			if p.RequestID == "gone" {
				t.Errorf("got %+v, want nothing for it", p)
			}
		}
	})
}

func TestFailedEngines(t *testing.T) {
	s := newState(2)
	first := find(t, s.Ask(0, short("a")), "a")
	s.End(0, "a", true, "")
	second := find(t, s.Ask(at(time.Millisecond), short("b")), "b")
	if first.Upstream == second.Upstream {
		t.Errorf("got %s again, want the other engine", second.Upstream)
	}
	t.Run("the last one is still tried", func(t *testing.T) {
		s.End(at(time.Millisecond), "b", true, "")
		if p := find(t, s.Ask(at(2*time.Millisecond), short("c")), "c"); p.Refused {
			t.Errorf("got %+v, want an engine", p)
		}
	})
	t.Run("an excluded one never", func(t *testing.T) {
		ask := short("d")
		ask.Excluded = []snipeford.UpstreamID{"e0"}
		if p := find(t, s.Ask(at(10*time.Second), ask), "d"); p.Upstream != "e1" {
			t.Errorf("got %s, want e1", p.Upstream)
		}
	})
}

func TestColdRate(t *testing.T) {
	s := placement.New()
	s.Configure(placing.Profile, 5)
	s.SetCandidates(placing.Candidates(1))
	placed := 0
	for i := range 20 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		for _, p := range s.Ask(now, short(strconv.Itoa(i))) {
			if !p.Refused {
				placed++
			}
		}
	}
	if placed > 5 {
		t.Errorf("got %d requests in a second, want 5 at most", placed)
	}
}

func TestNewHomeLearnsWhatRuns(t *testing.T) {
	old := newState(2)
	for i := range 10 {
		ask := short("s" + strconv.Itoa(i))
		ask.EntryNode = "n1"
		old.Ask(0, ask)
	}
	next := newState(2)
	for _, call := range old.Placed(at(time.Second), "n1") {
		next.AddPlaced(at(time.Second), call)
	}
	if got := len(next.Placed(at(time.Second), "n1")); got != 10 {
		t.Errorf("got %d requests, want 10", got)
	}
	t.Run("and what waits is not forgotten with it", func(t *testing.T) {
		waits := short("waits")
		waits.EntryNode = "n1"
		full := newState(0)
		full.SetCandidates(placing.Candidates(1))
		for i := range placing.Profile.Slots {
			full.Ask(0, short("s"+strconv.Itoa(i)))
			full.First(0, snipeford.RequestID("s"+strconv.Itoa(i)), snipeford.EngineLoad{})
		}
		full.Ask(0, waits)
		full.RemovePlaced(0, "n1")
		full.End(0, "s0", false, "")
		find(t, full.Next(0), "waits")
	})
	next.RemovePlaced(at(time.Second), "n1")
	if got := len(next.Placed(at(time.Second), "n1")); got != 0 {
		t.Errorf("got %d requests after the node was lost, want none", got)
	}
}

func BenchmarkAsk(b *testing.B) {
	for _, engines := range []int{23, 80} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			s := newState(engines)
			for i := range engines * 6 {
				s.Ask(0, short("busy"+strconv.Itoa(i)))
				s.First(0, snipeford.RequestID("busy"+strconv.Itoa(i)), snipeford.EngineLoad{})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ask := long("x"+strconv.Itoa(i), 154_000)
				s.Ask(at(time.Duration(i)*time.Second), ask)
				s.End(at(time.Duration(i)*time.Second), ask.RequestID, false, "")
			}
		})
	}
}

// busy fills the engines with streams of short prompts that are being written.
func busy(s *placement.State, streams int) {
	for i := range streams {
		call := "busy" + strconv.Itoa(i)
		s.Ask(0, short(call))
		s.First(at(100*time.Millisecond), snipeford.RequestID(call), snipeford.EngineLoad{})
	}
}

// TestGiantWaitsForABurst answers a prompt of half a million tokens in a burst
// of short ones: its reading would break all streams beside it.
func TestGiantWaitsForABurst(t *testing.T) {
	s := newState(18)
	busy(s, 110)
	if got := s.Ask(at(200*time.Millisecond), long("giant", 528_000)); len(got) > 0 {
		t.Errorf("got %+v, want it to wait", got)
	}
	t.Run("and is placed when the burst is over", func(t *testing.T) {
		for i := range 110 {
			s.End(at(3*time.Second), snipeford.RequestID("busy"+strconv.Itoa(i)), false, "")
		}
		find(t, s.Next(at(3*time.Second)), "giant")
	})
}

// TestOverdueEngine answers work that is not in the books, such as what a node
// that is cut off places: the engine's first events do not come when predicted.
func TestOverdueEngine(t *testing.T) {
	s := newState(2)
	stuck := find(t, s.Ask(0, short("a")), "a")
	for i := range 6 {
		call := "b" + strconv.Itoa(i)
		p := find(t, s.Ask(at(time.Second), short(call)), snipeford.RequestID(call))
		if p.Upstream == stuck.Upstream {
			t.Errorf("got %s, want the other engine: a first event there is overdue", p.Upstream)
		}
		s.First(at(time.Second+100*time.Millisecond), snipeford.RequestID(call), snipeford.EngineLoad{})
	}
}

// TestPromptThatNoEngineCanReadInTime answers a caller that comes back with
// little time left: to hold it until it leaves would help nobody.
func TestPromptThatNoEngineCanReadInTime(t *testing.T) {
	ask := long("a", 520_000)
	ask.TimeLeft, ask.FirstEventTimeout = 1500*time.Millisecond, 1500*time.Millisecond
	p := find(t, newState(18).Ask(0, ask), "a")
	if !p.Refused {
		t.Errorf("got %+v, want a refusal at once: all engines need 1.7 s", p)
	}
}

// TestNoPlaceBehindTheCallersPatience answers an engine that reads a long
// prompt beside one whose streams bear little more: a caller that leaves before
// the reading is done gains nothing there.
func TestNoPlaceBehindTheCallersPatience(t *testing.T) {
	s := newState(2)
	ask := long("long", 290_000)
	ask.AvoidHelpers = true
	reading := find(t, s.Ask(0, ask), "long").Upstream
	busy(s, 10)
	for i := range 3 {
		s.Ask(at(200*time.Millisecond), short("s"+strconv.Itoa(i)))
	}
	last := short("last")
	last.Prompt = 8_000
	for _, p := range s.Ask(at(200*time.Millisecond), last) {
		if p.Upstream == reading {
			t.Errorf("got %s at %s, want it to wait: the engine reads for 9 s", p.RequestID, p.Upstream)
		}
	}
}
