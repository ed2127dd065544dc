package placer_test

import (
	"fmt"
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
				p := poison{"bad", 10 * time.Second, perSecond}
				f := newSimFleet(seed, p)
				f.run(60 * time.Second)
				f.checkPoison(t, p)
			})
		}
	}
}
