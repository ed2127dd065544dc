// Package stream defines the chunks of an engine's response, the check that they
// belong to one attempt without a gap, and the frames in which a home sends them
// to an entry node.
package stream

import (
	"errors"
	"net/http"
	"time"

	"snipeford"
)

// Chunk is one token of a response or, if Done is set, the end of the response.
// Offset is the number of output tokens before it.
type Chunk struct {
	Attempt snipeford.AttemptID
	Offset  snipeford.Tokens
	Text    string
	Done    bool                  `json:",omitempty"`
	Load    *snipeford.LoadReport `json:",omitempty"`
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// End is the result of a call at its home.
type End struct {
	Done       bool
	Cause      snipeford.Cause   `json:",omitempty"`
	Outcome    snipeford.Outcome `json:",omitempty"`
	RetryAfter time.Duration     `json:",omitempty"`
	Offset     snipeford.Tokens
	Upstream   snipeford.UpstreamID `json:",omitempty"`
}

// Frame is one line of the response from a home to an entry node. At most one
// field is set; a frame without fields is a keep-alive.
type Frame struct {
	Chunk    *Chunk    `json:",omitempty"`
	Response *Response `json:",omitempty"`
	End      *End      `json:",omitempty"`
}

// Sink receives a response and passes it on towards the caller.
type Sink interface {
	Chunk(Chunk) error
	Response(Response) error
}

// Errors of a stream that must not be passed on to the caller.
var (
	ErrWrongAttempt = errors.New("chunk of another attempt")
	ErrGap          = errors.New("gap in the stream")
	ErrTruncated    = errors.New("stream ended before its last chunk")
)

// Verifier checks that the chunks of one attempt arrive in order and without a
// gap. Repeated chunks are dropped.
type Verifier struct {
	Attempt snipeford.AttemptID
	// NextOffset is the offset of the next token to pass on.
	NextOffset snipeford.Tokens
	done       bool
}

// Check reports whether the chunk must be passed on.
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

// Finish returns ErrTruncated if the last chunk has not been received.
func (v *Verifier) Finish() error {
	if !v.done {
		return ErrTruncated
	}
	return nil
}
