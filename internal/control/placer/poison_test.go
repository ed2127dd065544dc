package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"snipeford"
)

const (
	// detectionTime is how long after the fifth crash by one part requests with it
	// may still reach engines, and maxLaterSends how many may reach them later.
	detectionTime = 3 * time.Second
	freeCrashes   = 5
	maxLaterSends = 3
	// minSoundShare is the share of sound requests that must begin at the first
	// attempt from twice detectionTime after the fifth crash, relative to before.
	minSoundShare = 0.5
)

// checkPoison checks that a poison stops ending engines, and that sound requests are
// served as before.
func (f *simFleet) checkPoison(t *testing.T, p poison) {
	t.Helper()
	crashes := f.crashes[p.part]
	if len(crashes) == 0 {
		t.Fatalf("%s crashed no engine", p.part)
	}
	fifth := crashes[min(freeCrashes, len(crashes))-1]
	if len(crashes) >= freeCrashes {
		if got := countBetween(f.sends[p.part], fifth.Add(detectionTime), f.now); got > maxLaterSends {
			t.Errorf("%s: got %d sends later than %v after the fifth crash and %d crashes, want at most %d sends", p.part, got, detectionTime, len(crashes), maxLaterSends)
		}
	}
	settled := fifth.Add(2 * detectionTime)
	before := f.soundShare(0, snipeford.Instant(f.poisons[0].from)-snipeford.Instant(3*time.Second))
	if got, want := f.soundShare(settled, f.now-snipeford.Instant(3*time.Second)), minSoundShare*before; got < want {
		t.Errorf("%s: got a share of %.2f of sound requests that begin at the first attempt, want at least %.2f", p.part, got, want)
	}
}

// soundShare returns the share of the sound requests of a period that began at
// their first attempt.
func (f *simFleet) soundShare(from, to snipeford.Instant) float64 {
	return float64(countBetween(f.begun, from, to)) / float64(countBetween(f.arrived, from, to))
}

// TestPrefixPartCrashesEngineAfterEngine guards against requests with one part in
// their prompts that crash each engine that they are sent to, until none is left.
func TestPrefixPartCrashesEngineAfterEngine(t *testing.T) {
	for seed := range uint64(6) {
		for _, perSecond := range []float64{0.5, 3, 10} {
			t.Run(fmt.Sprintf("%v a second, seed %d", perSecond, seed), func(t *testing.T) {
				t.Parallel()
				p := poison{part: "bad", from: 10 * time.Second, perSecond: perSecond}
				f := newSimFleet(seed, p)
				f.run(60 * time.Second)
				f.checkPoison(t, p)
			})
		}
	}
}

// TestSoundPartTurnsPoison guards against a part that is spared because responses to it
// went on before it began to crash engines.
func TestSoundPartTurnsPoison(t *testing.T) {
	for seed := range uint64(6) {
		for _, perSecond := range []float64{0.5, 3} {
			t.Run(fmt.Sprintf("%v a second, seed %d", perSecond, seed), func(t *testing.T) {
				t.Parallel()
				f, p := fleetWithTurnedPart(seed, perSecond)
				f.run(60 * time.Second)
				f.checkPoison(t, p)
			})
		}
	}
}

// TestFrequentSoundPartTurnsPoison guards against the same for a part of a fifth to a
// third of all requests.
func TestFrequentSoundPartTurnsPoison(t *testing.T) {
	for seed := range uint64(15) {
		for _, perSecond := range []float64{10, 20} {
			t.Run(fmt.Sprintf("%v a second, seed %d", perSecond, seed), func(t *testing.T) {
				t.Parallel()
				f, p := fleetWithTurnedPart(seed, perSecond)
				f.run(60 * time.Second)
				f.checkPoison(t, p)
			})
		}
	}
}

func fleetWithTurnedPart(seed uint64, perSecond float64) (*simFleet, poison) {
	p := poison{part: "bad", from: 10 * time.Second, perSecond: perSecond, turned: true}
	return newSimFleet(seed, p), p
}

// TestPoisonSharesFirstPart guards against a quarantine of the first part of a poison
// request, which sound requests have, too.
func TestPoisonSharesFirstPart(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := poison{part: "bad", from: 10 * time.Second, perSecond: 3, first: "first0"}
			f := newSimFleet(seed, p)
			f.run(60 * time.Second)
			f.checkPoison(t, p)
			f.checkQuarantined(t, "bad")
		})
	}
}

// checkQuarantined checks that exactly the given parts are quarantined at all nodes.
func (f *simFleet) checkQuarantined(t *testing.T, want ...snipeford.PrefixPart) {
	t.Helper()
	f.updateDirectory()
	for _, node := range f.nodes {
		var got []snipeford.PrefixPart
		for _, q := range node.Quarantines() {
			if !q.Released {
				got = append(got, q.Part)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("node %s: got parts %v quarantined, want %v", node.Node, got, want)
		}
	}
}

func TestTwoPoisons(t *testing.T) {
	for _, tt := range []struct {
		name   string
		second time.Duration
	}{{"at once", 10 * time.Second}, {"one after the other", 25 * time.Second}} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, seed), func(t *testing.T) {
				t.Parallel()
				a := poison{part: "bad1", from: 10 * time.Second, perSecond: 2}
				b := poison{part: "bad2", from: tt.second, perSecond: 3}
				f := newSimFleet(seed, a, b)
				f.run(60 * time.Second)
				f.checkPoison(t, a)
				f.checkPoison(t, b)
				f.checkQuarantined(t, "bad1", "bad2")
			})
		}
	}
}

// TestPoisonsBesideOutages checks that poisons are found while engines also end for
// other reasons, two at a time.
func TestPoisonsBesideOutages(t *testing.T) {
	for _, seed := range []uint64{0, 4, 6, 18, 23, 40} {
		checkPoisonsBesideOutages(t, seed, false)
	}
}

// TestTurnedPoisonsBesideOutages guards against parts that are found late beside
// outages because responses to them went on before they began to crash engines.
func TestTurnedPoisonsBesideOutages(t *testing.T) {
	for _, seed := range []uint64{2, 20, 26, 32, 37, 45} {
		checkPoisonsBesideOutages(t, seed, true)
	}
}

func checkPoisonsBesideOutages(t *testing.T, seed uint64, turned bool) {
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		t.Parallel()
		a := poison{part: "bad1", from: 10 * time.Second, perSecond: 3, first: "first0", turned: turned}
		b := poison{part: "bad2", from: 11 * time.Second, perSecond: 4, first: "first1", turned: turned}
		f := newSimFleet(seed, a, b)
		for outage := range 8 {
			f.run(time.Duration(8+3*outage) * time.Second)
			for i := range 2 {
				f.crash(f.engineID((2*outage + i) % simEngines))
			}
		}
		f.run(60 * time.Second)
		f.checkPoison(t, a)
		f.checkPoison(t, b)
	})
}

// TestCrashOfManyEngines checks that engines that end together, as in an outage of a
// failure domain, make no prompt suspect.
func TestCrashOfManyEngines(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(seed)
			for outage := range 5 {
				f.run(time.Duration(10*(outage+1)) * time.Second)
				for i := range simEngines / 3 {
					f.crash(f.engineID((6*outage + i) % simEngines))
				}
			}
			f.run(60 * time.Second)
			if len(f.decisions) > 0 {
				t.Errorf("got decisions %v, want none", f.decisions)
			}
		})
	}
}

// TestQuarantineOutlivesHome checks that the evidence and the quarantine are not lost
// when the home of the service ends, at any time, and other nodes become homes.
func TestQuarantineOutlivesHome(t *testing.T) {
	for _, perSecond := range []float64{3, 10} {
		for _, lost := range []time.Duration{10500, 11000, 11500, 13000, 20000} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%v a second, after %d ms, seed %d", perSecond, lost, seed), func(t *testing.T) {
					t.Parallel()
					p := poison{part: "bad", from: 10 * time.Second, perSecond: perSecond, first: "first0"}
					f := newSimFleet(seed, p)
					f.run(lost * time.Millisecond)
					f.replaceHome()
					f.run(30 * time.Second)
					f.replaceHome()
					f.run(60 * time.Second)
					f.checkPoison(t, p)
					f.checkQuarantined(t, "bad")
				})
			}
		}
	}
}
