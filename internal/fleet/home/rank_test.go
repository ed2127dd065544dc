package home_test

import (
	"strconv"
	"testing"

	"snipeford"
	"snipeford/internal/fleet/home"
)

func TestRank(t *testing.T) {
	var candidates []home.Candidate
	for i := range 60 {
		weight := 0.2
		if i%6 == 0 {
			weight = 0.8
		}
		candidates = append(candidates, home.Candidate{Node: snipeford.NodeID("n" + strconv.Itoa(i)), Weight: weight})
	}
	onLarge := 0
	for i := range 200 {
		first := home.Rank(snipeford.ServiceName("s"+strconv.Itoa(i)), candidates)[0]
		if n, err := strconv.Atoi(string(first[1:])); err == nil && n%6 == 0 {
			onLarge++
		}
	}
	// The 10 large nodes of 60 have about 76 % of the total squared weight.
	if onLarge < 120 {
		t.Errorf("got %d of 200 homes on large nodes, want at least 120", onLarge)
	}
	t.Run("removing a node moves only the services whose home it was", func(t *testing.T) {
		for i := range 50 {
			name := snipeford.ServiceName("s" + strconv.Itoa(i))
			before := home.Rank(name, candidates)
			if after := home.Rank(name, candidates[1:]); before[0] != "n0" && after[0] != before[0] {
				t.Errorf("%s: got %s, want %s", name, after[0], before[0])
			}
		}
	})
}
