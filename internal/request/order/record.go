// Package order runs orders at most once. An order is a request with an
// idempotency key. Before an order is dispatched, a conditional write inserts a
// row under its key; the row names the only attempt that may be dispatched. An
// order costs one write before the dispatch and one after it.
package order

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/request/stream"
)

// State is the progress of an order.
type State string

// States of an order's row.
const (
	// StateStarted means that the row's attempt may have been dispatched.
	StateStarted State = "Started"
	// StateDone means that the row holds the upstream's response.
	StateDone State = "Done"
	// StateUnknown means that the row's attempt was dispatched and got no response.
	StateUnknown State = "Unknown"
)

const (
	// rowTTL is how long the table keeps an order's row.
	rowTTL = 24 * time.Hour
	// maxStoredBytes limits the part of a response body that is stored.
	maxStoredBytes = 64 << 10
)

// Record is the content of an order's row.
type Record struct {
	State       State
	Attempt     snipeford.AttemptID
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
	// RequestHash is the result of Hash, which covers the method and the path too.
	// It distinguishes a retry from a reuse of the key for another request.
	RequestHash string `json:"BodyHash"`
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Truncated is set if only the first maxStoredBytes of the body are stored.
	Truncated bool `json:"Shortened,omitempty"`
}

// ID identifies an order. Equal keys of different organisations are different
// orders.
type ID struct {
	Organisation snipeford.Organisation
	Key          snipeford.IdempotencyKey
}

func (id ID) rowKey() string { return "Order/" + string(id.Organisation) + "/" + string(id.Key) }

// Hash returns the hash of a request. Two requests with the same idempotency key
// must have the same hash.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(h, "%s %s\n", method, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func decodeRecord(row snipeford.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("decode order row: %w", trace.Wrap(err))
	}
	return r, nil
}

func (r Record) encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode order row: %w", trace.Wrap(err))
	}
	return raw, nil
}

// withResponse returns a StateDone record with the upstream's response.
func (r Record) withResponse(response stream.Response) Record {
	r.State = StateDone
	r.Status = response.Status
	r.ContentType = response.Header.Get("Content-Type")
	r.Body = response.Body
	if len(r.Body) > maxStoredBytes {
		r.Body, r.Truncated = r.Body[:maxStoredBytes], true
	}
	return r
}

// storedResponse returns the response for a duplicate request.
func (r Record) storedResponse() stream.Response {
	header := http.Header{}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	header.Set(ReplayedHeader, "true")
	return stream.Response{Status: r.Status, Header: header, Body: r.Body}
}

// ReplayedHeader marks a response that was read from an order's row.
const ReplayedHeader = "Snipeford-Replayed"
