package grant

import (
	"slices"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/placer"
)

// ownWatchTime is how long a node watches a request under which it saw an upstream end.
// By then the home's list has arrived.
const ownWatchTime = 5 * time.Second

// watches holds the requests for which a home's permit is needed, as the nodes that are
// or were homes list them. A request that only a former home lists needs a permit, too,
// which the present one gives.
type watches struct {
	mu    sync.Mutex
	lists map[snipeford.NodeID]map[snipeford.ServiceName][]snipeford.PrefixPart
	// own holds the requests under which this node saw upstreams end, with the time until
	// which they are watched.
	own map[snipeford.PrefixPart]snipeford.Instant
	// paced holds the upstreams with a pace, as the nodes that are or were homes list them.
	paced map[snipeford.NodeID]map[snipeford.ServiceName][]snipeford.UpstreamID
	// failed holds the upstreams that have failed a request of this node, with the time
	// until which they count as paced.
	failed map[snipeford.UpstreamID]snipeford.Instant
}

// set replaces the list of a node for a service.
func (w *watches) set(node snipeford.NodeID, list placer.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lists == nil {
		w.lists = map[snipeford.NodeID]map[snipeford.ServiceName][]snipeford.PrefixPart{}
	}
	if w.lists[node] == nil {
		w.lists[node] = map[snipeford.ServiceName][]snipeford.PrefixPart{}
	}
	w.lists[node][list.Service] = slices.Clone(list.Keys)
	w.setPaced(node, list)
}

func (w *watches) forget(node snipeford.NodeID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lists, node)
	delete(w.paced, node)
}

// watchOwn watches the request of a crash until the home's list has arrived.
func (w *watches) watchOwn(now snipeford.Instant, crash snipeford.UpstreamCrash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.own == nil {
		w.own = map[snipeford.PrefixPart]snipeford.Instant{}
	}
	for key, until := range w.own {
		if until < now {
			delete(w.own, key)
		}
	}
	for _, key := range crash.PrefixParts {
		if key.IsRequest() {
			w.own[key] = now.Add(ownWatchTime)
		}
	}
}

func (w *watches) contains(now snipeford.Instant, service snipeford.ServiceName, key snipeford.PrefixPart) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.own[key] > now {
		return true
	}
	for _, lists := range w.lists {
		if _, found := slices.BinarySearch(lists[service], key); found {
			return true
		}
	}
	return false
}

// SetWatch sets the requests that this node itself watches.
func (c *Client) SetWatch(list placer.Watch) { c.watches.set(c.Self.Node, list) }

// Watched reports whether a request of a service needs a permit of the home.
func (c *Client) Watched(service snipeford.ServiceName, key snipeford.PrefixPart) bool {
	return c.watches.contains(c.Timer.Now(), service, key)
}

// watchList is the server's side: the lists that peers get.
type watchList struct {
	mu    sync.Mutex
	lists map[snipeford.ServiceName]placer.Watch
}

func (w *watchList) set(list placer.Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lists == nil {
		w.lists = map[snipeford.ServiceName]placer.Watch{}
	}
	list.Keys, list.Paced = slices.Clone(list.Keys), slices.Clone(list.Paced)
	w.lists[list.Service] = list
}

// all returns the lists that are not empty.
func (w *watchList) all() []placer.Watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []placer.Watch
	for _, list := range w.lists {
		if len(list.Keys)+len(list.Paced) > 0 {
			out = append(out, list)
		}
	}
	return out
}

// Watch sends a changed list of watched requests to all connected nodes. It writes in a
// goroutine of its own, since it must not block the control goroutine.
func (s *Server) Watch(list placer.Watch) {
	s.watched.set(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, fc := range s.peers {
		go s.sendWatch(node, fc, list.Service)
	}
}

// sendWatch sends the present list of a service to a node.
func (s *Server) sendWatch(node snipeford.NodeID, fc *frameConn, service snipeford.ServiceName) {
	fc.watchMu.Lock()
	defer fc.watchMu.Unlock()
	s.watched.mu.Lock()
	list := s.watched.lists[service]
	s.watched.mu.Unlock()
	if err := fc.send(Frame{Watch: &list}); err != nil {
		s.Log.Warn("cannot send watched requests", err, "Peer", node)
	}
}
