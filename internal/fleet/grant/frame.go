// Package grant brings questions for a place to the node that decides for a
// service, its home, and the answers back. One connection joins two nodes; it
// carries many small messages. Requests themselves never pass it.
package grant

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"snipeford"
)

// Frame is one message. Just one field is set.
type Frame struct {
	Hello            *Hello                      `json:",omitempty"`
	PlacementRequest *snipeford.PlacementRequest `json:"Ask,omitempty"`
	Placement        *snipeford.Placement        `json:"Grant,omitempty"`
	// PlacedLocally tells a home of a request that its entry node placed itself.
	PlacedLocally      *snipeford.PlacedCall `json:"Adopt,omitempty"`
	FirstEventReceived *Progress             `json:"Began,omitempty"`
	RequestEnded       *Progress             `json:"Ended,omitempty"`
	Sync               *Sync                 `json:",omitempty"`
	Ping               *Ping                 `json:",omitempty"`
	Pong               *Pong                 `json:",omitempty"`
	// Subscribe asks for the rows that the peer knows and for all changes.
	Subscribe *Subscribe `json:",omitempty"`
	Rows      *Rows      `json:",omitempty"`
}

// Subscribe has no content.
type Subscribe struct{}

// Rows brings a batch of a collection that the sender has applied itself.
type Rows struct {
	Collection snipeford.Collection
	Batch      snipeford.Batch
	// StoreFailedRecently says that the store has failed the sender lately: rows that are
	// missing may have lapsed.
	StoreFailedRecently bool `json:"Outage,omitempty"`
}

// Hello is the first message on a connection.
type Hello struct {
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
}

// Progress tells of a request that was placed.
type Progress struct {
	Service       snipeford.ServiceName
	RequestID     snipeford.RequestID  `json:"Call"`
	Failed        bool                 `json:",omitempty"`
	FaultUpstream snipeford.UpstreamID `json:"Fault,omitempty"`
	Load          snipeford.EngineLoad `json:",omitzero"`
}

// Sync brings all running requests of the sender.
type Sync struct{ Calls []snipeford.PlacedCall }

// Ping asks for a Pong with the same number.
type Ping struct{ Number uint64 }

// Pong answers a Ping. ConfirmedAge is how old the sender's knowledge of the
// operators' rows is, in milliseconds, and Version the routing that it holds.
type Pong struct {
	Number         uint64
	RoutingVersion snipeford.Version `json:"Version"`
	Confirmed      bool
	StalenessMs    int64 `json:"ConfirmedAge"`
}

// writeTimeout bounds the writing of a message: a peer that does not read is
// given up.
const writeTimeout = 300 * time.Millisecond

// wire is one connection with its encoder.
type wire struct {
	conn    net.Conn
	mu      sync.Mutex
	encoder *json.Encoder
	now     func() time.Time
}

func newWire(c net.Conn, now func() time.Time) *wire {
	return &wire{conn: c, encoder: json.NewEncoder(c), now: now}
}

// send writes one message. After an error the connection is closed.
func (w *wire) send(f Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.conn.SetWriteDeadline(w.now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := w.encoder.Encode(f); err != nil {
		w.close()
		return fmt.Errorf("send to peer: %w", err)
	}
	return nil
}

// close ends the connection; its state is of no interest any more.
func (w *wire) close() { _ = w.conn.Close() }
