package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeford/internal/control/directory"
)

// A node is ready once it has the rows, and has prepared what its first requests need: links
// to the homes of all services and connections to some upstreams. Without them its first
// requests are placed by standbys of the homes or by the node itself, which do not know
// what the others place.
const (
	// maxPrepareTime limits the preparation, so that a home that is gone or rows of nodes
	// that are missing keep no node out. It covers some connection attempts of 200 ms.
	maxPrepareTime = 1500 * time.Millisecond
	// settleTime is how long the known nodes must not have changed: nodes that start
	// together appear within one interval between two reads of their rows.
	settleTime = minChangeInterval
	// prepareInterval is the time between two checks.
	prepareInterval = 20 * time.Millisecond
	// preparedConnections is the number of upstreams of each service to which connections
	// are opened: enough for the first requests of a node among some dozens.
	preparedConnections = 3
)

// hasRows reports whether the rows that requests need are there and fresh.
func (n *Node) hasRows(v *directory.View) bool {
	age, ok := n.tracker.Age(n.timer.SinceBoot())
	return v.Plan != nil && v.Listed && ok && n.relay.AcceptsKeys(age)
}

// prepare waits until the node is prepared, or for maxPrepareTime after it has the rows.
func (n *Node) prepare(ctx context.Context) error {
	for !n.hasRows(n.follower.current()) {
		if !n.timer.Sleep(ctx, prepareInterval) {
			return nil
		}
	}
	began := n.timer.Now()
	changedAt, peers, homes := began, 0, false
	bounded, cancel := context.WithTimeout(ctx, maxPrepareTime)
	defer cancel()
	group, bounded := errgroup.WithContext(bounded)
	group.Go(func() error { n.openConnections(bounded); return nil })
	for {
		v, now := n.follower.current(), n.timer.Now()
		if len(v.Peers) != peers {
			changedAt, peers = now, len(v.Peers)
		}
		homes = n.peerClient.ReachesHomes(v)
		if homes && now.Sub(changedAt) >= settleTime || now.Sub(began) >= maxPrepareTime || !n.timer.Sleep(ctx, prepareInterval) {
			break
		}
	}
	n.isPrepared.Store(true)
	n.log.Info("node is prepared", "WaitedMs", n.timer.Now().Sub(began).Milliseconds(), "ReachesHomes", homes, "Nodes", peers)
	return group.Wait()
}

// openConnections opens connections to some upstreams of each service.
func (n *Node) openConnections(ctx context.Context) {
	for _, list := range n.follower.current().Usable {
		first := 0
		if len(list) > preparedConnections {
			// Nodes start at different upstreams.
			first = int(n.timer.Now().Sub(0).Microseconds()) % len(list)
		}
		for i := range min(len(list), preparedConnections) {
			if ctx.Err() != nil {
				return
			}
			_ = n.pool.Prepare(ctx, list[(first+i)%len(list)].Address)
		}
	}
}
