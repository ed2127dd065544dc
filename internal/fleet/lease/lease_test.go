package lease

import (
	"testing"

	"snipeford"
)

const second snipeford.Instant = 1e9

func row(version uint64) []snipeford.LeaseRow {
	return []snipeford.LeaseRow{{Member: snipeford.Member{Node: "n", Incarnation: "i"}, RowVersion: version}}
}

func wantLive(t *testing.T, v *View, want bool) {
	t.Helper()
	if got := v.Live("n", "i"); got != want {
		t.Errorf("got live %t, want %t", got, want)
	}
}

func TestView(t *testing.T) {
	t.Run("a row that stands still for the TTL has lapsed", func(t *testing.T) {
		v := &View{}
		for s := snipeford.Instant(0); s < 6; s++ {
			v.Update(s*second, row(1))
			wantLive(t, v, true)
		}
		v.Update(6*second, row(1))
		wantLive(t, v, false)
	})
	t.Run("a renewed row lives", func(t *testing.T) {
		v := &View{}
		for s := snipeford.Instant(0); s < 20; s++ {
			v.Update(s*second, row(uint64(s/2)))
		}
		wantLive(t, v, true)
	})
	t.Run("time without reads does not count", func(t *testing.T) {
		v := &View{}
		v.Update(0, row(1))
		v.Update(60*second, row(1))
		wantLive(t, v, true)
	})
	t.Run("another incarnation is not live", func(t *testing.T) {
		v := &View{}
		v.Update(0, row(1))
		if v.Live("n", "other") {
			t.Error("got live, want not")
		}
	})
}

func TestOwn(t *testing.T) {
	var o Holder
	if o.Held(0) {
		t.Error("got held before any renewal")
	}
	o.MarkRenewed(second)
	if !o.Held(5*second) || o.Held(6*second) {
		t.Errorf("got held %t at 5 s and %t at 6 s, want true and false", o.Held(5*second), o.Held(6*second))
	}
	o.MarkLost()
	if o.Held(2 * second) {
		t.Error("got held after the row was taken")
	}
}
