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
		{Name: "reply", PerSecond: 36.8 * scale, MeanPrompt: 5_000, PromptSigma: 0.9, MaxPrompt: 23_800, MeanEvents: 33, FirstEventTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond, Timeout: 10 * time.Second, TimelyCredit: 1.3, LateCredit: 0.33},
		{Name: "review", PerSecond: 1.87 * scale, MeanPrompt: 45_000, PromptSigma: 0.5, MaxPrompt: 110_000, MeanEvents: 20, FirstEventTarget: 1500 * time.Millisecond, EventGapTarget: 600 * time.Millisecond, Timeout: 10 * time.Second, TimelyCredit: 4.2, LateCredit: 1},
		{Name: "dossier", PerSecond: 1.13 * scale, MeanPrompt: 154_000, PromptSigma: 0.55, MaxPrompt: 700_000, MeanEvents: 16.5, FirstEventTarget: 3 * time.Second, EventGapTarget: time.Second, Timeout: 15 * time.Second, TimelyCredit: 21, LateCredit: 5.2},
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
	// RateScale is its rate beside Quindio's.
	RateScale float64
}

// Sites are those of today.
var Sites = []Site{{"Quindio", 18, 1}, {"Uwimana", 23, 1.28}}

// NamedLoad is a load with its name in tables.
type NamedLoad struct {
	Name string
	Load Load
}

// Loads returns the loads of a site that policies are compared by.
func (s Site) Loads() []NamedLoad {
	lost := s.Engines * 3 / 5
	return []NamedLoad{
		{"Calm", s.alternating(0.8, 10*time.Second)},
		{"Heavy", s.alternating(1, 10*time.Second)},
		{"EveryThreeSeconds", s.alternating(1, 3*time.Second)},
		{"OnlyLong", s.only(s.Engines, longBurst)},
		{"Overload", s.only(lost, shortBurst)},
	}
}

func (s Site) alternating(scale float64, every time.Duration) Load {
	l := Load{Classes: classes(scale * s.RateScale), Duration: 60 * time.Second, Engines: s.Engines, Profile: Profile}
	for i := 0; time.Duration(i)*every < l.Duration; i++ {
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
	l := Load{Classes: classes(s.RateScale), Duration: 20 * time.Second, Engines: engines, Profile: Profile}
	l.Bursts = []Burst{{0, l.Duration, factors}}
	return l
}

// Alternating changes between bursts of long and of short prompts every ten
// seconds, as Quindio's days do.
func Alternating(scale float64) Load { return Sites[0].alternating(scale, 10*time.Second) }

// Overloaded is a burst of short prompts on fewer engines than it needs, as
// after the loss of a failure domain.
func Overloaded(engines int) Load { return Sites[0].only(engines, shortBurst) }
