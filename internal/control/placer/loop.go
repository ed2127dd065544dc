package placer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
)

// queueSize bounds the events that wait for the control goroutine. Send blocks
// while the queue is full.
const queueSize = 1_024

// Loop runs the placement state of one node in a control goroutine.
type Loop struct {
	Node  snipeford.NodeID
	Timer *timer.Clock
	// Deliver sends a reply to another node, and returns false if that node is not
	// connected. It must not block, and must not call Send: the control goroutine that
	// calls it is the only one that empties the queue.
	Deliver func(PlacementReply) bool
	// Decided, if not nil, is called with new decisions on prefix parts and all that
	// are known. It must not block.
	Decided func(changes, all []snipeford.Quarantine)

	// Watched, if not nil, is called with each changed list of watched requests. It must
	// not block.
	Watched func(Watch)

	// Paced, if not nil, is called with each change of a pace. It must not block.
	Paced func(PaceChange)

	// Summarized, if not nil, is called with the summary of each service with engines, every
	// summaryInterval. It must not block.
	Summarized func(ServiceSummary)

	state  State
	events chan Event
	done   chan struct{}
	// view is the latest view that has not been applied. changedView has a value while
	// there is one.
	view        atomic.Pointer[directory.View]
	changedView chan struct{}

	mu      sync.Mutex
	pending map[snipeford.RequestID]chan snipeford.Placement
}

// New returns a loop for the node. Run starts it.
func New(node snipeford.NodeID, t *timer.Clock) *Loop {
	return &Loop{
		Node: node, Timer: t, state: State{Node: node},
		events: make(chan Event, queueSize),
		done:   make(chan struct{}),

		changedView: make(chan struct{}, 1),
		pending:     map[snipeford.RequestID]chan snipeford.Placement{},
	}
}

// Send queues an event. It drops the event if Run has returned.
func (l *Loop) Send(e Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// SetView has a view of the directory applied before the events that are sent later. It
// never blocks: a view that has not been applied yet is replaced.
func (l *Loop) SetView(v *directory.View) {
	l.view.Store(v)
	select {
	case l.changedView <- struct{}{}:
	default:
	}
}

// Place has this node place the request and waits for the placement. It returns
// a refusal if ctx ends or Run returns first.
func (l *Loop) Place(ctx context.Context, request snipeford.PlacementRequest) snipeford.Placement {
	reply := make(chan snipeford.Placement, 1)
	l.mu.Lock()
	l.pending[request.RequestID] = reply
	l.mu.Unlock()
	refused := snipeford.Placement{RequestID: request.RequestID, Refused: true}
	select {
	case l.events <- PlacementRequested{request}:
	case <-ctx.Done():
		l.forget(request.RequestID)
		return refused
	case <-l.done:
	}
	select {
	case p := <-reply:
		return p
	case <-ctx.Done():
	case <-l.done:
	}
	l.forget(request.RequestID)
	l.Send(RequestEnded{Service: request.Service, RequestID: request.RequestID})
	return refused
}

// forget drops the reply to a request of this node.
func (l *Loop) forget(id snipeford.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// Known returns what this node reports to a new home, or nothing if Run has
// returned.
func (l *Loop) Known() Known {
	q := knownQuery{make(chan Known, 1)}
	l.Send(q)
	select {
	case known := <-q.reply:
		return known
	case <-l.done:
		return Known{}
	}
}

// knownQuery asks for what this node knows. It is queued as an event, so that the
// reply reflects all events sent before it.
type knownQuery struct{ reply chan Known }

func (knownQuery) event() {}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	ticks := l.Timer.Every(ctx, tickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			l.applyView()
			l.applyAll(Ticked{})
			l.summarize()
		case <-l.changedView:
			l.applyView()
		case e := <-l.events:
			l.applyView()
			l.applyAll(e)
		}
	}
}

// applyView applies the latest view if it has not been applied yet.
func (l *Loop) applyView() {
	if v := l.view.Swap(nil); v != nil {
		l.applyAll(DirectoryChanged{View: v})
	}
}

// applyAll applies an event, and then the loss of each node that a reply to it could not
// be delivered to. Such a node has disconnected and places its requests itself.
func (l *Loop) applyAll(e Event) {
	lost := l.apply(e)
	for len(lost) > 0 {
		next := lost[0]
		lost = append(lost[1:], l.apply(NodeLost{Node: next})...)
	}
}

// apply applies one event, and returns the nodes that a reply could not be delivered to.
func (l *Loop) apply(e Event) (lost []snipeford.NodeID) {
	if q, ok := e.(knownQuery); ok {
		q.reply <- l.state.Known(l.Timer.Now())
		return nil
	}
	for _, r := range l.state.Apply(l.Timer.Now(), e) {
		if r.Node == l.Node {
			l.reply(r.Placement)
			continue
		}
		if !l.Deliver(r) && !slices.Contains(lost, r.Node) {
			lost = append(lost, r.Node)
		}
	}
	for _, w := range l.state.Watches() {
		if l.Watched != nil {
			l.Watched(w)
		}
	}
	for _, c := range l.state.PaceChanges() {
		if l.Paced != nil {
			l.Paced(c)
		}
	}
	if changes := l.state.Changes(); len(changes) > 0 && l.Decided != nil {
		l.Decided(slices.Clone(changes), l.state.Quarantines())
	}
	return lost
}

func (l *Loop) summarize() {
	if l.Summarized == nil {
		return
	}
	for _, summary := range l.state.summaries(l.Timer.Now()) {
		l.Summarized(summary)
	}
}

func (l *Loop) reply(p snipeford.Placement) {
	if p.Queued {
		// Place keeps waiting for the final placement.
		return
	}
	l.mu.Lock()
	ch, ok := l.pending[p.RequestID]
	delete(l.pending, p.RequestID)
	l.mu.Unlock()
	if ok {
		ch <- p
	}
}
