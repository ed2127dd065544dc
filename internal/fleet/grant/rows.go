package grant

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
)

const (
	// minPackedBytes is the size of a batch from which on it is sent compressed. A
	// routing with many routes has some hundred kilobytes, which a feeder with a slow
	// link would have to send to each subscriber.
	minPackedBytes = 8 << 10
	// maxUnpackedBytes limits the size of a batch after decompression.
	maxUnpackedBytes = 32 << 20
)

// Rows carries a batch of a collection. The sender has already applied it.
type Rows struct {
	Collection snipeford.Collection
	Batch      snipeford.Batch
	// PackedBatch replaces Batch between nodes if it is large: its JSON, compressed
	// with DEFLATE.
	PackedBatch []byte `json:",omitempty"`
	// KeepMissing is how much longer, in nanoseconds, upstreams whose rows are missing
	// are used: rows of live upstreams expired in an outage of the store.
	KeepMissing time.Duration `json:",omitempty"`
	// ExpiredUpTo is the version up to which rows may have expired in that outage: a node
	// with the rows of this version, or of a later one of the era, has read them since and
	// keeps no upstreams. Zero means that the sender, a node of an earlier version, does
	// not know.
	ExpiredUpTo uint64 `json:",omitempty"`
	// Deltas replace values of the batch between nodes.
	Deltas []Delta `json:",omitempty"`
	// packLater returns PackedBatch for subscribers that do not accept deltas. It is nil if
	// there are none.
	packLater func() []byte
	// Unchanged holds rows that were written again as they were. They are sent to nodes of
	// earlier versions alone, in the batch.
	Unchanged []snipeford.Change `json:"-"`
	// Feeder is the node that sent the rows. The receiver sets it.
	Feeder snipeford.NodeID `json:"-"`
}

// NewRows returns rows to push to subscribers. It compresses a large batch, once for
// all subscribers.
func NewRows(c snipeford.Collection, b snipeford.Batch, keepMissing time.Duration) (Rows, error) {
	r := Rows{Collection: c, Batch: b, KeepMissing: keepMissing}
	if batchSize(b) < minPackedBytes {
		return r, nil
	}
	packed, err := pack(b)
	r.PackedBatch = packed
	return r, err
}

// NewChange returns the rows of a change to push to subscribers, with deltas to the values
// that they have, which known returns. It compresses the batch only if that is needed.
func NewChange(c snipeford.Collection, b snipeford.Batch, keepMissing time.Duration, known func(key string) []byte) (Rows, error) {
	r := Rows{Collection: c, Batch: b, KeepMissing: keepMissing}
	r.addDeltas(known)
	if len(r.Deltas) == 0 || batchSize(r.withDeltas().Batch) >= minPackedBytes {
		return NewRows(c, b, keepMissing)
	}
	if batchSize(b) >= minPackedBytes {
		r.packLater = sync.OnceValue(func() []byte {
			// Rows that cannot be compressed are sent uncompressed.
			packed, _ := pack(b)
			return packed
		})
	}
	return r, nil
}

// batchSize returns the number of bytes of a batch's keys and values.
func batchSize(b snipeford.Batch) int {
	size := 0
	for _, change := range b.Changes {
		size += len(change.Key) + len(change.Value)
	}
	return size
}

// pack returns a batch as JSON, compressed with DEFLATE.
func pack(b snipeford.Batch) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress rows: %w", trace.Wrap(err))
	}
	if err := json.NewEncoder(w).Encode(b); err != nil {
		return nil, fmt.Errorf("encode rows: %w", trace.Wrap(err))
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress rows: %w", trace.Wrap(err))
	}
	return packed.Bytes(), nil
}

// size returns the number of bytes of the rows that are sent to a peer, without their
// encoding.
func (r Rows) size() int {
	n := batchSize(r.Batch) + len(r.PackedBatch)
	for _, d := range r.Deltas {
		n += len(d.Operations)
	}
	return n
}

// forPeer returns the rows as they are sent to a peer, with one form of the batch, and
// false if there is nothing to send.
func (r Rows) forPeer(s Subscribe) (Rows, bool) {
	if s.AcceptsDeltas && len(r.Deltas) > 0 {
		return r.withDeltas(), true
	}
	if r.packLater != nil && s.AcceptsPacked {
		r.PackedBatch = r.packLater()
	}
	r.Deltas = nil
	if !s.ComparesDigests && len(r.Unchanged) > 0 {
		r.Batch.Changes, r.PackedBatch = slices.Concat(r.Unchanged, r.Batch.Changes), nil
	}
	if s.ComparesDigests && len(r.Unchanged) > 0 && len(r.Batch.Changes) == 0 {
		return r, false
	}
	if len(r.PackedBatch) > 0 && s.AcceptsPacked {
		r.Batch = snipeford.Batch{}
		return r, true
	}
	r.PackedBatch = nil
	return r, true
}

// unpacked returns received rows with their batch.
func (r Rows) unpacked() (Rows, error) {
	if len(r.PackedBatch) == 0 {
		return r, nil
	}
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(r.PackedBatch)), maxUnpackedBytes)
	if err := json.NewDecoder(reader).Decode(&r.Batch); err != nil {
		return r, fmt.Errorf("decode compressed rows: %w", trace.Wrap(err))
	}
	r.PackedBatch = nil
	return r, nil
}
