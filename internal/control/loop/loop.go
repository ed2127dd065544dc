// Package loop runs the reducer in a single control goroutine: it applies
// queued events and hands the resulting effects to an executor.
package loop

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
)

// queueSize bounds the events that wait for the control goroutine. Send blocks
// while the queue is full.
const queueSize = 4_096

// Executor carries out effects. Do must not block.
type Executor interface {
	Do(ctx context.Context, e reducer.Effect)
}

// Loop holds the reducer's state and the queue of events of the control
// goroutine.
type Loop struct {
	state      *reducer.State
	timer      *timer.Clock
	executor   Executor
	events     chan reducer.Event
	reads      chan func(*reducer.State)
	done       chan struct{}
	applyTimer metrics.Timer
}

// New returns a loop over the state. It records the processing time of each
// event in the registry.
func New(state *reducer.State, t *timer.Clock, registry metrics.Registry) *Loop {
	return &Loop{
		state:      state,
		timer:      t,
		events:     make(chan reducer.Event, queueSize),
		reads:      make(chan func(*reducer.State)),
		done:       make(chan struct{}),
		applyTimer: metrics.GetOrRegisterTimer("Control.EventNanoseconds", registry),
	}
}

// Send queues an event. It drops the event if Run has returned.
func (l *Loop) Send(e reducer.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// ReadState calls f with the state in the control goroutine and waits for it to
// return. It returns false without calling f if Run has returned. F must not
// modify the state.
func (l *Loop) ReadState(f func(*reducer.State)) bool {
	done := make(chan struct{})
	read := func(s *reducer.State) {
		f(s)
		close(done)
	}
	select {
	case l.reads <- read:
		<-done
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
		case read := <-l.reads:
			read(l.state)
		}
	}
}

func (l *Loop) apply(ctx context.Context, e reducer.Event) {
	start := l.timer.Now()
	for _, effect := range l.state.Apply(start, e) {
		l.executor.Do(ctx, effect)
	}
	l.applyTimer.Update(l.timer.Now().Sub(start))
}
