package grant

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"snipeford"
)

const (
	// minDeltaBytes is the size of a value from which on its change is sent as a delta. The
	// rows of upstreams and nodes have about 200 bytes.
	minDeltaBytes = 4 << 10
	// deltaBlock is the number of bytes by which equal parts are found. An entry of a
	// routing has over 100 bytes.
	deltaBlock = 32
	// maxDeltaLookups limits the search for equal parts, so that it takes about 2 ms of a
	// core. A value that has less in common with the one before is sent as a whole.
	maxDeltaLookups = 64 << 10
)

// Delta replaces the value of a change between nodes: how to make it from the value that
// the receiver has.
type Delta struct {
	// Index is that of the change in the batch.
	Index int
	// Base and Result are the hashes of the values before and after the change.
	Base, Result uint64
	// Operations are the encoded copies and insertions, see appendCopy and appendInsert.
	Operations []byte
}

var (
	errOtherBase    = errors.New("delta is for another value")
	errInvalidDelta = errors.New("delta is invalid")
)

// newDelta returns the delta from one value to another, and false if they have too little in
// common.
func newDelta(base, value []byte) (Delta, bool) {
	operations, ok := operations(base, value)
	return Delta{Base: xxhash.Sum64(base), Result: xxhash.Sum64(value), Operations: operations}, ok
}

// operations returns how to make a value from another: the equal parts at both ends are
// copied, and the parts between them are found by their blocks. It returns false if that
// takes too long.
func operations(base, value []byte) ([]byte, bool) {
	prefix := commonPrefix(base, value)
	suffix := commonSuffix(base[prefix:], value[prefix:])
	var out []byte
	if prefix > 0 {
		out = appendCopy(out, 0, prefix)
	}
	out, ok := appendMiddle(out, base, prefix, len(base)-suffix, value[prefix:len(value)-suffix])
	if suffix > 0 {
		out = appendCopy(out, len(base)-suffix, suffix)
	}
	return out, ok
}

// appendMiddle appends the operations for a part of the value without equal ends, with
// copies from base[from:to]. It returns false if that takes too long.
func appendMiddle(out, base []byte, from, to int, middle []byte) ([]byte, bool) {
	blocks := map[[deltaBlock]byte]int{}
	for at := from; at+deltaBlock <= to; at += deltaBlock {
		block := [deltaBlock]byte(base[at:])
		if _, found := blocks[block]; !found {
			blocks[block] = at
		}
	}
	pending, lookups := 0, 0
	for at := 0; at+deltaBlock <= len(middle); {
		if lookups++; lookups > maxDeltaLookups {
			return nil, false
		}
		start, found := blocks[[deltaBlock]byte(middle[at:])]
		if !found {
			at++
			continue
		}
		back := commonSuffix(base[:start], middle[pending:at])
		length := back + commonPrefix(base[start:], middle[at:])
		out = appendInsert(out, middle[pending:at-back])
		out = appendCopy(out, start-back, length)
		at += length - back
		pending = at
	}
	return appendInsert(out, middle[pending:]), true
}

// appendCopy appends a copy of a part of the base: its length, doubled, and its offset, as
// unsigned varints.
func appendCopy(out []byte, offset, length int) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(out, uint64(length)<<1), uint64(offset))
}

// appendInsert appends an insertion: its length, doubled and incremented, as an unsigned
// varint, and its bytes.
func appendInsert(out, inserted []byte) []byte {
	if len(inserted) == 0 {
		return out
	}
	return append(binary.AppendUvarint(out, uint64(len(inserted))<<1|1), inserted...)
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// apply returns the value that the delta makes from a base. It returns errOtherBase if the
// base is another one, or missing.
func (d Delta) apply(base []byte) ([]byte, error) {
	if base == nil || xxhash.Sum64(base) != d.Base {
		return nil, errOtherBase
	}
	var out []byte
	for rest := d.Operations; len(rest) > 0; {
		head, n := binary.Uvarint(rest)
		if n <= 0 {
			return nil, errInvalidDelta
		}
		rest = rest[n:]
		length, source := head>>1, rest
		if head&1 == 0 {
			offset, n := binary.Uvarint(rest)
			if n <= 0 || offset > uint64(len(base)) {
				return nil, errInvalidDelta
			}
			rest, source = rest[n:], base[offset:]
		}
		if length > uint64(len(source)) || uint64(len(out))+length > maxUnpackedBytes {
			return nil, errInvalidDelta
		}
		out = append(out, source[:length]...)
		if head&1 == 1 {
			rest = rest[length:]
		}
	}
	if xxhash.Sum64(out) != d.Result {
		return nil, fmt.Errorf("result has another hash: %w", errInvalidDelta)
	}
	return out, nil
}

// addDeltas adds the deltas of the changes of large values to the rows. The function
// returns the value of a row that the subscribers have, or nil. Values without a delta of
// under half of their size are sent as a whole.
func (r *Rows) addDeltas(known func(key string) []byte) {
	if r.Batch.Snapshot {
		return
	}
	seen := map[string]bool{}
	for i, change := range r.Batch.Changes {
		base := known(change.Key)
		isLarge := !change.Removed && len(change.Value) >= minDeltaBytes
		if isLarge && base != nil && !seen[change.Key] {
			if d, ok := newDelta(base, change.Value); ok && len(d.Operations) < len(change.Value)/2 {
				d.Index = i
				r.Deltas = append(r.Deltas, d)
			}
		}
		seen[change.Key] = true
	}
}

// withDeltas returns the rows with deltas in the place of the values that have one.
func (r Rows) withDeltas() Rows {
	changes := make([]snipeford.Change, len(r.Batch.Changes))
	copy(changes, r.Batch.Changes)
	for _, d := range r.Deltas {
		changes[d.Index].Value = nil
	}
	r.Batch.Changes, r.PackedBatch = changes, nil
	return r
}

// undelta returns received rows with the values that their deltas make from those that this
// node has.
func (r Rows) undelta(value func(snipeford.Collection, string) []byte) (Rows, error) {
	for _, d := range r.Deltas {
		if d.Index < 0 || d.Index >= len(r.Batch.Changes) {
			return r, errInvalidDelta
		}
		change := &r.Batch.Changes[d.Index]
		var base []byte
		if value != nil {
			base = value(r.Collection, change.Key)
		}
		made, err := d.apply(base)
		if err != nil {
			return r, fmt.Errorf("apply delta of %s: %w", change.Key, err)
		}
		change.Value = made
	}
	r.Deltas = nil
	return r, nil
}
