package snipeford

import (
	"context"
	"errors"
	"net"
)

// Detours opens connections to upstreams through other nodes, which copy bytes in both
// directions. A node uses them for upstreams that it does not reach itself.
type Detours interface {
	// Open opens a connection to the upstream with an address, and returns the node that
	// it leads through. The connection carries one exchange and is then closed.
	// Errors are ErrUpstreamRefuses, ErrUpstreamUnreachable and ErrNoDetour.
	Open(ctx context.Context, address string) (net.Conn, NodeID, error)
	// Reaches returns nil if a node reaches the upstream with an address.
	Reaches(ctx context.Context, node NodeID, address string) error
}

// Errors of Detours.
var (
	// ErrUpstreamRefuses means that the upstream's VM refuses connections from another
	// node, too: the upstream has ended.
	ErrUpstreamRefuses = errors.New("upstream refuses connections from other nodes")
	// ErrUpstreamUnreachable means that other nodes do not reach the upstream either.
	ErrUpstreamUnreachable = errors.New("other nodes do not reach the upstream")
	// ErrNoDetour means that no other node could try.
	ErrNoDetour = errors.New("no other node offers a detour")
)
