package placing

import (
	"time"

	"snipeford"
)

// Profile is an engine of the kind that the users run.
var Profile = snipeford.EngineProfile{
	Slots: 16, Memory: 315_000,
	StepTime: 850 * time.Microsecond, StepTimePerSequence: 4250 * time.Nanosecond, StepTimePerThousandTokens: 2850 * time.Nanosecond,
	PrefillRate: 177_000, AttentionTimePerMillionPairs: 184 * time.Microsecond,
	PrefillChunk: 2_048, DecodeStepsPerPass: 51, SharedPrefillStepTime: 50 * time.Microsecond, SharedPrefill: true,
}

// classes are Quindio's kinds of request at the given total rate of the site.
func classes(scale float64) []Class {
	return []Class{
		{Name: "reply", PerSecond: 36.8 * scale, Prompt: 5_000, Spread: 0.9, Longest: 23_800, Events: 33, Target: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, Patience: 10 * time.Second, Worth: 1.3, Late: 0.33},
		{Name: "review", PerSecond: 1.87 * scale, Prompt: 45_000, Spread: 0.5, Longest: 110_000, Events: 20, Target: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond, Patience: 10 * time.Second, Worth: 4.2, Late: 1},
		{Name: "dossier", PerSecond: 1.13 * scale, Prompt: 154_000, Spread: 0.55, Longest: 700_000, Events: 16.5, Target: 3 * time.Second, MaxPause: time.Second, Patience: 15 * time.Second, Worth: 21, Late: 5.2},
	}
}

// Factors of the users' bursts: short prompts by the hundred, or long ones.
var (
	longBurst  = []float64{0.33, 1.3, 2.8}
	shortBurst = []float64{2.45, 0.5, 0.05}
)

// Site is one of the users' deployments.
type Site struct {
	Name    string
	Engines int
	// Scale is its rate beside Quindio's.
	Scale float64
}

// Sites are those of today.
var Sites = []Site{{"Quindio", 18, 1}, {"Uwimana", 23, 1.28}}

// Named is a load with its name in tables.
type Named struct {
	Name string
	Load Load
}

// Loads returns the loads of a site that policies are compared by.
func (s Site) Loads() []Named {
	lost := s.Engines * 3 / 5
	return []Named{
		{"Calm", s.alternating(0.8, 10*time.Second)},
		{"Heavy", s.alternating(1, 10*time.Second)},
		{"EveryThreeSeconds", s.alternating(1, 3*time.Second)},
		{"OnlyLong", s.only(s.Engines, longBurst)},
		{"Overload", s.only(lost, shortBurst)},
	}
}

func (s Site) alternating(scale float64, every time.Duration) Load {
	l := Load{Classes: classes(scale * s.Scale), Length: 60 * time.Second, Engines: s.Engines, Profile: Profile}
	for i := 0; time.Duration(i)*every < l.Length; i++ {
		from := time.Duration(i) * every
		factors := longBurst
		if i%2 == 1 {
			factors = shortBurst
		}
		l.Bursts = append(l.Bursts, Burst{from, from + every, factors})
	}
	return l
}

func (s Site) only(engines int, factors []float64) Load {
	l := Load{Classes: classes(s.Scale), Length: 20 * time.Second, Engines: engines, Profile: Profile}
	l.Bursts = []Burst{{0, l.Length, factors}}
	return l
}

// Alternating changes between bursts of long and of short prompts every ten
// seconds, as Quindio's days do.
func Alternating(scale float64) Load { return Sites[0].alternating(scale, 10*time.Second) }

// Overloaded is a burst of short prompts on fewer engines than it needs, as
// after the loss of a failure domain.
func Overloaded(engines int) Load { return Sites[0].only(engines, shortBurst) }
