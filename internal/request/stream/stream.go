// Package stream carries answers: the chunks of an engine's stream, the check
// that they belong to one attempt without a gap, and the frames in which a
// home passes them on to an entry node.
package stream

import (
	"errors"
	"net/http"
	"time"

	"snipeford"
)

// Chunk is one piece of an answer. Offset counts answer tokens before it.
type Chunk struct {
	Attempt snipeford.AttemptID
	Offset  snipeford.Tokens
	Text    string
	Done    bool                  `json:",omitempty"`
	Load    *snipeford.LoadReport `json:",omitempty"`
}

// Response is a plain service's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// End says how a call ended at its home.
type End struct {
	Done       bool
	Cause      snipeford.Cause   `json:",omitempty"`
	Outcome    snipeford.Outcome `json:",omitempty"`
	RetryAfter time.Duration     `json:",omitempty"`
	Offset     snipeford.Tokens
	Upstream   snipeford.UpstreamID `json:",omitempty"`
}

// Frame is one line between home and entry. Just one field is set.
type Frame struct {
	Chunk    *Chunk    `json:",omitempty"`
	Response *Response `json:",omitempty"`
	End      *End      `json:",omitempty"`
}

// Sink takes an answer on its way to the caller.
type Sink interface {
	Chunk(Chunk) error
	Response(Response) error
}

// Errors of a stream that must not be passed on.
var (
	ErrWrongAttempt = errors.New("chunk of another attempt")
	ErrGap          = errors.New("gap in the stream")
	ErrTruncated    = errors.New("stream ended before its last chunk")
)

// Verifier lets through the chunks of one attempt in order. Repeated chunks
// are dropped.
type Verifier struct {
	Attempt snipeford.AttemptID
	// NextOffset is the offset of the next token that the caller needs.
	NextOffset snipeford.Tokens
	done       bool
}

// Check reports whether the chunk is to be passed on.
func (v *Verifier) Check(c Chunk) (bool, error) {
	if c.Attempt != v.Attempt {
		return false, ErrWrongAttempt
	}
	if c.Offset > v.NextOffset {
		return false, ErrGap
	}
	if c.Done {
		if c.Offset != v.NextOffset {
			return false, ErrGap
		}
		v.done = true
		return false, nil
	}
	if c.Offset < v.NextOffset {
		return false, nil
	}
	v.NextOffset++
	return true, nil
}

// Finish returns ErrTruncated where the last chunk has not come.
func (v *Verifier) Finish() error {
	if !v.done {
		return ErrTruncated
	}
	return nil
}
