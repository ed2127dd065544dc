package grant

import (
	"slices"
	"time"

	"snipeford"
	"snipeford/internal/control/placer"
)

// ownFailureTime is how long an upstream counts as paced after it has failed a request of
// this node. By then the home's list has arrived.
const ownFailureTime = time.Second

// setPaced replaces the upstreams that a node lists as paced. The caller holds the mutex.
func (w *watches) setPaced(node snipeford.NodeID, list placer.Watch) {
	if w.paced == nil {
		w.paced = map[snipeford.NodeID]map[snipeford.ServiceName][]snipeford.UpstreamID{}
	}
	if w.paced[node] == nil {
		w.paced[node] = map[snipeford.ServiceName][]snipeford.UpstreamID{}
	}
	if len(list.Paced) == 0 {
		delete(w.paced[node], list.Service)
		return
	}
	w.paced[node][list.Service] = slices.Clone(list.Paced)
}

func (w *watches) recordFailure(now snipeford.Instant, id snipeford.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil {
		w.failed = map[snipeford.UpstreamID]snipeford.Instant{}
	}
	for other, until := range w.failed {
		if until < now {
			delete(w.failed, other)
		}
	}
	w.failed[id] = now.Add(ownFailureTime)
}

// isPaced reports whether an upstream has a pace as the home lists them, or has failed a
// request of this node lately.
func (w *watches) isPaced(now snipeford.Instant, home snipeford.NodeID, service snipeford.ServiceName, id snipeford.UpstreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed[id] > now {
		return true
	}
	_, found := slices.BinarySearch(w.paced[home][service], id)
	return found
}

// Paced reports whether requests to an upstream of a service without engines need a permit
// of the home. Lists of former homes do not count: their paces no longer follow the
// responses.
func (c *Client) Paced(service snipeford.ServiceName, id snipeford.UpstreamID) bool {
	node := c.Self.Node
	if homeLink := c.selectHome(service); homeLink != nil {
		node = homeLink.node
	}
	return c.watches.isPaced(c.Timer.Now(), node, service, id)
}

// ReportAttempt reports how an upstream of a service without engines has responded.
func (c *Client) ReportAttempt(report snipeford.DirectivesReport) {
	if report.Result == snipeford.AttemptFailed || report.Result == snipeford.AttemptRefused {
		c.watches.recordFailure(c.Timer.Now(), report.Upstream)
	}
	c.ReportDirectives(report)
}

// IsHome reports whether this node is the home of a service.
func (c *Client) IsHome(service snipeford.ServiceName) bool { return c.selectHome(service) == nil }
