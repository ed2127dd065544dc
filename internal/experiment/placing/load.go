package placing

import (
	"time"

	"snipeford"
)

// Profile is the profile of the engines in the production deployments.
var Profile = snipeford.EngineProfile{
	Slots: 16, Memory: 315_000,
	StepTime: 850 * time.Microsecond, StepTimePerSequence: 4250 * time.Nanosecond, StepTimePerThousandTokens: 2850 * time.Nanosecond,
	PrefillRate: 177_000, AttentionTimePerMillionPairs: 184 * time.Microsecond,
	PrefillChunk: 2_048, DecodeStepsPerPass: 51, SharedPrefillStepTime: 50 * time.Microsecond, SharedPrefill: true,
}

// classes returns the request classes of Quindio with their rates multiplied by
// scale.
func classes(scale float64) []Class {
	return []Class{
		{Name: "reply", PerSecond: 36.8 * scale, MeanPrompt: 5_000, PromptSigma: 0.9, MaxPrompt: 23_800, MeanEvents: 33, FirstEventTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond, Timeout: 10 * time.Second, TimelyCredit: 1.3, LateCredit: 0.33},
		{Name: "review", PerSecond: 1.87 * scale, MeanPrompt: 45_000, PromptSigma: 0.5, MaxPrompt: 110_000, MeanEvents: 20, FirstEventTarget: 1500 * time.Millisecond, EventGapTarget: 600 * time.Millisecond, Timeout: 10 * time.Second, TimelyCredit: 4.2, LateCredit: 1},
		{Name: "dossier", PerSecond: 1.13 * scale, MeanPrompt: 154_000, PromptSigma: 0.55, MaxPrompt: 700_000, MeanEvents: 16.5, FirstEventTarget: 3 * time.Second, EventGapTarget: time.Second, Timeout: 15 * time.Second, TimelyCredit: 21, LateCredit: 5.2},
	}
}

// Rate factors of bursts of long prompts and of hundreds of short ones. The factors
// are in the order of classes: reply, review, dossier.
var (
	longBurst  = []float64{0.33, 1.3, 2.8}
	shortBurst = []float64{2.45, 0.5, 0.05}
)

// Deployment is a production deployment. Its engine count differs from that of
// bench.Deployment with the same name.
type Deployment struct {
	Name    string
	Engines int
	// RateScale is the request rate relative to Quindio.
	RateScale float64
}

// Deployments lists the production deployments.
var Deployments = []Deployment{{"Quindio", 18, 1}, {"Uwimana", 23, 1.28}}

// NamedScenario is a scenario with the name that tables print.
type NamedScenario struct {
	Name     string
	Scenario Scenario
}

// Scenarios returns the scenarios of a deployment on which policies are compared.
func (d Deployment) Scenarios() []NamedScenario {
	remaining := d.Engines * 3 / 5
	return []NamedScenario{
		{"Calm", d.alternating(0.8, 10*time.Second)},
		{"Heavy", d.alternating(1, 10*time.Second)},
		{"EveryThreeSeconds", d.alternating(1, 3*time.Second)},
		{"OnlyLong", d.singleBurst(d.Engines, longBurst)},
		{"Overload", d.singleBurst(remaining, shortBurst)},
	}
}

func (d Deployment) alternating(scale float64, burst time.Duration) Scenario {
	scenario := Scenario{Classes: classes(scale * d.RateScale), Duration: 60 * time.Second, Engines: d.Engines, Profile: Profile}
	for i := 0; time.Duration(i)*burst < scenario.Duration; i++ {
		from := time.Duration(i) * burst
		factors := longBurst
		if i%2 == 1 {
			factors = shortBurst
		}
		scenario.Bursts = append(scenario.Bursts, Burst{from, from + burst, factors})
	}
	return scenario
}

func (d Deployment) singleBurst(engines int, factors []float64) Scenario {
	scenario := Scenario{Classes: classes(d.RateScale), Duration: 20 * time.Second, Engines: engines, Profile: Profile}
	scenario.Bursts = []Burst{{0, scenario.Duration, factors}}
	return scenario
}

// Alternating alternates between bursts of long and of short prompts every ten
// seconds, like the traffic of Quindio.
func Alternating(scale float64) Scenario { return Deployments[0].alternating(scale, 10*time.Second) }

// Overloaded is a burst of short prompts on fewer engines than it needs, as
// after the loss of a failure domain.
func Overloaded(engines int) Scenario { return Deployments[0].singleBurst(engines, shortBurst) }
