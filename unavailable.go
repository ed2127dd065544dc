package snipeford

import (
	"fmt"
	"time"
)

// UnavailableError is an ErrUnavailable of an upstream that wants no requests from this
// node for a time.
type UnavailableError struct {
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%v for %v", ErrUnavailable, e.RetryAfter)
}

// Unwrap returns ErrUnavailable.
func (e *UnavailableError) Unwrap() error { return ErrUnavailable }
