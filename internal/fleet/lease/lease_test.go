package lease

import (
	"testing"

	"snipeford"
)

const second snipeford.Instant = 1e9

func leaseRows(version uint64) []snipeford.LeaseRow {
	return []snipeford.LeaseRow{{Member: snipeford.Member{Node: "n", Incarnation: "i"}, RowVersion: version}}
}

func wantLive(t *testing.T, v *View, want bool) {
	t.Helper()
	if got := v.Live("n", "i"); got != want {
		t.Errorf("got live %t, want %t", got, want)
	}
}

func TestView(t *testing.T) {
	t.Run("a lease expires when its row is unchanged for the TTL", func(t *testing.T) {
		v := &View{}
		for s := snipeford.Instant(0); s < 6; s++ {
			v.Update(s*second, leaseRows(1))
			wantLive(t, v, true)
		}
		v.Update(6*second, leaseRows(1))
		wantLive(t, v, false)
	})
	t.Run("a renewed lease stays live", func(t *testing.T) {
		v := &View{}
		for s := snipeford.Instant(0); s < 20; s++ {
			v.Update(s*second, leaseRows(uint64(s/2)))
		}
		wantLive(t, v, true)
	})
	t.Run("a gap between reads does not count toward the TTL", func(t *testing.T) {
		v := &View{}
		v.Update(0, leaseRows(1))
		v.Update(60*second, leaseRows(1))
		wantLive(t, v, true)
	})
	t.Run("another incarnation is not live", func(t *testing.T) {
		v := &View{}
		v.Update(0, leaseRows(1))
		if v.Live("n", "other") {
			t.Error("got live true for another incarnation, want false")
		}
	})
}

func TestHolder(t *testing.T) {
	var h Holder
	if h.Held(0) {
		t.Error("got held true before any renewal, want false")
	}
	h.MarkRenewed(second)
	if !h.Held(5*second) || h.Held(6*second) {
		t.Errorf("got held %t at 5 s and %t at 6 s, want true and false", h.Held(5*second), h.Held(6*second))
	}
	h.MarkLost()
	if h.Held(2 * second) {
		t.Error("got held true after the lease was lost, want false")
	}
}
