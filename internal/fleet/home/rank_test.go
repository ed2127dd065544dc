package home_test

import (
	"strconv"
	"testing"

	"snipeford"
	"snipeford/internal/fleet/home"
)

func TestRank(t *testing.T) {
	var members []home.Candidate
	for i := range 60 {
		weight := 0.2
		if i%6 == 0 {
			weight = 0.8
		}
		members = append(members, home.Candidate{Node: snipeford.NodeID("n" + strconv.Itoa(i)), Weight: weight})
	}
	large := 0
	for i := range 200 {
		first := home.Rank(snipeford.ServiceName("s"+strconv.Itoa(i)), members)[0]
		if n, err := strconv.Atoi(string(first[1:])); err == nil && n%6 == 0 {
			large++
		}
	}
	if large < 120 {
		t.Errorf("got %d of 200 homes on large nodes, want most of them", large)
	}
	t.Run("a lost node moves its own services alone", func(t *testing.T) {
		for i := range 50 {
			name := snipeford.ServiceName("s" + strconv.Itoa(i))
			before := home.Rank(name, members)
			if after := home.Rank(name, members[1:]); before[0] != "n0" && after[0] != before[0] {
				t.Errorf("%s: got %s, want %s", name, after[0], before[0])
			}
		}
	})
}
