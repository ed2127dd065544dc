package placing_test

import (
	"sync"
	"testing"

	"snipeford/internal/experiment/placing"
	"snipeford/internal/policy/placement"
)

const seeds = 12

func newState(load placing.Load) *placement.State {
	s := placement.New()
	s.Configure(load.Profile, 0)
	s.SetCandidates(placing.Candidates(load.Engines))
	return s
}

func mean(t *testing.T, load placing.Load) float64 {
	t.Helper()
	shares := make([]float64, seeds)
	all := make([][]placing.Result, seeds)
	var group sync.WaitGroup
	for seed := range seeds {
		group.Go(func() {
			all[seed] = placing.Run(load, newState(load), uint64(seed))
			shares[seed] = placing.Share(all[seed])
		})
	}
	group.Wait()
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	for i := range all[0] {
		var c, o float64
		var asked, late, un, fl, pl int
		for _, r := range all {
			c += r[i].Credit
			o += r[i].Owed
			asked += r[i].Asked
			late += r[i].Late
			un += r[i].Unserved
			fl += r[i].FirstLate
			pl += r[i].PauseLate
		}
		t.Logf("%s share %.3f asked %d late %d unserved %d firstlate %d pauselate %d", all[0][i].Class, c/o, asked, late, un, fl, pl)
	}
	t.Logf("share %.3f %.3f", sum/seeds, shares)
	return sum / seeds
}

func TestAlternatingBursts(t *testing.T) {
	mean(t, placing.Alternating(0.8))
	mean(t, placing.Alternating(1))
}

func TestOverload(t *testing.T) {
	mean(t, placing.Overloaded(11))
	mean(t, placing.Overloaded(14))
}
