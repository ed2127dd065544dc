package grant

import "snipeford/internal/control/directory"

// isConfirmed reports whether the peer had current rows at its last pong.
func (l *link) isConfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed
}

// ReachesHomes reports whether the node knows the homes of all services, from rows of nodes
// that contain its own, and each of them is this node or responds.
func (c *Client) ReachesHomes(v *directory.View) bool {
	if _, listed := v.Peers[c.Self.Node]; !listed {
		return false
	}
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for service := range v.Usable {
		order := c.nodeOrders[service]
		if len(order) == 0 {
			return false
		}
		if order[0] == c.Self.Node {
			continue
		}
		l := c.links[order[0]]
		if l == nil {
			return false
		}
		if _, ok := l.currentStaleness(now); !ok {
			return false
		}
	}
	return true
}
