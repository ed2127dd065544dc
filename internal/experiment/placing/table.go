package placing

import (
	"sync"

	"gonum.org/v1/gonum/floats"

	"snipeford/internal/policy/family"
	"snipeford/internal/policy/placement"
)

// Policy is one row of the placement table.
type Policy = family.Policy[func(Scenario) Placer]

// Table lists the compared policies. The first is the baseline, the last is the
// one that nodes use.
var Table = family.Table[func(Scenario) Placer]{
	leastOutstandingPolicy, leastWorkPolicy, jointPolicy, fixedSplitPolicy, movingSplitPolicy, predictionPolicy,
}

// MeanCreditShare simulates a scenario with the given number of seeds and returns
// the mean credit share.
func MeanCreditShare(scenario Scenario, policy func(Scenario) Placer, seeds int) float64 {
	shares := make([]float64, seeds)
	var group sync.WaitGroup
	for seed := range seeds {
		group.Go(func() { shares[seed] = CreditShare(Run(scenario, uint64(seed), policy(scenario), policy(scenario))) })
	}
	group.Wait()
	return floats.Sum(shares) / float64(seeds)
}

var predictionPolicy = Policy{
	Name:  "Prediction",
	Usage: "first events and pauses are predicted for all engines, and the placement of least loss over all callers is taken",
	New: func() func(Scenario) Placer {
		return func(scenario Scenario) Placer {
			s := placement.New()
			s.Configure(scenario.Profile, 0)
			s.SetCandidates(Candidates(scenario.Engines))
			return s
		}
	},
}
