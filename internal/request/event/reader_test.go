package event_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"snipeford/internal/request/event"
)

func TestNext(t *testing.T) {
	r := event.NewReader(strings.NewReader("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\n"))
	for _, want := range []event.Event{{ID: "1", Raw: []byte("id: 1\ndata: a\n\n")}, {ID: "2", Raw: []byte("id:2\r\ndata: b\r\n\r\n")}, {Raw: []byte(": note\n\n")}} {
		got, err := r.Next()
		if err != nil || got.ID != want.ID || string(got.Raw) != string(want.Raw) {
			t.Errorf("got %q %q %v, want %q %q", got.ID, got.Raw, err, want.ID, want.Raw)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

func TestTruncated(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: a", "id: 1\n", "id: 1\ndata: a\n"} {
		if _, err := event.NewReader(strings.NewReader(text)).Next(); !errors.Is(err, event.ErrTruncated) {
			t.Errorf("%q: got %v, want ErrTruncated", text, err)
		}
	}
}

// TestFailedRead guards against a stream that is reset inside an event and not
// reported as one that has an event left.
func TestFailedRead(t *testing.T) {
	failure := errors.New("reset")
	for text, truncated := range map[string]bool{"": false, "id: 1\n": true, "id: 1\nda": true} {
		r := event.NewReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(failure)))
		if _, err := r.Next(); !errors.Is(err, failure) || errors.Is(err, event.ErrTruncated) != truncated {
			t.Errorf("%q: got %v, want %v, truncated %t", text, err, failure, truncated)
		}
	}
}

// TestMalformed guards against bytes that are no event and are passed on as one.
func TestMalformed(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "garbage\n\n", "<p>data: no</p>\n\n", "\x00\x01: 1\n\n", "id: 1\nx\n\n", " id: 1\n\n", "{\"Cause\": 1}\n\n",
	} {
		if got, err := event.NewReader(strings.NewReader(text)).Next(); !errors.Is(err, event.ErrMalformed) {
			t.Errorf("%q: got %q %v, want ErrMalformed", text, got.Raw, err)
		}
	}
	for _, text := range []string{"\n", ":\n\n", "data\n\n", "id\ndata:x\n\n", "x-versions: 3\ndata: x\n\n", "X_1: y\n\n", "event: a\nretry: 5\n\n", "data: HTTP/1.1 200 OK\n\n"} {
		if got, err := event.NewReader(strings.NewReader(text)).Next(); err != nil || string(got.Raw) != text {
			t.Errorf("%q: got %q %v, want all of it", text, got.Raw, err)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := event.NewReader(strings.NewReader(text))
		consumed := 0
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			if !strings.HasPrefix(text[consumed:], string(e.Raw)) {
				t.Fatalf("got %q at %d, want the bytes of the stream", e.Raw, consumed)
			}
			consumed += len(e.Raw)
		}
	})
}
