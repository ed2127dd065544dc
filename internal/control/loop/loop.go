// Package loop runs the reducer in one goroutine: events in, effects out.
package loop

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
)

// queueSize bounds the events that wait for the control goroutine. Senders
// wait beyond it.
const queueSize = 4_096

// Executor carries out effects. Do must not block.
type Executor interface {
	Do(ctx context.Context, e reducer.Effect)
}

// Loop is the control goroutine's state and its queue of events.
type Loop struct {
	state    *reducer.State
	timer    *timer.Clock
	executor Executor
	events   chan reducer.Event
	asks     chan func(*reducer.State)
	done     chan struct{}
	applied  metrics.Timer
}

// New returns a loop over the state. Registry gets the time for each event.
func New(state *reducer.State, t *timer.Clock, registry metrics.Registry) *Loop {
	return &Loop{
		state:   state,
		timer:   t,
		events:  make(chan reducer.Event, queueSize),
		asks:    make(chan func(*reducer.State)),
		done:    make(chan struct{}),
		applied: metrics.GetOrRegisterTimer("Control.EventNanoseconds", registry),
	}
}

// Send queues an event. After the loop's end the event is dropped.
func (l *Loop) Send(e reducer.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// ReadState lets f read the state in the control goroutine and waits for it. It
// returns false where the loop has ended.
func (l *Loop) ReadState(f func(*reducer.State)) bool {
	answered := make(chan struct{})
	ask := func(s *reducer.State) {
		f(s)
		close(answered)
	}
	select {
	case l.asks <- ask:
		<-answered
		return true
	case <-l.done:
		return false
	}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context, executor Executor) error {
	defer close(l.done)
	l.executor = executor
	ticks := l.timer.Every(ctx, reducer.TickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			l.apply(ctx, reducer.Ticked{})
		case e := <-l.events:
			l.apply(ctx, e)
		case ask := <-l.asks:
			ask(l.state)
		}
	}
}

func (l *Loop) apply(ctx context.Context, e reducer.Event) {
	start := l.timer.Now()
	for _, effect := range l.state.Apply(start, e) {
		l.executor.Do(ctx, effect)
	}
	l.applied.Update(l.timer.Now().Sub(start))
}
