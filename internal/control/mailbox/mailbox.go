// Package mailbox passes effects from the control goroutine to the traffic
// goroutine of the call that they concern.
package mailbox

import (
	"sync"

	"snipeford"
	"snipeford/internal/control/reducer"
)

// mailboxCapacity exceeds the number of effects that can be pending for one
// call: the traffic goroutine sends an event in response to every effect but the
// last before the reducer emits the next one.
const mailboxCapacity = 16

// Set holds the mailboxes of the open calls. Its zero value is ready to use.
type Set struct {
	mu        sync.Mutex
	mailboxes map[snipeford.CallID]chan reducer.Effect
}

// Open creates and returns the call's mailbox.
func (s *Set) Open(id snipeford.CallID) <-chan reducer.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mailboxes == nil {
		s.mailboxes = map[snipeford.CallID]chan reducer.Effect{}
	}
	mailbox := make(chan reducer.Effect, mailboxCapacity)
	s.mailboxes[id] = mailbox
	return mailbox
}

// Close removes the call's mailbox.
func (s *Set) Close(id snipeford.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.mailboxes, id)
}

// Deliver puts an effect into the call's mailbox without blocking. It drops the
// effect and returns false if the call has no mailbox or the mailbox is full.
func (s *Set) Deliver(id snipeford.CallID, e reducer.Effect) bool {
	s.mu.Lock()
	mailbox := s.mailboxes[id]
	s.mu.Unlock()
	select {
	case mailbox <- e:
		return true
	default:
		return false
	}
}

// Len returns the number of open calls.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.mailboxes)
}
