// Package event splits a stream of server-sent events, so that only complete
// events are passed on.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxEventBytes limits the length of one event. An event of an engine holds less
// than a hundred tokens, and a node may relay hundreds of streams at once.
const maxEventBytes = 128 << 10

// Errors that Next returns.
var (
	// ErrTruncated means that the stream ended inside an event.
	ErrTruncated = errors.New("stream ended inside an event")
	// ErrTooLong means that an event is longer than maxEventBytes.
	ErrTooLong = errors.New("event is too long")
	// ErrMalformed means that a line is not a field of an event.
	ErrMalformed = errors.New("line is not a field of an event")
)

// Event is one event of a stream.
type Event struct {
	// Raw is the event as received, with the empty line that ends it.
	Raw []byte
	// ID is the value of the event's id field, or empty.
	ID string
	// HasData reports whether the event has a data field. Events without one, such
	// as comments, only keep a connection open.
	HasData bool
}

// Reader reads the events of a stream.
type Reader struct {
	lines *bufio.Reader
	raw   []byte
}

// bufferBytes is larger than most events.
const bufferBytes = 2 << 10

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{lines: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next event, whose Raw is valid until the next call. It returns
// io.EOF if the stream ended between two events.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{}
	for {
		start := len(r.raw)
		err := r.readLine()
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		switch {
		case err == io.EOF && len(r.raw) == 0:
			return Event{}, io.EOF
		case err == io.EOF:
			return Event{}, ErrTruncated
		case err != nil && len(r.raw) > 0 && err != ErrTooLong:
			return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
		case err != nil:
			return Event{}, fmt.Errorf("read event: %w", err)
		}
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if !isField(line) {
			return Event{}, ErrMalformed
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(value))
		}
		e.HasData = e.HasData || bytes.HasPrefix(line, []byte("data"))
	}
}

// Held returns the size of the buffer that the events share, without the first bufferBytes.
func (r *Reader) Held() int { return max(cap(r.raw)-bufferBytes, 0) }

// isField reports whether a line is a comment, or a field with any name that consists
// of letters, digits, hyphens and underscores. Only standard fields may lack a colon.
func isField(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		switch string(line) {
		case "data", "event", "id", "retry":
			return true
		}
		return false
	}
	return bytes.IndexFunc(name, func(r rune) bool { return !isNameRune(r) }) < 0
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
}

// readLine appends the next line to raw.
func (r *Reader) readLine() error {
	for {
		part, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEventBytes {
			return ErrTooLong
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
