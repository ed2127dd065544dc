package directory_test

import (
	"testing"

	"snipeford"
	"snipeford/internal/control/directory"
)

// TestCopiedUpstreamIsGone guards against an upstream that is used for good although the
// store has no row of it: a snapshot after that of the copy no longer has the row.
func TestCopiedUpstreamIsGone(t *testing.T) {
	t.Run("within the period", func(t *testing.T) {
		s, _ := newerThanCopy(t)
		s.Apply(seconds(13), snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{change(t, "u3", incarnation(upstream("a"), "2"))}}, jsonDecoder{})
		s.Expire(seconds(15))
		assertUpstreams(t, s, "u3")
	})
	t.Run("after a period that ended in an outage", func(t *testing.T) {
		s, _ := newerThanCopy(t)
		s.Apply(seconds(20), snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{change(t, "u3", incarnation(upstream("a"), "2"))}}, jsonDecoder{})
		s.Expire(seconds(20))
		assertUpstreams(t, s, "u3")
	})
}

// TestCopyRevivesNoReplacedUpstream guards against requests to an incarnation of an upstream
// that a copy of the store has, although it was replaced, and its successor removed, since.
func TestCopyRevivesNoReplacedUpstream(t *testing.T) {
	s := &directory.State{}
	copied := snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{change(t, "u1", incarnation(upstream("a"), "1"))}}
	s.Apply(seconds(1), snipeford.UpstreamRows, copied, jsonDecoder{})
	s.Apply(seconds(2), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{change(t, "u1", incarnation(upstream("a"), "2"))}}, jsonDecoder{})
	s.Apply(seconds(3), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{{Key: "u1", Removed: true}}}, jsonDecoder{})
	s.BeginEra(seconds(4))
	s.Apply(seconds(4), snipeford.UpstreamRows, copied, jsonDecoder{})
	assertUpstreams(t, s)
	s.Apply(seconds(5), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{change(t, "u1", incarnation(upstream("a"), "3"))}}, jsonDecoder{})
	assertUpstreams(t, s, "u1")
}

// TestRowWrittenAfterReturnIsRead guards against a second snapshot after the store's return
// whose rows are all taken for those of the copy: upstreams that were replaced since are
// left unused, and one that leaves is used for seconds under its earlier incarnation.
func TestRowWrittenAfterReturnIsRead(t *testing.T) {
	leaving := incarnation(upstream("a"), "9")
	leaving.Leaving = true
	for name, tt := range map[string]struct {
		rows []snipeford.Change
		want []snipeford.UpstreamID
	}{
		"rows of the copy":            {nil, []snipeford.UpstreamID{"u3"}},
		"replaced":                    {[]snipeford.Change{change(t, "u2", incarnation(upstream("a"), "7"))}, []snipeford.UpstreamID{"u2", "u3"}},
		"new incarnation that leaves": {[]snipeford.Change{change(t, "u3", leaving)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s, copied := newerThanCopy(t)
			rows := map[string]snipeford.Change{}
			for _, c := range append(copied.Changes, tt.rows...) {
				rows[c.Key] = c
			}
			second := snipeford.Batch{Snapshot: true}
			for _, c := range rows {
				second.Changes = append(second.Changes, c)
			}
			s.KeepMissing(0)
			s.Apply(seconds(11), snipeford.UpstreamRows, second, jsonDecoder{})
			assertUpstreams(t, s, tt.want...)
		})
	}
}
