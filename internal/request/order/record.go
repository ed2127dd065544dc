// Package order keeps the promise that an order runs at most once. An order is
// a request with an idempotency key. Before its dispatch a row of the table is
// inserted under the key on the condition that there is none; the row names
// the one attempt that may be dispatched. One write before and one after is
// all that an order costs the table.
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

// State is how far an order has come.
type State string

// States of an order's row.
const (
	// Started rows name an attempt that may have been dispatched.
	Started State = "Started"
	// Done rows hold the application's answer.
	Done State = "Done"
	// Unknown rows name an attempt that was dispatched and got no answer.
	Unknown State = "Unknown"
)

const (
	// keepFor is how long the table keeps an order's row.
	keepFor = 24 * time.Hour
	// longestStored bounds the part of an answer that is kept, in bytes.
	longestStored = 64 << 10
)

// Record is the content of an order's row.
type Record struct {
	State       State
	Attempt     snipeford.AttemptID
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
	// BodyHash tells a repeated request from a key that was used again.
	BodyHash    string
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Shortened says that the answer was longer than what is kept.
	Shortened bool `json:",omitempty"`
}

// ID identifies an order: keys of different organisations never meet.
type ID struct {
	Organisation snipeford.Organisation
	Key          snipeford.IdempotencyKey
}

func (n ID) row() string { return "Order/" + string(n.Organisation) + "/" + string(n.Key) }

// Hash returns the hash of what an order asks for.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(h, "%s %s\n", method, path)
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func decode(row snipeford.Row) (Record, error) {
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

// done returns the record with the application's answer.
func (r Record) done(answer stream.Response) Record {
	r.State = Done
	r.Status = answer.Status
	r.ContentType = answer.Header.Get("Content-Type")
	r.Body = answer.Body
	if len(r.Body) > longestStored {
		r.Body, r.Shortened = r.Body[:longestStored], true
	}
	return r
}

// response returns the stored answer.
func (r Record) response() stream.Response {
	header := http.Header{}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	header.Set(ReplayedHeader, "true")
	return stream.Response{Status: r.Status, Header: header, Body: r.Body}
}

// ReplayedHeader marks an answer that was stored before.
const ReplayedHeader = "Snipeford-Replayed"
