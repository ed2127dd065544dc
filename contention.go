package snipeford

import "time"

// Contention tells why a request that competed with others was placed or refused, for the
// log of its entry node.
type Contention struct {
	// Share is the part of the organisation in the recent usage of all, and Level how heavy
	// it is: 0 up to about the mean usage, and one more for each doubling.
	Share float64 `json:",omitempty"`
	Level int     `json:",omitempty"`
	// Waited is the time in the queue, and Queued the number of requests there then.
	Waited time.Duration `json:",omitempty"`
	Queued int           `json:",omitempty"`
	// MemoryRequested is the memory that the request needs, and MemoryFree what was free on
	// all engines, as far as the home knew.
	MemoryRequested Tokens
	MemoryFree      Tokens
}
