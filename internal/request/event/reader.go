// Package event splits the stream of an answer into its events, so that only
// whole ones are passed on.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// longest bounds an event, in bytes.
const longest = 1 << 20

// Errors of a stream.
var (
	// ErrTruncated says that the stream ended inside an event.
	ErrTruncated = errors.New("stream ended inside an event")
	// ErrTooLong says that an event has no end.
	ErrTooLong = errors.New("event is too long")
)

// Event is one event of a stream.
type Event struct {
	// Raw are the event's bytes with the empty line that ends it.
	Raw []byte
	// ID is the event's id, where it has one.
	ID string
}

// Reader reads events.
type Reader struct {
	lines *bufio.Reader
	raw   []byte
}

// readerSize holds most events, in bytes.
const readerSize = 2 << 10

// NewReader returns a reader of events.
func NewReader(r io.Reader) *Reader { return &Reader{lines: bufio.NewReaderSize(r, readerSize)} }

// Next returns the next event; its bytes are valid until the next call. io.EOF
// says that the stream ended between two events.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	id := ""
	for {
		start := len(r.raw)
		err := r.line()
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		switch {
		case err == io.EOF && len(r.raw) == 0:
			return Event{}, io.EOF
		case err == io.EOF:
			return Event{}, ErrTruncated
		case err != nil:
			return Event{}, fmt.Errorf("read event: %w", err)
		}
		if len(line) == 0 {
			return Event{Raw: r.raw, ID: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// line appends the next line.
func (r *Reader) line() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > longest {
			return ErrTooLong
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
