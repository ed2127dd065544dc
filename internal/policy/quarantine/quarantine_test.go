package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
)

func at(d time.Duration) snipeford.Instant { return snipeford.Instant(time.Minute + d) }

func parts(names ...string) []snipeford.PrefixPart {
	var out []snipeford.PrefixPart
	for _, name := range names {
		out = append(out, snipeford.PrefixPart(name))
	}
	return out
}

// crashOneByOne has requests with the parts crash engines, each placed after the
// crash before.
func crashOneByOne(s *State, n int, names ...string) {
	for i := range n {
		now := at(time.Duration(i) * time.Second)
		s.Crashed(now, snipeford.UpstreamID(fmt.Sprint("e", i)), parts(names...), now.Add(-200*time.Millisecond))
		s.Tick(now.Add(settleTime))
	}
}

func assertQuarantined(t *testing.T, s *State, want ...string) {
	t.Helper()
	var got []snipeford.PrefixPart
	for _, q := range s.Quarantines() {
		if !q.Released {
			got = append(got, q.Part)
		}
	}
	if !slices.Equal(got, parts(want...)) {
		t.Errorf("got parts %v quarantined, want %v", got, want)
	}
}

func assertCause(t *testing.T, s *State, now snipeford.Instant, r Request, want snipeford.Cause) {
	t.Helper()
	if got := s.Admit(now, r).Cause; got != want {
		t.Errorf("request %s with parts %v: got cause %q, want %q", r.ID, r.Parts, got, want)
	}
}

func TestQuarantine(t *testing.T) {
	t.Run("after three crashes one after another", func(t *testing.T) {
		s := &State{}
		crashOneByOne(s, 2, "bad")
		assertQuarantined(t, s)
		crashOneByOne(s, 3, "bad")
		assertQuarantined(t, s, "bad")
		refusal := s.Admit(at(3*time.Second), Request{ID: "r", Parts: parts("x", "bad")})
		if refusal.Cause != snipeford.CauseQuarantined || refusal.Part != "bad" || refusal.RetryAfter < 10*time.Second {
			t.Errorf("got %+v, want a refusal for part bad with a long Retry-After", refusal)
		}
		assertCause(t, s, at(3*time.Second), Request{ID: "sound", Parts: parts("x")}, "")
	})
	t.Run("not if the engines ended together", func(t *testing.T) {
		s := &State{}
		for i := range 20 {
			s.Crashed(at(time.Duration(i)*10*time.Millisecond), snipeford.UpstreamID(fmt.Sprint("e", i)), parts("a"), at(-time.Second))
		}
		s.Tick(at(time.Second))
		assertQuarantined(t, s)
		assertCause(t, s, at(time.Second), Request{ID: "r", Parts: parts("a"), Repeated: true}, "")
	})
	t.Run("several reports are one crash", func(t *testing.T) {
		s := &State{}
		for i := range 9 {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			s.Crashed(now, "e", parts("a"), now.Add(-time.Millisecond))
		}
		s.Tick(at(5 * time.Second))
		assertQuarantined(t, s)
	})
	t.Run("not the parts of responses that went on", func(t *testing.T) {
		s := &State{}
		for i := range 6 {
			now := at(time.Duration(i) * time.Second)
			s.Survived(now, parts("first"), now.Add(-time.Millisecond))
			s.Crashed(now, snipeford.UpstreamID(fmt.Sprint("e", i)), parts("first", "bad"), now.Add(-200*time.Millisecond))
			s.Tick(now.Add(settleTime))
		}
		assertQuarantined(t, s, "bad")
	})
	t.Run("not the parts of responses that are not complete yet", func(t *testing.T) {
		s := &State{}
		crashOneByOne(s, 2, "first", "bad")
		s.Decoding(parts("first"), at(1100*time.Millisecond))
		crashOneByOne(s, 3, "first", "bad")
		assertQuarantined(t, s, "bad")
		s.Decoding(parts("bad"), at(time.Hour))
		assertQuarantined(t, s, "bad")
	})
	t.Run("of parts that always come together, the one without a response", func(t *testing.T) {
		s := &State{}
		s.Survived(at(0), parts("a"), at(-100*time.Millisecond))
		crashOneByOne(s, 3, "a", "bad")
		assertQuarantined(t, s, "bad")
	})
	t.Run("of parts that always come together, the one whose last response is longest ago", func(t *testing.T) {
		s := &State{}
		s.Survived(at(-time.Second), parts("a"), at(-2*time.Second))
		s.Survived(at(-time.Second), parts("bad"), at(-3*time.Second))
		crashOneByOne(s, 3, "a", "bad")
		assertQuarantined(t, s)
		crashOneByOne(s, 4, "a", "bad")
		assertQuarantined(t, s, "bad")
	})
	t.Run("later if a response began lately", func(t *testing.T) {
		s := &State{}
		s.Survived(at(0), parts("bad"), at(-time.Second))
		for i := range 3 {
			now := at(time.Duration(i) * 300 * time.Millisecond)
			s.Crashed(now, snipeford.UpstreamID(fmt.Sprint("e", i)), parts("bad"), now.Add(-200*time.Millisecond))
		}
		s.Tick(at(1400 * time.Millisecond))
		assertQuarantined(t, s)
		s.Tick(at(1600 * time.Millisecond))
		assertQuarantined(t, s, "bad")
	})
	t.Run("not the parts of requests beside a quarantined one", func(t *testing.T) {
		s := &State{}
		crashOneByOne(s, 3, "bad")
		crashOneByOne(s, 9, "bad", "beside")
		assertQuarantined(t, s, "bad")
	})
}

func TestSuspect(t *testing.T) {
	s := &State{}
	crashOneByOne(s, 2, "bad")
	now := at(2 * time.Second)
	assertCause(t, s, now, Request{ID: "repeat", Parts: parts("bad"), Repeated: true}, snipeford.CauseSuspectPrompt)
	assertCause(t, s, now, Request{ID: "first", Parts: parts("bad")}, "")
	assertCause(t, s, now, Request{ID: "first", Parts: parts("bad")}, "")
	assertCause(t, s, now, Request{ID: "second", Parts: parts("bad")}, snipeford.CauseSuspectPrompt)
	assertCause(t, s, now, Request{ID: "other", Parts: parts("x")}, "")
	s.Ended("first")
	assertCause(t, s, now, Request{ID: "third", Parts: parts("bad")}, "")
	s.Survived(now, parts("bad"), now)
	assertCause(t, s, now, Request{ID: "fourth", Parts: parts("bad")}, "")
}

func TestTrial(t *testing.T) {
	s := &State{}
	crashOneByOne(s, 3, "bad")
	s.Changes()
	trial := func(id snipeford.RequestID) Request {
		return Request{ID: id, Parts: parts("bad"), MayBeTrial: true}
	}
	assertCause(t, s, at(10*time.Second), trial("early"), snipeford.CauseQuarantined)
	assertCause(t, s, at(40*time.Second), Request{ID: "substitute", Parts: parts("bad")}, snipeford.CauseQuarantined)
	assertCause(t, s, at(40*time.Second), trial("one"), "")
	assertCause(t, s, at(40*time.Second), trial("two"), snipeford.CauseQuarantined)
	if changes := s.Changes(); len(changes) != 1 || changes[0].Trials != 1 {
		t.Errorf("got changes %+v, want one with a trial", changes)
	}
	s.Ended("one")
	s.Crashed(at(41*time.Second), "e9", parts("bad"), at(40*time.Second))
	s.Tick(at(42 * time.Second))
	assertCause(t, s, at(75*time.Second), trial("three"), snipeford.CauseQuarantined)
	assertCause(t, s, at(200*time.Second), trial("four"), "")
	s.Survived(at(204*time.Second), parts("bad"), at(201*time.Second))
	assertQuarantined(t, s)
	assertCause(t, s, at(205*time.Second), trial("five"), "")
}

func TestMerge(t *testing.T) {
	q := snipeford.Quarantine{Part: "bad", Generation: 2}
	t.Run("a later decision", func(t *testing.T) {
		s := &State{}
		if !s.Merge(at(0), q) || s.Merge(at(0), q) {
			t.Error("want the decision adopted once")
		}
		assertQuarantined(t, s, "bad")
		s.Merge(at(0), snipeford.Quarantine{Part: "bad", Generation: 3, Released: true})
		s.Merge(at(0), q)
		assertQuarantined(t, s)
	})
	t.Run("two decisions at once", func(t *testing.T) {
		released := q
		released.Released = true
		for _, order := range [][]snipeford.Quarantine{{q, released}, {released, q}} {
			s := &State{}
			for _, decision := range order {
				s.Merge(at(0), decision)
			}
			assertQuarantined(t, s, "bad")
		}
	})
	t.Run("a response of before does not release it", func(t *testing.T) {
		s := &State{}
		s.Merge(at(0), q)
		s.Survived(at(time.Second), parts("bad"), at(-time.Second))
		assertQuarantined(t, s, "bad")
		s.Survived(at(3*time.Second), parts("bad"), at(time.Second))
		assertQuarantined(t, s)
	})
}

// TestBounds checks that the memory is bounded whatever callers send.
func TestBounds(t *testing.T) {
	s := &State{}
	for i := range 5_000 {
		now := at(time.Duration(i) * 200 * time.Millisecond)
		var many []string
		for k := range 20 {
			many = append(many, fmt.Sprintf("p%d.%d", i, k))
		}
		s.Crashed(now, snipeford.UpstreamID(fmt.Sprint("e", i%100)), parts(append(many, fmt.Sprint("bad", i/5))...), now.Add(-50*time.Millisecond))
		s.Survived(now, parts(many...), now.Add(-time.Second))
		s.Merge(now, snipeford.Quarantine{Part: snipeford.PrefixPart(fmt.Sprint("m", i)), Generation: 1})
		s.Tick(now)
	}
	if len(s.crashes) > maxCrashes || len(s.records) > maxQuarantines || len(s.history.newer) > maxHistoryParts {
		t.Errorf("got %d crashes, %d records and %d parts in the history, want at most %d, %d and %d", len(s.crashes), len(s.records), len(s.history.newer), maxCrashes, maxQuarantines, maxHistoryParts)
	}
	for _, c := range s.crashes {
		if len(c.placedAt) > maxPartsPerCrash {
			t.Errorf("got %d parts of one crash, want at most %d", len(c.placedAt), maxPartsPerCrash)
		}
	}
}

// maxPoisonCrashes is the number of engines that a part may crash if its requests come
// one after another: the rule BUDGET allows three after the fifth.
const maxPoisonCrashes = 8

// TestQuarantineProperties checks in random histories that a part is quarantined only
// after convictingCrashes crashes since its last response, and that a part whose
// requests all crash does not crash many engines.
func TestQuarantineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		now := at(0)
		crashes := map[snipeford.PrefixPart]int{}
		poisonCrashes := 0
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3_000).Draw(t, "ms")) * time.Millisecond)
			s.Tick(now)
			list := parts(fmt.Sprint("p", rapid.IntRange(0, 5).Draw(t, "part")), fmt.Sprint("q", rapid.IntRange(0, 5).Draw(t, "other")))
			poisoned := rapid.Bool().Draw(t, "poisoned")
			if poisoned {
				list = append(list, "bad")
			}
			id := snipeford.RequestID(fmt.Sprint("r", i))
			if s.Admit(now, Request{ID: id, Parts: list}).Cause != "" {
				continue
			}
			placed := now
			now = now.Add(settleTime)
			s.Ended(id)
			if !poisoned && rapid.IntRange(0, 9).Draw(t, "fault") > 0 {
				s.Survived(now, list, placed.Add(time.Millisecond))
				for _, part := range list {
					crashes[part] = 0
				}
				continue
			}
			if poisoned {
				poisonCrashes++
			}
			for _, part := range list {
				crashes[part]++
			}
			s.Crashed(now, snipeford.UpstreamID(fmt.Sprint("e", i)), list, placed)
			now = now.Add(settleTime)
			s.Tick(now)
			for _, q := range s.Changes() {
				if !q.Released && crashes[q.Part] < convictingCrashes {
					t.Fatalf("part %s quarantined after %d crashes, want at least %d", q.Part, crashes[q.Part], convictingCrashes)
				}
			}
		}
		if poisonCrashes > maxPoisonCrashes {
			t.Fatalf("got %d crashes by one part, want at most %d", poisonCrashes, maxPoisonCrashes)
		}
	})
}

// TestPoisonBehindQuarantinedParts guards against a poison whose crashes are explained by
// sound parts that were quarantined first, since engines crash for other reasons as well.
func TestPoisonBehindQuarantinedParts(t *testing.T) {
	s := &State{}
	now := at(0)
	for i, list := range [][]string{
		{"p0", "q0"}, {"p1", "q1"}, {"p0", "q0", "bad"}, {"p0", "q1", "bad"}, {"p1", "q0", "bad"},
		{"p1", "q0"}, {"p1", "q0", "bad"}, {"p1", "q1", "bad"}, {"p1", "q2", "bad"},
	} {
		now = now.Add(time.Second)
		s.Crashed(now, snipeford.UpstreamID(fmt.Sprint("e", i)), parts(list...), now.Add(-settleTime))
		now = now.Add(settleTime)
		s.Tick(now)
	}
	if !s.quarantined("bad") {
		t.Errorf("got quarantines %v, want the part of all requests but three that crashed", s.Quarantines())
	}
}
