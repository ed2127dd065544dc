package snipeford_test

import (
	"testing"

	"snipeford"
)

func TestRequestKey(t *testing.T) {
	key := snipeford.RequestKey("h", "/a/x", "o", []byte("body"))
	if got := snipeford.RequestKey("h", "/a/x", "o", []byte("body")); got != key || !got.IsRequest() {
		t.Errorf("got %s, want %s again", got, key)
	}
	for name, other := range map[string]snipeford.PrefixPart{
		"host":   snipeford.RequestKey("g", "/a/x", "o", []byte("body")),
		"target": snipeford.RequestKey("h", "/a/y", "o", []byte("body")),
		"caller": snipeford.RequestKey("h", "/a/x", "p", []byte("body")),
		"body":   snipeford.RequestKey("h", "/a/x", "o", nil),
		"border": snipeford.RequestKey("h", "/a/xo", "", []byte("body")),
	} {
		if other == key {
			t.Errorf("%s: got the same key, want another", name)
		}
	}
	if snipeford.PrefixPart("5c1e07a2").IsRequest() {
		t.Error("got the key of a request for a prefix part, want none")
	}
}
