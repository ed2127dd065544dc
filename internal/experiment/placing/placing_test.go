package placing_test

import (
	"sync"
	"testing"
	"time"

	"snipeford/internal/experiment/placing"
)

// seedCount is the number of seeds with which each scenario is simulated.
const seedCount = 8

// targetShare is the required mean credit share on the traffic of the production
// deployments.
const targetShare = 0.80

// policyNamed returns the constructor of a policy of the table.
func policyNamed(t *testing.T, name string) func(placing.Scenario) placing.Placer {
	t.Helper()
	p, err := placing.Table.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// meanShare simulates the scenario with several seeds and returns the mean credit
// share.
func meanShare(t *testing.T, scenario placing.Scenario, newPlacer func(placing.Scenario) placing.Placer) float64 {
	t.Helper()
	all := make([][]placing.Result, seedCount)
	var group sync.WaitGroup
	for seed := range seedCount {
		group.Go(func() { all[seed] = placing.Run(scenario, uint64(seed), newPlacer(scenario), newPlacer(scenario)) })
	}
	group.Wait()
	sum := 0.0
	for _, results := range all {
		sum += placing.CreditShare(results)
	}
	for i := range all[0] {
		logClass(t, all, i)
	}
	t.Logf("credit share %.3f", sum/seedCount)
	return sum / seedCount
}

func logClass(t *testing.T, all [][]placing.Result, i int) {
	t.Helper()
	var total placing.Result
	for _, results := range all {
		r := results[i]
		total.Requests += r.Requests
		total.Unserved += r.Unserved
		total.LateFirstEvent += r.LateFirstEvent
		total.LateGap += r.LateGap
		total.Refusals += r.Refusals
		total.MeanRefusalTime += r.MeanRefusalTime / time.Duration(len(all))
		total.Credit += r.Credit
		total.MaxCredit += r.MaxCredit
	}
	t.Logf("%s: share %.3f, %d requests, %d unserved, %d with a late first event, %d with a late event gap, %d refusals after %v", all[0][i].Class, total.Credit/total.MaxCredit, total.Requests, total.Unserved, total.LateFirstEvent, total.LateGap, total.Refusals, total.MeanRefusalTime.Round(time.Millisecond))
}

func assertAtLeast(t *testing.T, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("got a credit share of %.3f, want at least %.3f", got, want)
	}
}

// TestAlternatingBursts simulates the traffic pattern of Quindio: ten seconds of
// long prompts, followed by ten seconds of short ones.
func TestAlternatingBursts(t *testing.T) {
	for name, scale := range map[string]float64{"calm": 0.8, "heavy": 1} {
		t.Run(name, func(t *testing.T) {
			scenario := placing.Alternating(scale)
			got := meanShare(t, scenario, policyNamed(t, "Prediction"))
			assertAtLeast(t, got, targetShare)
			assertAtLeast(t, got, meanShare(t, scenario, policyNamed(t, "LeastOutstanding")))
		})
	}
}

// TestIsolatedNode simulates that one node of six cannot reach the home. It places
// the requests of its callers by itself.
func TestIsolatedNode(t *testing.T) {
	scenario := placing.Alternating(0.8)
	scenario.IsolatedShare = 0.17
	got := meanShare(t, scenario, policyNamed(t, "Prediction"))
	assertAtLeast(t, got, targetShare)
	assertAtLeast(t, got, meanShare(t, scenario, policyNamed(t, "LeastOutstanding")))
}

// TestOverload simulates a burst of short prompts on the engines that remain after
// the loss of a failure domain. Requests that can still be timely have to be
// served before requests that are late in any case.
func TestOverload(t *testing.T) {
	scenario := placing.Overloaded(11)
	assertAtLeast(t, meanShare(t, scenario, policyNamed(t, "Prediction")), meanShare(t, scenario, policyNamed(t, "LeastOutstanding")))
}

// TestOverloadedSlots simulates a burst of short prompts that need more slots than
// the engines have. The slots have to go to requests that are timely then.
func TestOverloadedSlots(t *testing.T) {
	scenario := placing.OverloadedSlots()
	got := meanShare(t, scenario, policyNamed(t, "Prediction"))
	assertAtLeast(t, got, meanShare(t, scenario, policyNamed(t, "LeastOutstanding")))
}

// TestRefusalsUnderOverload checks that short prompts without a chance of a slot are
// refused as soon as that is known, and not when their callers are about to
// disconnect after two seconds. It is known once they are late.
func TestRefusalsUnderOverload(t *testing.T) {
	scenario := placing.OverloadedSlots()
	newPlacer := policyNamed(t, "Prediction")
	replies := placing.Run(scenario, 1, newPlacer(scenario), newPlacer(scenario))[0]
	if limit := 2 * scenario.Classes[0].FirstEventTarget; replies.Refusals == 0 || replies.MeanRefusalTime > limit {
		t.Errorf("got %d refusals after %v on average, want some, within %v", replies.Refusals, replies.MeanRefusalTime, limit)
	}
}
