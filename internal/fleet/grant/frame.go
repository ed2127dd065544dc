// Package grant sends placement requests to the home of a service, the node that
// places its requests on upstreams, and returns the replies. A grant is a placement
// made by the home. The package also forwards the store's rows between nodes of a
// failure domain. The store holds the three collections of snipeford.Feed, the
// operators' rows, the upstreams and the nodes; it is not snipeford.Table. A node
// opens one connection to each peer that it needs, and sends many small frames over
// it, but never the callers' requests themselves.
//
// The staleness of a copy of the rows is the time since the copy was last known to be
// current.
package grant

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/placer"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/detour"
)

// Frame is one message between two nodes. Exactly one field is set.
type Frame struct {
	Hello            *Hello                      `json:",omitempty"`
	PlacementRequest *snipeford.PlacementRequest `json:"Ask,omitempty"`
	Placement        *snipeford.Placement        `json:"Grant,omitempty"`
	// PlacedLocally reports a request to its home that the entry node placed
	// itself, since the home did not reply in time.
	PlacedLocally      *snipeford.PlacedCall `json:"Adopt,omitempty"`
	FirstEventReceived *Progress             `json:"Began,omitempty"`
	RequestEnded       *Progress             `json:"Ended,omitempty"`
	// UpstreamCrashed reports a request whose engine ended while it ran.
	UpstreamCrashed *snipeford.UpstreamCrash `json:"Crashed,omitempty"`
	// Directives reports what an upstream asks of the nodes in a response.
	Directives *snipeford.DirectivesReport `json:",omitempty"`
	// Leaving lists upstreams that have said in a response that they leave.
	Leaving []snipeford.LeavingUpstream `json:",omitempty"`
	// Sync is what the sender knows that the home of its services has to know.
	Sync *placer.Known `json:",omitempty"`
	// Watch lists the requests for which the sender's permit is needed.
	Watch *placer.Watch `json:",omitempty"`
	Ping  *Ping         `json:",omitempty"`
	Pong  *Pong         `json:",omitempty"`
	// Subscribe requests the rows that the peer has, and all later changes.
	Subscribe *Subscribe `json:",omitempty"`
	Rows      *Rows      `json:",omitempty"`
	// Detour is the first and only frame of a connection that is to lead to an upstream.
	Detour *detour.Request `json:",omitempty"`
}

// Subscribe requests rows. Revisions holds the revisions of the collections that the
// sender has; rows that have not changed since are not sent again. A second Subscribe on a
// connection replaces the first one; nodes of earlier versions ignore it.
type Subscribe struct {
	Revisions map[snipeford.Collection]snipeford.Revision `json:",omitempty"`
	// AcceptsPacked is set if the sender understands Rows.PackedBatch.
	AcceptsPacked bool `json:",omitempty"`
	// AcceptsDeltas is set if the sender understands Rows.Deltas.
	AcceptsDeltas bool `json:",omitempty"`
	// ComparesDigests is set if the sender compares its rows with Pong.Digests. It gets no
	// rows that were written again as they were.
	ComparesDigests bool `json:",omitempty"`
	// Ends is set if the sender needs no more rows.
	Ends bool `json:",omitempty"`
}

// Hello is the first frame on a connection.
type Hello struct {
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
}

// Progress reports the first event or the end of a placed request.
type Progress struct {
	Service       snipeford.ServiceName
	RequestID     snipeford.RequestID  `json:"Call"`
	Failed        bool                 `json:",omitempty"`
	FaultUpstream snipeford.UpstreamID `json:"Fault,omitempty"`
	Load          snipeford.EngineLoad `json:",omitzero"`
	// Completed is set if the response is complete.
	Completed bool `json:",omitempty"`
	// Keys and Age are those of snipeford.RequestEnd.
	Keys []snipeford.PrefixPart `json:",omitempty"`
	Age  time.Duration          `json:",omitempty"`
}

func (p *Progress) end() snipeford.RequestEnd {
	return snipeford.RequestEnd{Failed: p.Failed, FaultUpstream: p.FaultUpstream, Completed: p.Completed, Keys: p.Keys, Age: p.Age}
}

// Ping requests a Pong with the same number, with digests if Digests is set.
type Ping struct {
	Number  uint64
	Digests bool `json:",omitempty"`
}

// Digest states the version up to which a collection has been read, and the exclusive or
// of the hashes of its rows then.
type Digest struct {
	Version uint64 `json:"V"`
	Sum     uint64 `json:"S"`
}

// Pong is the reply to a Ping. RoutingVersion is the version of the sender's
// routing. Confirmed is set if the sender's copy of the operators' rows was ever
// known to be current, and StalenessMs is then its staleness in milliseconds.
type Pong struct {
	Number         uint64
	RoutingVersion snipeford.Version `json:"Version"`
	Confirmed      bool
	StalenessMs    int64 `json:"ConfirmedAge"`
	// Revisions are those of the last changes that the sender has forwarded. The pong
	// confirms nothing for a receiver without these changes.
	Revisions map[snipeford.Collection]snipeford.Revision `json:",omitempty"`
	Digests   map[snipeford.Collection]Digest             `json:",omitempty"`
}

// FeedStatus is what a node knows about the rows that it forwards.
type FeedStatus struct {
	RoutingVersion snipeford.Version
	// Confirmed is set if the operators' rows were ever known to be current, and Staleness
	// is then the time since.
	Confirmed bool
	Staleness time.Duration
	// Revisions are those of the last change of each collection that has been read.
	Revisions map[snipeford.Collection]snipeford.Revision
	// Digests are those of the collections that have been read. They are empty in most
	// pongs.
	Digests map[snipeford.Collection]Digest
}

// writeTimeout limits the time to write one frame, and rowsWriteTimeout that to write
// rows, of which a snapshot can take longer on a busy link. The connection to a peer
// that does not read is closed.
const (
	writeTimeout     = 300 * time.Millisecond
	rowsWriteTimeout = 3 * time.Second
)

// frameConn writes frames to one connection.
type frameConn struct {
	conn    net.Conn
	mu      sync.Mutex
	encoder *json.Encoder
	timer   *timer.Clock
	// watchMu keeps lists of watched requests in order.
	watchMu sync.Mutex
}

func newFrameConn(c net.Conn, t *timer.Clock) *frameConn {
	return &frameConn{conn: c, encoder: json.NewEncoder(c), timer: t}
}

// send writes one frame. If the write fails, the connection is closed.
func (fc *frameConn) send(f Frame) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	timeout := writeTimeout
	if f.Rows != nil {
		timeout = rowsWriteTimeout
	}
	if err := fc.conn.SetWriteDeadline(fc.timer.Deadline(timeout)); err != nil {
		fc.close()
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := fc.encoder.Encode(f); err != nil {
		fc.close()
		return fmt.Errorf("send to peer: %w", err)
	}
	return nil
}

// close closes the connection and ignores the error, since the connection is no
// longer used.
func (fc *frameConn) close() { _ = fc.conn.Close() }
