package placing_test

import (
	"sync"
	"testing"

	"snipeford/internal/experiment/placing"
)

// seeds is how many loads of one kind are played.
const seeds = 8

// target is the mean share of credit that the users' days are to reach.
const target = 0.80

// policy returns a constructor of the table.
func policy(t *testing.T, name string) func(placing.Load) placing.Placer {
	t.Helper()
	p, err := placing.Table.New(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// mean plays the load with several seeds and returns the mean share of credit.
func mean(t *testing.T, load placing.Load, under func(placing.Load) placing.Placer) float64 {
	t.Helper()
	all := make([][]placing.Result, seeds)
	var group sync.WaitGroup
	for seed := range seeds {
		group.Go(func() { all[seed] = placing.Run(load, uint64(seed), under(load), under(load)) })
	}
	group.Wait()
	sum := 0.0
	for _, one := range all {
		sum += placing.CreditShare(one)
	}
	for i := range all[0] {
		logClass(t, all, i)
	}
	t.Logf("share %.3f", sum/seeds)
	return sum / seeds
}

func logClass(t *testing.T, all [][]placing.Result, i int) {
	t.Helper()
	var total placing.Result
	for _, one := range all {
		r := one[i]
		total.Requests += r.Requests
		total.Unserved += r.Unserved
		total.LateFirstEvent += r.LateFirstEvent
		total.LateGap += r.LateGap
		total.Credit += r.Credit
		total.MaxCredit += r.MaxCredit
	}
	t.Logf("%s share %.3f asked %d unserved %d first late %d pause late %d", all[0][i].Class, total.Credit/total.MaxCredit, total.Requests, total.Unserved, total.LateFirstEvent, total.LateGap)
}

func assertAtLeast(t *testing.T, got, want float64) {
	t.Helper()
	if got < want {
		t.Errorf("got a share of %.3f, want %.3f at least", got, want)
	}
}

// TestAlternatingBursts answers the pattern of Quindio's days: ten seconds of
// long prompts, then ten of short ones.
func TestAlternatingBursts(t *testing.T) {
	for name, scale := range map[string]float64{"calm": 0.8, "heavy": 1} {
		t.Run(name, func(t *testing.T) {
			load := placing.Alternating(scale)
			got := mean(t, load, policy(t, "Prediction"))
			assertAtLeast(t, got, target)
			assertAtLeast(t, got, mean(t, load, policy(t, "LeastOutstanding")))
		})
	}
}

// TestNodeCutOff answers a node of six that can't reach the home: it places its
// callers' requests by itself.
func TestNodeCutOff(t *testing.T) {
	load := placing.Alternating(0.8)
	load.IsolatedShare = 0.17
	got := mean(t, load, policy(t, "Prediction"))
	assertAtLeast(t, got, target)
	assertAtLeast(t, got, mean(t, load, policy(t, "LeastOutstanding")))
}

// TestOverload answers a burst of short prompts on the engines that a lost
// failure domain leaves: whoever can still be timely is served before those
// that are late anyhow.
func TestOverload(t *testing.T) {
	load := placing.Overloaded(11)
	assertAtLeast(t, mean(t, load, policy(t, "Prediction")), mean(t, load, policy(t, "LeastOutstanding")))
}
