package placer

import (
	"context"
	"sync"

	"snipeford"
	"snipeford/internal/control/timer"
)

// queueSize bounds the events that wait for the control goroutine.
const queueSize = 1_024

// Loop is the control goroutine.
type Loop struct {
	Node  snipeford.NodeID
	Timer *timer.Clock
	// Deliver brings an answer to another node. It must not block.
	Deliver func(PlacementReply)

	state  State
	events chan Event
	done   chan struct{}

	mu      sync.Mutex
	waiting map[snipeford.RequestID]chan snipeford.Placement
}

// New returns a loop of the node; Run starts it.
func New(node snipeford.NodeID, t *timer.Clock) *Loop {
	return &Loop{
		Node: node, Timer: t, state: State{Node: node},
		events:  make(chan Event, queueSize),
		done:    make(chan struct{}),
		waiting: map[snipeford.RequestID]chan snipeford.Placement{},
	}
}

// Send queues an event. After the loop's end it is dropped.
func (l *Loop) Send(e Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Place decides here and waits for the answer. A refusal is returned where ctx
// or the loop has ended.
func (l *Loop) Place(ctx context.Context, ask snipeford.PlacementRequest) snipeford.Placement {
	answer := make(chan snipeford.Placement, 1)
	l.mu.Lock()
	l.waiting[ask.RequestID] = answer
	l.mu.Unlock()
	l.Send(PlacementRequested{ask})
	select {
	case p := <-answer:
		return p
	case <-ctx.Done():
	case <-l.done:
	}
	l.mu.Lock()
	delete(l.waiting, ask.RequestID)
	l.mu.Unlock()
	l.Send(RequestEnded{Service: ask.Service, RequestID: ask.RequestID})
	return snipeford.Placement{RequestID: ask.RequestID, Refused: true}
}

// PlacedCalls returns the running requests of this node, nil after the loop's end.
func (l *Loop) PlacedCalls() []snipeford.PlacedCall {
	q := query{make(chan []snipeford.PlacedCall, 1)}
	l.Send(q)
	select {
	case list := <-q.answer:
		return list
	case <-l.done:
		return nil
	}
}

// query asks for the running requests of this node, behind all events that were
// sent before it.
type query struct{ answer chan []snipeford.PlacedCall }

func (query) event() {}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	ticks := l.Timer.Every(ctx, tickEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			l.apply(Ticked{})
		case e := <-l.events:
			l.apply(e)
		}
	}
}

func (l *Loop) apply(e Event) {
	if q, ok := e.(query); ok {
		q.answer <- l.state.PlacedCalls(l.Timer.Now(), l.Node)
		return
	}
	for _, g := range l.state.Apply(l.Timer.Now(), e) {
		if g.Node == l.Node {
			l.answer(g.Placement)
			continue
		}
		l.Deliver(g)
	}
}

func (l *Loop) answer(p snipeford.Placement) {
	if p.Queued {
		// Place waits anyhow.
		return
	}
	l.mu.Lock()
	waiting, ok := l.waiting[p.RequestID]
	delete(l.waiting, p.RequestID)
	l.mu.Unlock()
	if ok {
		waiting <- p
	}
}
