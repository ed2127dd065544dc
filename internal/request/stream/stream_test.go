package stream

import (
	"errors"
	"testing"

	"snipeford"
)

func TestVerifier(t *testing.T) {
	const own snipeford.AttemptID = "own"
	chunk := func(offset snipeford.Tokens) Chunk { return Chunk{Attempt: own, Offset: offset} }
	for _, c := range []struct {
		name   string
		chunks []Chunk
		passed int
		want   error
	}{
		{"a whole stream passes", []Chunk{chunk(0), chunk(1), {Attempt: own, Offset: 2, Done: true}}, 2, nil},
		{"a repeated chunk is dropped", []Chunk{chunk(0), chunk(0), {Attempt: own, Offset: 1, Done: true}}, 1, nil},
		{"another attempt's chunk is an error", []Chunk{chunk(0), {Attempt: "other", Offset: 1}}, 1, ErrWrongAttempt},
		{"a gap is an error", []Chunk{chunk(0), chunk(2)}, 1, ErrGap},
		{"an end before the last token is an error", []Chunk{chunk(0), {Attempt: own, Offset: 2, Done: true}}, 1, ErrGap},
		{"a stream without its end is an error", []Chunk{chunk(0)}, 1, ErrTruncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &Verifier{Attempt: own}
			passed, err := checkAll(v, c.chunks)
			if passed != c.passed {
				t.Errorf("got %d chunks passed on, want %d", passed, c.passed)
			}
			if !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func checkAll(v *Verifier, chunks []Chunk) (int, error) {
	passed := 0
	for _, c := range chunks {
		pass, err := v.Check(c)
		if err != nil {
			return passed, err
		}
		if pass {
			passed++
		}
	}
	return passed, v.Finish()
}
