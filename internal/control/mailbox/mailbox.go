// Package mailbox brings the control goroutine's effects to the traffic
// goroutine of the call that they are about.
package mailbox

import (
	"sync"

	"snipeford"
	"snipeford/internal/control/reducer"
)

// boxSize is more than the effects that one call can have open at once: each
// effect but the last is answered by an event before the next comes.
const boxSize = 16

// Set holds one box a call. Its zero value works.
type Set struct {
	mu    sync.Mutex
	boxes map[snipeford.CallID]chan reducer.Effect
}

// Open returns the call's box.
func (b *Set) Open(id snipeford.CallID) <-chan reducer.Effect {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.boxes == nil {
		b.boxes = map[snipeford.CallID]chan reducer.Effect{}
	}
	box := make(chan reducer.Effect, boxSize)
	b.boxes[id] = box
	return box
}

// Close forgets the call's box.
func (b *Set) Close(id snipeford.CallID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.boxes, id)
}

// Deliver puts an effect into the call's box. Where the call is gone, or took
// nothing out for a whole box, the effect is dropped and false returned.
func (b *Set) Deliver(id snipeford.CallID, e reducer.Effect) bool {
	b.mu.Lock()
	box := b.boxes[id]
	b.mu.Unlock()
	select {
	case box <- e:
		return true
	default:
		return false
	}
}

// Len returns the number of open calls.
func (b *Set) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.boxes)
}
