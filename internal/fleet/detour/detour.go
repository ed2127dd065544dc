// Package detour carries connections to upstreams through other nodes. A node that has
// lost its link to an upstream opens a connection to another node, whose Gate connects to
// the upstream and then copies bytes in both directions. All decisions stay with the
// first node: which upstream, what is sent again, and when the connection is closed.
//
// The first node sends one Request as a line of JSON. The gate responds with one byte, a
// reply, and after replyOpen the connection carries one exchange with the upstream: plain
// bytes to the gate, and frames from it. Ends and resets of one side are passed on to the
// other.
package detour

import (
	"errors"
	"fmt"
	"time"

	"snipeford"
)

// Request asks another node for a connection to an upstream.
type Request struct {
	// Node is the node that asks.
	Node     snipeford.NodeID
	Upstream snipeford.UpstreamID
}

// reply is the response of a gate.
type reply byte

const (
	replyOpen reply = 'o'
	// replyRefused means that the upstream's VM refuses connections, and
	// replyUnreachable that it does not respond.
	replyRefused     reply = 'r'
	replyUnreachable reply = 'u'
	// replyUnknown means that the gate does not know the node or the upstream, and
	// replyBusy that it is leaving, has lost its own links, carries enough or has been
	// asked for a pause by the upstream.
	replyUnknown reply = 'n'
	replyBusy    reply = 'b'
)

// err returns the error that a reply stands for.
func (r reply) err() error {
	switch r {
	case replyOpen:
		return nil
	case replyRefused:
		return snipeford.ErrUpstreamRefuses
	case replyUnreachable:
		return snipeford.ErrUpstreamUnreachable
	}
	return fmt.Errorf("%w: reply %q", snipeford.ErrNoDetour, byte(r))
}

const (
	// gateDialTimeout limits the connection from the gate to the upstream.
	gateDialTimeout = 150 * time.Millisecond
	// peerDialTimeout and replyTimeout limit the connection to the gate and its reply.
	peerDialTimeout = 200 * time.Millisecond
	replyTimeout    = 500 * time.Millisecond
	// staggerDelay is the time after which the next node is asked beside one that has
	// not replied.
	staggerDelay = 60 * time.Millisecond
	// avoidTime is how long a node that could not help is asked after all others.
	avoidTime = time.Second
	// maxAsked is the number of nodes that are asked for one connection, and
	// maxOwnDomain how many of them are of the node's own failure domain. All of that
	// domain may be cut off at once.
	maxAsked     = 4
	maxOwnDomain = 2
)

// errNoUpstream means that no upstream with the address is known.
var errNoUpstream = errors.New("no upstream with this address is known")
