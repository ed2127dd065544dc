package relay

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"snipeford/internal/request/intake"
	"snipeford/internal/upstream/connection"
)

const (
	// maxResponseBytes limits a response that is buffered before it is passed on.
	maxResponseBytes = 8 << 20
	// maxBufferedBytes limits the memory of all such responses, besides minBufferBytes
	// for each.
	maxBufferedBytes = 24 << 20
	// minBufferBytes is what a response may use however much memory others use.
	minBufferBytes = 64 << 10
	// minBlockBytes and maxBlockBytes are the sizes of the blocks of a response.
	minBlockBytes = 4 << 10
	maxBlockBytes = 64 << 10
)

var (
	errResponseTooLong = errors.New("response is too long")
	// errNoMemory means that a response would use more of the memory for responses than
	// is left for the others.
	errNoMemory = errors.New("responses use too much memory")
)

// budget is the memory that the buffered responses of a node use together.
type budget struct{ used atomic.Int64 }

// take reports whether a response that uses held bytes may use n more, and records them.
// Each response may use as much as is free, so that one that grows on and on leaves as
// much to others, and fails before they do.
func (b *budget) take(held, n int64) bool {
	used := b.used.Add(n)
	if held+n <= minBufferBytes || held+n <= maxBufferedBytes-used+n {
		return true
	}
	b.used.Add(-n)
	return false
}

// body is the buffered body of a response, in blocks that are never copied.
type body struct {
	budget  *budget
	account *intake.Account
	blocks  [][]byte
	size    int64
	held    int64
}

// readBody reads a body to its end.
func (b *budget) readBody(x *connection.Exchange, account *intake.Account) (*body, error) {
	out := &body{budget: b, account: account}
	if err := out.fill(x); err != nil {
		out.free()
		return nil, err
	}
	return out, nil
}

func (b *body) fill(r io.Reader) error {
	// Only what follows a full block needs another one.
	var next [1]byte
	for {
		into := b.space()
		if len(into) == 0 {
			into = next[:]
		}
		n, err := r.Read(into)
		if err := b.add(into[:n]); err != nil {
			return err
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
	}
}

// space returns the free part of the last block.
func (b *body) space() []byte {
	if len(b.blocks) == 0 {
		return nil
	}
	last := b.blocks[len(b.blocks)-1]
	return last[len(last):cap(last)]
}

// add appends bytes, which may lie in the free part of the last block already. More
// than that part holds at once is not allowed, except one byte for a new block.
func (b *body) add(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	b.size += int64(len(p))
	if b.size > maxResponseBytes {
		return errResponseTooLong
	}
	if len(b.space()) == 0 {
		n := min(max(b.held, minBlockBytes), maxBlockBytes)
		if !b.budget.take(b.held, n) {
			return errNoMemory
		}
		if !b.charge(n) {
			b.budget.used.Add(-n)
			return errNoMemory
		}
		b.held += n
		b.blocks = append(b.blocks, newBlock(n))
	}
	last := &b.blocks[len(b.blocks)-1]
	*last = append(*last, p...)
	return nil
}

// charge charges n more bytes to the request's connection. What each response may use is
// held in any case.
func (b *body) charge(n int64) bool {
	if b.account.Charge(n) {
		return true
	}
	if b.held+n > minBufferBytes {
		return false
	}
	b.account.Force(n)
	return true
}

// writeTo writes the body.
func (b *body) writeTo(w io.Writer) error {
	for _, block := range b.blocks {
		if _, err := w.Write(block); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
	}
	return nil
}

// free returns the memory to the budget. The body must not be used any more.
func (b *body) free() {
	for _, block := range b.blocks {
		if cap(block) == maxBlockBytes {
			unusedBlocks.Put((*[maxBlockBytes]byte)(block[:maxBlockBytes]))
		}
	}
	b.budget.used.Add(-b.held)
	b.account.Release(b.held)
	b.blocks, b.held = nil, 0
}

// unusedBlocks holds the largest blocks for reuse, so that responses that fail leave
// little garbage.
var unusedBlocks = sync.Pool{New: func() any { return new([maxBlockBytes]byte) }}

func newBlock(size int64) []byte {
	if size < maxBlockBytes {
		return make([]byte, 0, size)
	}
	return unusedBlocks.Get().(*[maxBlockBytes]byte)[:0]
}
