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

// grownProfile is the profile of the engines in the grown deployments.
var grownProfile = func() snipeford.EngineProfile {
	p := Profile
	p.Slots, p.DecodeStepsPerPass = 12, 57
	return p
}()

// grownClasses returns the request classes of the grown Khovsgol deployment with
// their rates multiplied by scale.
func grownClasses(scale float64) []Class {
	return []Class{
		{Name: "reply", PerSecond: 126 * scale, MeanPrompt: 5_000, PromptSigma: 0.9, MaxPrompt: 23_800, MeanEvents: 32, FirstEventTarget: 300 * time.Millisecond, EventGapTarget: 250 * time.Millisecond, Timeout: 10 * time.Second, TimelyCredit: 1.3, LateCredit: 0.33},
		{Name: "review", PerSecond: 7.97 * scale, MeanPrompt: 45_000, PromptSigma: 0.5, MaxPrompt: 110_000, MeanEvents: 19, FirstEventTarget: 1500 * time.Millisecond, EventGapTarget: 600 * time.Millisecond, Timeout: 10 * time.Second, TimelyCredit: 3.5, LateCredit: 0.88},
		{Name: "dossier", PerSecond: 2.62 * scale, MeanPrompt: 220_000, PromptSigma: 0.55, MaxPrompt: 700_000, MeanEvents: 16, FirstEventTarget: 4 * time.Second, EventGapTarget: time.Second, Timeout: 15 * time.Second, TimelyCredit: 29, LateCredit: 7.4},
	}
}

// Rate factors of bursts of long prompts and of hundreds of short ones. The factors
// are in the order of classes: reply, review, dossier.
var (
	longBurst  = []float64{0.33, 1.3, 2.8}
	shortBurst = []float64{2.45, 0.5, 0.05}
	afterBurst = []float64{1, 0.5, 0.3}
)

// Deployment is a production deployment. Its engine count differs from that of
// bench.Deployment with the same name.
type Deployment struct {
	Name    string
	Engines int
	// RateScale is the request rate relative to that of Classes(1).
	RateScale float64
	// Classes returns the request classes, with their rates multiplied by scale.
	Classes func(scale float64) []Class
	Profile snipeford.EngineProfile
}

// Deployments lists the production deployments.
var Deployments = []Deployment{
	{"Quindio", 18, 1, classes, Profile},
	{"Uwimana", 23, 1.28, classes, Profile},
	{"KhovsgolGrown", 78, 1.1, grownClasses, grownProfile},
}

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
	scenario := Scenario{Classes: d.Classes(scale * d.RateScale), Duration: 60 * time.Second, Engines: d.Engines, Profile: d.Profile}
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

// Swinging alternates between bursts of long and of short prompts.
func (d Deployment) Swinging(scale float64, period time.Duration) Scenario {
	return d.alternating(scale, period)
}

func (d Deployment) singleBurst(engines int, factors []float64) Scenario {
	scenario := Scenario{Classes: d.Classes(d.RateScale), Duration: 20 * time.Second, Engines: engines, Profile: d.Profile}
	scenario.Bursts = []Burst{{0, scenario.Duration, factors}}
	return scenario
}

// Alternating alternates between bursts of long and of short prompts every ten
// seconds, like the traffic of Quindio.
func Alternating(scale float64) Scenario { return Deployments[0].alternating(scale, 10*time.Second) }

// Overloaded is a burst of short prompts on fewer engines than it needs, as
// after the loss of a failure domain.
func Overloaded(engines int) Scenario { return Deployments[0].singleBurst(engines, shortBurst) }

// OverloadedSlots is a burst of ten seconds on the engines of the grown Khovsgol
// deployment that are left without one of its three failure domains and a scale-in.
// Their slots are used up before their prefill capacity.
func OverloadedSlots() Scenario {
	scenario := Deployments[2].singleBurst(45, shortBurst)
	scenario.Bursts[0].To = 10 * time.Second
	scenario.Bursts = append(scenario.Bursts, Burst{10 * time.Second, scenario.Duration, afterBurst})
	return scenario
}
